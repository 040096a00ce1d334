//! Client of the platform's API over HTTP/1.1.
//!
//! Connections are kept alive and reused. A request is not retried once any byte of it was
//! sent, so that the caller decides how to handle an unknown outcome.

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

/// Maximum number of idle connections kept for reuse.
const IDLE_CONNECTION_LIMIT: usize = 8;

/// Maximum size of a response, in bytes. The response to a list holds every object of its kind.
const RESPONSE_LIMIT_BYTES: usize = 64_000_000;

/// Timeouts of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// Timeout of one call. That of a watch is `watch_wait` plus this.
    pub call: Duration,
    /// Time that a watch asks the platform to wait for changes. A shorter time detects a
    /// silent connection earlier but needs more calls.
    pub watch_wait: Duration,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            call: Duration::from_secs(2),
            watch_wait: Duration::from_secs(10),
        }
    }
}

/// A client of the platform. Clones share their connections.
#[derive(Clone)]
pub struct HttpPlatform {
    address: SocketAddr,
    timeouts: Timeouts,
    idle: Arc<Mutex<Vec<Connection>>>,
}

impl HttpPlatform {
    /// Creates a client. It opens connections on demand.
    pub fn new(address: SocketAddr, timeouts: Timeouts) -> Self {
        Self {
            address,
            timeouts,
            idle: Arc::default(),
        }
    }

    /// Sends a request, on an idle connection if one is still usable.
    async fn send(&self, request: Request, limit: Duration) -> Result<Response, Error> {
        let deadline = Instant::now() + limit;
        while let Some(connection) = self.take_idle() {
            match self.exchange(connection, &request, deadline).await {
                // Nothing was sent, so the request can be retried on another connection.
                Err(client::Error::Stale) => (),
                result => return result.map_err(into_error),
            }
        }
        let connected = client::open(self.address, remaining(deadline)).await;
        let connection = connected
            .map_err(into_error)?
            .with_body_limit(RESPONSE_LIMIT_BYTES);
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
        // The future contains async-h1's buffers of 10 kB. Boxing it keeps the callers'
        // futures small.
        let response = Box::pin(connection.send(request.clone(), limit)).await?;
        self.return_idle(connection);
        Ok(response)
    }

    fn take_idle(&self) -> Option<Connection> {
        self.lock().pop()
    }

    fn return_idle(&self, connection: Connection) {
        let mut idle = self.lock();
        if idle.len() < IDLE_CONNECTION_LIMIT && connection.is_usable() {
            idle.push(connection);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn call<T: de::DeserializeOwned>(&self, request: Request) -> Result<T, Error> {
        let response = self.send(request, self.timeouts.call).await?;
        decode(&response)
    }
}

impl Platform for HttpPlatform {
    async fn get(&self, key: &Key) -> Result<Option<Object>, Error> {
        refusal::check_key(key)?;
        let request = Request::new(Method::Get, &target(key));
        let response = self.send(request, self.timeouts.call).await?;
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
            self.timeouts.watch_wait.as_millis()
        );
        let request = Request::new(Method::Get, &target);
        let limit = self.timeouts.watch_wait + self.timeouts.call;
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
    let result = match condition {
        Condition::Any => Ok(request),
        Condition::Absent => request.with_header(protocol::IF_NONE_MATCH, "*"),
        Condition::Version(version) => {
            request.with_header(protocol::IF_MATCH, &version.to_string())
        }
    };
    result.map_err(|error: InvalidHeader| Error::Refused {
        reason: error.to_string(),
    })
}

fn into_error(error: client::Error) -> Error {
    match error.sent() {
        true => Error::OutcomeUnknown,
        false => Error::Unreachable,
    }
}

/// Returns the failure that the response reports, if its status is 4xx or 503.
///
/// A response with another status may come from a server that failed after the write took
/// effect, so its body is ignored.
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
        None if response.status().is_success() => {
            response.json().map_err(|_error| Error::OutcomeUnknown)
        }
        None => Err(Error::OutcomeUnknown),
    }
}
