//! Pooled HTTP/1.1 connections that carry requests unchanged.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::{future, task};
use bytes::Bytes;
use http::{Request, Response, Uri};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use marigoldloom_http::{client, pool, socket};
use marigoldloom_upstream::message::Call;
use marigoldloom_upstream::upstream::{Error, Refusal};
use smol_hyper::rt::FuturesIo;

/// Connections that had ended unnoticed which one request may meet before it gives up.
const STALE_LIMIT: u32 = 4;

/// Time for a connection to be ready after its last response.
const READY_LIMIT: Duration = Duration::from_millis(20);

/// Time before a deadline at which a request gives up to wait for a connection, so that one
/// that was never sent is known as such.
const UNSENT_MARGIN: Duration = Duration::from_millis(5);

/// One HTTP/1.1 connection.
pub struct Link {
    sender: http1::SendRequest<Full<Bytes>>,
}

impl pool::Reusable for Link {
    async fn open(
        address: SocketAddr,
        _settings: &pool::Settings,
        limit: Duration,
    ) -> Result<Self, client::Error> {
        let stream = socket::connect(address, limit).await;
        let stream = stream.map_err(|_| client::Error::Unreachable)?;
        let handshake = http1::handshake(FuturesIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|_| client::Error::Unreachable)?;
        task::spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%address, %error, "connection ended");
            }
        });
        Ok(Self { sender })
    }

    fn is_usable(&self) -> bool {
        !self.sender.is_closed()
    }
}

/// The request that `call` is, with `body`.
pub(crate) fn request(call: &Call, body: Full<Bytes>) -> Request<Full<Bytes>> {
    let mut request = Request::new(body);
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = Uri::from(call.target.clone());
    *request.headers_mut() = call.headers.clone();
    request
}

/// Sends a request on a connection of `pool`, with `left` as the time until its deadline. The
/// connection is closed unless the caller keeps it. Dropping the future closes it too.
///
/// # Errors
///
/// [`Error::Unreachable`] or [`Error::Refused`] if no byte was sent, [`Error::Lost`] otherwise.
pub(crate) async fn send(
    pool: &pool::Pool<Link>,
    left: impl Fn() -> Duration,
    request: impl Fn() -> Request<Full<Bytes>>,
) -> Result<(Response<Incoming>, pool::Lease<Link>), Error> {
    for _ in 0..STALE_LIMIT {
        let lease = pool.lease(left().saturating_sub(UNSENT_MARGIN)).await;
        let mut lease = lease.map_err(|error| match error {
            pool::Error::TimedOut => refused(Refusal::Expired),
            pool::Error::Unreachable => Error::Unreachable,
        })?;
        if left().is_zero() {
            return Err(refused(Refusal::Expired));
        }
        // The connection's own task may not have seen yet that the last response is complete.
        let ready = future::timeout(READY_LIMIT, lease.connection().sender.ready()).await;
        if !matches!(ready, Ok(Ok(()))) {
            continue;
        }
        match lease.connection().sender.try_send_request(request()).await {
            Ok(response) => return Ok((response, lease)),
            Err(mut error) => {
                // A connection that gives the request back has sent no byte of it.
                let unsent = error.take_message().is_some();
                if !unsent {
                    return Err(Error::Lost);
                }
            }
        }
    }
    Err(Error::Unreachable)
}

/// A refusal without a report.
pub(crate) const fn refused(refusal: Refusal) -> Error {
    Error::Refused {
        refusal,
        report: None,
    }
}
