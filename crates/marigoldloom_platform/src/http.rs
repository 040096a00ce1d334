//! A platform reached over HTTP/1.1.
//!
//! Connections are kept alive and reused. A call is never sent twice once a byte of
//! it went out, so that the caller decides what to do about an unknown outcome.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use http_types::Method;
use marigoldloom_http::client::{self, Connection};
use marigoldloom_http::message::{InvalidHeader, Request, Response};
use serde::de;

use crate::object::{Changes, Key, Listing, Object, Revision};
use crate::platform::{Condition, Error, Platform};
use crate::protocol::{self, FailureKind};
use crate::refusal;

/// Idle connections kept for reuse.
const IDLE_LIMIT: usize = 8;

/// Largest response, in bytes; a list holds every object of its kind.
const RESPONSE_LIMIT: usize = 64_000_000;

/// Time limits of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Time for one call. A watch may take this longer than its wait.
    pub call: Duration,
    /// Wait that a watch asks for. A shorter one notices a silent connection
    /// earlier but takes more calls.
    pub wait: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            call: Duration::from_secs(2),
            wait: Duration::from_secs(10),
        }
    }
}

/// A client of the platform. Clones share their connections.
#[derive(Clone)]
pub struct Http {
    address: SocketAddr,
    limits: Limits,
    idle: Arc<Mutex<Vec<Connection>>>,
}

impl Http {
    /// Creates a client; connections are opened when they are needed.
    pub fn new(address: SocketAddr, limits: Limits) -> Self {
        Self {
            address,
            limits,
            idle: Arc::default(),
        }
    }

    /// Sends a request, on an idle connection if one is still open.
    async fn send(&self, request: Request, limit: Duration) -> Result<Response, Error> {
        let deadline = Instant::now() + limit;
        while let Some(connection) = self.take() {
            match self.exchange(connection, &request, deadline).await {
                // Nothing was sent, so another connection may be tried.
                Err(client::Error::Stale) => (),
                result => return result.map_err(into_error),
            }
        }
        let opened = client::open(self.address, remaining(deadline)).await;
        let connection = opened.map_err(into_error)?.with_body_limit(RESPONSE_LIMIT);
        let result = self.exchange(connection, &request, deadline).await;
        result.map_err(into_error)
    }

    async fn exchange(
        &self,
        mut connection: Connection,
        request: &Request,
        deadline: Instant,
    ) -> Result<Response, client::Error> {
        let limit = remaining(deadline);
        // The future holds async-h1's buffers of 10 kB. On the heap they don't make the
        // futures of all callers as large.
        let response = Box::pin(connection.send(request.clone(), limit)).await?;
        self.give_back(connection);
        Ok(response)
    }

    fn take(&self) -> Option<Connection> {
        self.lock().pop()
    }

    fn give_back(&self, connection: Connection) {
        let mut idle = self.lock();
        if idle.len() < IDLE_LIMIT && connection.is_usable() {
            idle.push(connection);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn call<T: de::DeserializeOwned>(&self, request: Request) -> Result<T, Error> {
        let response = self.send(request, self.limits.call).await?;
        decode(&response)
    }
}

impl Platform for Http {
    async fn get(&self, key: &Key) -> Result<Option<Object>, Error> {
        refusal::check_key(key)?;
        let request = Request::new(Method::Get, &target(key));
        let response = self.send(request, self.limits.call).await?;
        match failure(&response) {
            Some(failure) if failure.kind == FailureKind::Absent => Ok(None),
            _ => decode(&response).map(Some),
        }
    }

    async fn list(&self, kind: &str) -> Result<Listing, Error> {
        let target = format!("{}/{kind}", protocol::OBJECTS_PATH);
        self.call(Request::new(Method::Get, &target)).await
    }

    async fn put(
        &self,
        key: &Key,
        value: &serde_json::Value,
        condition: Condition,
    ) -> Result<Object, Error> {
        refusal::check_key(key)?;
        refusal::check_value(value)?;
        let request = Request::new(Method::Put, &target(key)).with_body(value.to_string());
        self.call(with_condition(request, condition)?).await
    }

    async fn delete(&self, key: &Key, condition: Condition) -> Result<(), Error> {
        refusal::check_key(key)?;
        let request = Request::new(Method::Delete, &target(key));
        let request = with_condition(request, condition)?;
        let _: protocol::Deleted = self.call(request).await?;
        Ok(())
    }

    async fn watch(&self, kinds: &[&str], since: Revision) -> Result<Changes, Error> {
        let target = format!(
            "{}?since={since}&kinds={}&wait_ms={}",
            protocol::WATCH_PATH,
            kinds.join(","),
            self.limits.wait.as_millis()
        );
        let request = Request::new(Method::Get, &target);
        let limit = self.limits.wait + self.limits.call;
        decode(&self.send(request, limit).await?)
    }
}

fn remaining(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now())
}

fn target(key: &Key) -> String {
    format!("{}/{key}", protocol::OBJECTS_PATH)
}

fn with_condition(request: Request, condition: Condition) -> Result<Request, Error> {
    let conditional = match condition {
        Condition::Any => Ok(request),
        Condition::Absent => request.with_header(protocol::IF_NONE_MATCH, "*"),
        Condition::Version(version) => {
            request.with_header(protocol::IF_MATCH, &version.to_string())
        }
    };
    conditional.map_err(|error: InvalidHeader| Error::Refused {
        reason: error.to_string(),
    })
}

fn into_error(error: client::Error) -> Error {
    match error.sent() {
        true => Error::Unknown,
        false => Error::Unreachable,
    }
}

/// The failure that the platform reports, if it reports one.
///
/// Other statuses than 4xx and 503 may come from a server that failed after the
/// write took effect, so their bodies decide nothing.
fn failure(response: &Response) -> Option<protocol::Failure> {
    let status = response.status();
    match status.is_client_error() || status == http_types::StatusCode::ServiceUnavailable {
        true => response.json().ok().map(|b: protocol::ErrorBody| b.error),
        false => None,
    }
}

fn decode<T: de::DeserializeOwned>(response: &Response) -> Result<T, Error> {
    match failure(response) {
        Some(failure) => Err(failure.into_error()),
        None if response.status().is_success() => response.json().map_err(|_error| Error::Unknown),
        None => Err(Error::Unknown),
    }
}
