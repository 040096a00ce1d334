//! HTTP client for the processes under test.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::task;
use http_types::Method;
use marigoldloom_http::client::{self, Connection, Error};
use marigoldloom_http::message::{Request, Response};
use serde_json::Value;

/// Timeout of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// A response: status and JSON body.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    /// HTTP status.
    pub(crate) status: u16,
    /// Body; `Value::Null` if it isn't JSON.
    pub(crate) body: Value,
}

impl Answer {
    fn new(response: &Response) -> Self {
        Self {
            status: response.status().into(),
            body: response.json().unwrap_or_default(),
        }
    }

    /// Whether it covers all `shards` shards, with one result each.
    pub(crate) fn is_full(&self, shards: u64) -> bool {
        let coverage = &self.body["coverage"];
        let all: Vec<Value> = (0..shards).map(Value::from).collect();
        self.status == 200
            && coverage["total"] == shards
            && coverage["answered"] == Value::from(all)
            && coverage["missing"] == Value::Array(Vec::new())
            && self.body["results"].as_array().map(Vec::len) == usize::try_from(shards).ok()
    }
}

/// Sends a GET request.
pub(crate) fn get(address: SocketAddr, target: &str) -> Result<Answer, Error> {
    send_once(address, Request::new(Method::Get, target))
}

/// Sends one request on a connection of its own.
pub(crate) fn send_once(address: SocketAddr, request: Request) -> Result<Answer, Error> {
    send(&mut connect(address)?, request)
}

/// Opens a connection.
pub(crate) fn connect(address: SocketAddr) -> Result<Connection, Error> {
    task::block_on(client::open(address, REQUEST_TIMEOUT))
}

/// Sends a request on an open connection.
pub(crate) fn send(connection: &mut Connection, request: Request) -> Result<Answer, Error> {
    let response = task::block_on(connection.send(request, REQUEST_TIMEOUT))?;
    Ok(Answer::new(&response))
}

/// Builds a caller's request to the service `search`.
pub(crate) fn query(route: &str, body: &str, headers: &[(&'static str, &str)]) -> Request {
    let target = format!("/v1/services/search/{route}");
    let request = Request::new(Method::Post, &target).with_body(body);
    let add = |r: Request, (name, value): &(&'static str, &str)| {
        r.with_header(name, value).expect("a valid header")
    };
    let request = add(request, &("x-tenant", "coaches"));
    headers.iter().fold(request, add)
}
