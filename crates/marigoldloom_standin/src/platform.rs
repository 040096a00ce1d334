//! Stand-in platform: serves the object API from an in-memory platform.

use std::io;
use std::net::SocketAddr;

use derive_more::derive;
use http_types::{Method, StatusCode};
use marigoldloom_http::message::{Request, Response};
use marigoldloom_http::server;
use marigoldloom_platform::memory::{Faults, MemoryPlatform};
use marigoldloom_platform::object::{self, Key, Version};
use marigoldloom_platform::platform::{Condition, Error, Platform};
use marigoldloom_platform::protocol::{self, ErrorBody, Failure, FailureKind, WatchQuery};
use marigoldloom_runtime::async_std_runtime::AsyncStd;
use serde::Serialize;

/// Path of the call counters.
pub const COUNTERS_PATH: &str = "/counters";

/// Path of the faults in force, which can be read and set.
pub const FAULTS_PATH: &str = "/faults";

/// Limit on the length of a request's body in bytes. It is above the limit on a value, so that
/// the platform refuses a value slightly too large with its own message.
const BODY_LIMIT: usize = 2 * object::VALUE_LIMIT;

/// Why a request is refused before it reaches the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(derive::Display, derive::Error)]
enum BadRequest {
    #[display("no such path: {path}")]
    Path { path: String },
    #[display("the method isn't allowed here")]
    Method,
    #[display("{header}: {value:?} is not a condition")]
    Condition { header: &'static str, value: String },
    #[display(
        "{} and {} exclude each other",
        protocol::IF_MATCH,
        protocol::IF_NONE_MATCH
    )]
    Conditions,
    #[display("the query is not valid: {reason}")]
    Query { reason: String },
    #[display("the body is not valid: {reason}")]
    Body { reason: String },
}

impl BadRequest {
    const fn status(&self) -> StatusCode {
        match self {
            Self::Path { .. } => StatusCode::NotFound,
            Self::Method => StatusCode::MethodNotAllowed,
            _ => StatusCode::BadRequest,
        }
    }
}

/// Resource that a request's path names.
enum Target {
    List(String),
    Object(Key),
    Watch,
    Counters,
    Faults,
}

/// Serves an in-memory platform on `address`.
///
/// # Errors
///
/// The error of the operating system if the address can't be bound.
pub async fn bind(
    address: SocketAddr,
    platform: MemoryPlatform<AsyncStd>,
) -> io::Result<server::Server> {
    let settings = server::Settings {
        max_body: BODY_LIMIT,
        ..server::Settings::default()
    };
    server::bind(address, settings, Handler { platform }).await
}

struct Handler {
    platform: MemoryPlatform<AsyncStd>,
}

impl server::Handler for Handler {
    async fn handle(&self, request: Request) -> Response {
        let answer = self.answer(&request).await;
        answer.unwrap_or_else(|error| {
            let message = error.to_string();
            error_response(error.status(), FailureKind::Refused, message)
        })
    }
}

impl Handler {
    async fn answer(&self, request: &Request) -> Result<Response, BadRequest> {
        match (target(request.path())?, request.method()) {
            (Target::List(kind), Method::Get) => {
                Ok(result_response(self.platform.list(&kind).await))
            }
            (Target::Object(key), Method::Get) => Ok(self.get(&key).await),
            (Target::Object(key), Method::Put) => self.put(&key, request).await,
            (Target::Object(key), Method::Delete) => self.delete(&key, request).await,
            (Target::Watch, Method::Get) => self.watch(request).await,
            (Target::Counters, Method::Get) => Ok(ok_response(&self.platform.counters())),
            (Target::Faults, Method::Get) => Ok(ok_response(&self.platform.faults())),
            (Target::Faults, Method::Put) => self.set_faults(request),
            _ => Err(BadRequest::Method),
        }
    }

    /// Reads an object; status 404 if it doesn't exist.
    async fn get(&self, key: &Key) -> Response {
        match self.platform.get(key).await {
            Ok(None) => {
                let message = format!("{key} doesn't exist");
                error_response(StatusCode::NotFound, FailureKind::Absent, message)
            }
            result => result_response(result),
        }
    }

    async fn put(&self, key: &Key, request: &Request) -> Result<Response, BadRequest> {
        let condition = condition(request)?;
        let value: serde_json::Value = request.json().map_err(invalid_body)?;
        Ok(result_response(
            self.platform.put(key, &value, condition).await,
        ))
    }

    async fn delete(&self, key: &Key, request: &Request) -> Result<Response, BadRequest> {
        let condition = condition(request)?;
        let result = self.platform.delete(key, condition).await;
        Ok(result_response(result.map(|()| protocol::Deleted {})))
    }

    async fn watch(&self, request: &Request) -> Result<Response, BadRequest> {
        let query: WatchQuery = request.head.query().map_err(|e| BadRequest::Query {
            reason: e.to_string(),
        })?;
        let kinds: Vec<&str> = query.kinds.split(',').collect();
        let changes = self.platform.watch_for(&kinds, query.since, query.wait());
        Ok(result_response(changes.await))
    }

    fn set_faults(&self, request: &Request) -> Result<Response, BadRequest> {
        let faults: Faults = request.json().map_err(invalid_body)?;
        tracing::info!(?faults, "faults changed");
        self.platform.set_faults(faults);
        Ok(ok_response(&faults))
    }
}

fn invalid_body(error: serde_json::Error) -> BadRequest {
    BadRequest::Body {
        reason: error.to_string(),
    }
}

/// Parses the path of a request.
fn target(path: &str) -> Result<Target, BadRequest> {
    if let Some(rest) = path.strip_prefix(protocol::OBJECTS_PATH) {
        return match rest.split('/').collect::<Vec<_>>()[..] {
            ["", kind] => Ok(Target::List(kind.to_owned())),
            ["", kind, name] => Ok(Target::Object(Key::new(kind, name))),
            _ => Err(unknown_path(path)),
        };
    }
    match path {
        protocol::WATCH_PATH => Ok(Target::Watch),
        COUNTERS_PATH => Ok(Target::Counters),
        FAULTS_PATH => Ok(Target::Faults),
        _ => Err(unknown_path(path)),
    }
}

fn unknown_path(path: &str) -> BadRequest {
    BadRequest::Path {
        path: path.to_owned(),
    }
}

/// Reads the condition of a write from the request's headers.
fn condition(request: &Request) -> Result<Condition, BadRequest> {
    let (if_match, if_none_match) = (
        request.header(protocol::IF_MATCH),
        request.header(protocol::IF_NONE_MATCH),
    );
    let invalid = |header, value: &str| BadRequest::Condition {
        header,
        value: value.to_owned(),
    };
    match (if_match, if_none_match) {
        (None, None) => Ok(Condition::Any),
        (Some(_), Some(_)) => Err(BadRequest::Conditions),
        (None, Some("*")) => Ok(Condition::Absent),
        (None, Some(value)) => Err(invalid(protocol::IF_NONE_MATCH, value)),
        (Some(value), None) => match value.parse() {
            Ok(version) => Ok(Condition::Version(Version(version))),
            Err(_) => Err(invalid(protocol::IF_MATCH, value)),
        },
    }
}

fn ok_response(value: &impl Serialize) -> Response {
    Response::json_body(StatusCode::Ok, value)
}

/// Returns the response to a call that gave `result`.
fn result_response<T: Serialize>(result: Result<T, Error>) -> Response {
    let error = match result {
        Ok(value) => return ok_response(&value),
        Err(error) => error,
    };
    let message = error.to_string();
    match error {
        Error::Conflict { current } => conflict_response(message, current),
        Error::Refused { reason } => {
            error_response(StatusCode::BadRequest, FailureKind::Refused, reason)
        }
        Error::Compacted => error_response(StatusCode::Gone, FailureKind::Compacted, message),
        Error::Unreachable => {
            let status = StatusCode::ServiceUnavailable;
            error_response(status, FailureKind::Unavailable, message)
        }
        // The client must not learn whether the write took effect, as if the answer were lost.
        Error::OutcomeUnknown => Response::hang_up(),
    }
}

fn conflict_response(message: String, current: Option<Box<object::Object>>) -> Response {
    let error = Failure {
        kind: FailureKind::Conflict,
        message,
        current,
    };
    Response::json_body(StatusCode::PreconditionFailed, &ErrorBody { error })
}

fn error_response(status: StatusCode, kind: FailureKind, message: String) -> Response {
    let error = Failure {
        kind,
        message,
        current: None,
    };
    Response::json_body(status, &ErrorBody { error })
}
