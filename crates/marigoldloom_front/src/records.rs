//! Requests the platform's records from other instances and serves them.

use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::Full;
use marigoldloom_catalog::feed::{Feed, Revisions, Update};
use marigoldloom_catalog::fleet::Member;
use marigoldloom_catalog::relay::{self, POLL_WAIT, RESPONSE_TIMEOUT};
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_runtime::time;
use serde::{Deserialize, Serialize};

use crate::peer_client::{self, PeerClient};
use crate::receive_limit::ReceivedBody;

/// Path of a request for records.
pub(crate) const PATH: &str = "/marigoldloom/records/3";

/// Largest request body in bytes.
const REQUEST_LIMIT: usize = 4 * 1024;

/// Largest response body in bytes: ten times the records of the largest deployment planned.
const RESPONSE_LIMIT: usize = 64 * 1024 * 1024;

/// Body of a request for records.
#[derive(Debug)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
struct RecordsRequest {
    /// Revisions that the requesting instance has.
    known: Revisions,
    /// How long the response may be delayed until there are newer records, in milliseconds.
    wait_ms: u64,
}

/// Client that requests records from other instances. Clones share the connections.
#[derive(Clone)]
pub(crate) struct Peers<R>(PeerClient<R>);

impl<R: Runtime> Peers<R> {
    /// Creates a client without connections.
    pub(crate) fn new(rt: R) -> Self {
        Self(PeerClient::new(rt, RESPONSE_LIMIT))
    }
}

impl<R: Runtime> relay::Peers for Peers<R> {
    async fn poll(
        &self,
        peer: &Member,
        known: &Revisions,
        wait: Duration,
    ) -> Result<Update, relay::Error> {
        let records_request = RecordsRequest {
            known: known.clone(),
            wait_ms: time::millis(wait),
        };
        let limit = wait + RESPONSE_TIMEOUT;
        let answer = self.0.post(peer.address, PATH, &records_request, limit);
        match answer.await {
            Some((StatusCode::OK, body)) => serde_json::from_slice(&body).map_err(|error| {
                tracing::warn!(instance = %peer.candidate.name, %error, "records can't be decoded");
                relay::Error::Unreachable
            }),
            Some((StatusCode::SERVICE_UNAVAILABLE, _)) => Err(relay::Error::Disconnected),
            _ => Err(relay::Error::Unreachable),
        }
    }
}

/// Answers another instance's request for records.
pub(crate) async fn answer(
    rt: &impl Runtime,
    feed: &Feed,
    records_request: ReceivedBody,
) -> Response<Full<Bytes>> {
    let records_request = peer_client::read::<RecordsRequest>(records_request, REQUEST_LIMIT);
    let Some(records_request) = records_request.await else {
        return peer_client::empty_response(StatusCode::BAD_REQUEST);
    };
    let wait = Duration::from_millis(records_request.wait_ms).min(POLL_WAIT);
    match feed.poll(rt, &records_request.known, wait).await {
        Some(update) => peer_client::respond(&update),
        None => peer_client::empty_response(StatusCode::SERVICE_UNAVAILABLE),
    }
}
