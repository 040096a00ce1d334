//! The stand-in platform: the object API over an in-memory platform.

use std::io;
use std::net::SocketAddr;

use derive_more::derive;
use http_types::{Method, StatusCode};
use marigoldloom_http::message::{Request, Response};
use marigoldloom_http::server;
use marigoldloom_platform::memory::{Faults, Memory};
use marigoldloom_platform::object::{self, Key, Version};
use marigoldloom_platform::platform::{Condition, Error, Platform};
use marigoldloom_platform::protocol::{self, ErrorBody, Failure, FailureKind, WatchQuery};
use marigoldloom_runtime::async_std_runtime::AsyncStd;
use serde::Serialize;

/// Path of the counters.
pub const COUNTERS_PATH: &str = "/counters";

/// Path of the faults.
pub const FAULTS_PATH: &str = "/faults";

/// Body limit of the server. Larger than a value may be, so that the platform itself
/// refuses a value that is a little too large and says why.
const BODY_LIMIT: usize = 2 * object::VALUE_LIMIT;

/// Why a request can't be obeyed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(derive::Display, derive::Error)]
enum Refusal {
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

impl Refusal {
    const fn status(&self) -> StatusCode {
        match self {
            Self::Path { .. } => StatusCode::NotFound,
            Self::Method => StatusCode::MethodNotAllowed,
            _ => StatusCode::BadRequest,
        }
    }
}

/// What a request asks for.
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
pub async fn bind(address: SocketAddr, platform: Memory<AsyncStd>) -> io::Result<server::Server> {
    let settings = server::Settings {
        max_body: BODY_LIMIT,
        ..server::Settings::default()
    };
    server::bind(address, settings, Handler { platform }).await
}

struct Handler {
    platform: Memory<AsyncStd>,
}

impl server::Handler for Handler {
    async fn handle(&self, request: Request) -> Response {
        let answer = self.answer(&request).await;
        answer.unwrap_or_else(|refusal| {
            let message = refusal.to_string();
            fail(refusal.status(), FailureKind::Refused, message)
        })
    }
}

impl Handler {
    async fn answer(&self, request: &Request) -> Result<Response, Refusal> {
        match (target(request.path())?, request.method()) {
            (Target::List(kind), Method::Get) => Ok(respond(self.platform.list(&kind).await)),
            (Target::Object(key), Method::Get) => Ok(self.get(&key).await),
            (Target::Object(key), Method::Put) => self.put(&key, request).await,
            (Target::Object(key), Method::Delete) => self.delete(&key, request).await,
            (Target::Watch, Method::Get) => self.watch(request).await,
            (Target::Counters, Method::Get) => Ok(ok(&self.platform.counters())),
            (Target::Faults, Method::Get) => Ok(ok(&self.platform.faults())),
            (Target::Faults, Method::Put) => self.set_faults(request),
            _ => Err(Refusal::Method),
        }
    }

    async fn get(&self, key: &Key) -> Response {
        match self.platform.get(key).await {
            Ok(None) => {
                let message = format!("{key} doesn't exist");
                fail(StatusCode::NotFound, FailureKind::Absent, message)
            }
            result => respond(result),
        }
    }

    async fn put(&self, key: &Key, request: &Request) -> Result<Response, Refusal> {
        let condition = condition(request)?;
        let value: serde_json::Value = request.json().map_err(invalid_body)?;
        Ok(respond(self.platform.put(key, &value, condition).await))
    }

    async fn delete(&self, key: &Key, request: &Request) -> Result<Response, Refusal> {
        let condition = condition(request)?;
        let result = self.platform.delete(key, condition).await;
        Ok(respond(result.map(|()| protocol::Deleted {})))
    }

    async fn watch(&self, request: &Request) -> Result<Response, Refusal> {
        let query: WatchQuery = request.head.query().map_err(|e| Refusal::Query {
            reason: e.to_string(),
        })?;
        let kinds: Vec<&str> = query.kinds.split(',').collect();
        let changes = self.platform.watch_for(&kinds, query.since, query.wait());
        Ok(respond(changes.await))
    }

    fn set_faults(&self, request: &Request) -> Result<Response, Refusal> {
        let faults: Faults = request.json().map_err(invalid_body)?;
        tracing::info!(?faults, "faults changed");
        self.platform.set_faults(faults);
        Ok(ok(&faults))
    }
}

fn invalid_body(error: serde_json::Error) -> Refusal {
    Refusal::Body {
        reason: error.to_string(),
    }
}

fn target(path: &str) -> Result<Target, Refusal> {
    if let Some(rest) = path.strip_prefix(protocol::OBJECTS_PATH) {
        return match rest.split('/').collect::<Vec<_>>()[..] {
            ["", kind] => Ok(Target::List(kind.to_owned())),
            ["", kind, name] => Ok(Target::Object(Key::new(kind, name))),
            _ => Err(no_path(path)),
        };
    }
    match path {
        protocol::WATCH_PATH => Ok(Target::Watch),
        COUNTERS_PATH => Ok(Target::Counters),
        FAULTS_PATH => Ok(Target::Faults),
        _ => Err(no_path(path)),
    }
}

fn no_path(path: &str) -> Refusal {
    Refusal::Path {
        path: path.to_owned(),
    }
}

fn condition(request: &Request) -> Result<Condition, Refusal> {
    let (some, none) = (
        request.header(protocol::IF_MATCH),
        request.header(protocol::IF_NONE_MATCH),
    );
    let invalid = |header, value: &str| Refusal::Condition {
        header,
        value: value.to_owned(),
    };
    match (some, none) {
        (None, None) => Ok(Condition::Any),
        (Some(_), Some(_)) => Err(Refusal::Conditions),
        (None, Some("*")) => Ok(Condition::Absent),
        (None, Some(value)) => Err(invalid(protocol::IF_NONE_MATCH, value)),
        (Some(value), None) => match value.parse() {
            Ok(version) => Ok(Condition::Version(Version(version))),
            Err(_) => Err(invalid(protocol::IF_MATCH, value)),
        },
    }
}

fn ok(value: &impl Serialize) -> Response {
    Response::json_body(StatusCode::Ok, value)
}

fn respond<T: Serialize>(result: Result<T, Error>) -> Response {
    let error = match result {
        Ok(value) => return ok(&value),
        Err(error) => error,
    };
    let message = error.to_string();
    match error {
        Error::Conflict { current } => conflict(message, current),
        Error::Refused { reason } => fail(StatusCode::BadRequest, FailureKind::Refused, reason),
        Error::Compacted => fail(StatusCode::Gone, FailureKind::Compacted, message),
        Error::Unreachable => {
            let status = StatusCode::ServiceUnavailable;
            fail(status, FailureKind::Unavailable, message)
        }
        // A lost answer: the client must not learn whether the write took effect.
        Error::Unknown => Response::hang_up(),
    }
}

fn conflict(message: String, current: Option<Box<object::Object>>) -> Response {
    let error = Failure {
        kind: FailureKind::Conflict,
        message,
        current,
    };
    Response::json_body(StatusCode::PreconditionFailed, &ErrorBody { error })
}

fn fail(status: StatusCode, kind: FailureKind, message: String) -> Response {
    let error = Failure {
        kind,
        message,
        current: None,
    };
    Response::json_body(status, &ErrorBody { error })
}
