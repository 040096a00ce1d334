//! Requests and responses whose bodies are held in memory.

use std::mem;

use derive_more::derive;
use http_types::{Headers, Method, StatusCode, Url, headers};
use serde::{Serialize, de};

/// Placeholder for scheme and host; the client sets the host when it sends the request.
const BASE_URL: &str = "http://localhost/";

/// The header value contains bytes that HTTP doesn't allow there.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(derive::Display, derive::Error)]
#[display("the value of header {name} isn't printable ASCII")]
pub struct InvalidHeader {
    /// Name of the header.
    pub name: &'static str,
}

/// A request or response: a head of type `H` and the complete body.
#[derive(Clone, Debug)]
pub struct Message<H> {
    /// Request or status line and headers. The body inside the head is empty.
    pub head: H,
    /// The body; empty if there is none.
    pub body: Vec<u8>,
    /// Whether the server closes the connection instead of sending this response.
    hangup: bool,
}

/// A request with its body.
pub type Request = Message<http_types::Request>;

/// A response with its body.
pub type Response = Message<http_types::Response>;

impl<H: AsRef<Headers> + AsMut<Headers>> Message<H> {
    pub(crate) const fn from_parts(head: H, body: Vec<u8>) -> Self {
        Self {
            head,
            body,
            hangup: false,
        }
    }

    /// Adds a header.
    ///
    /// # Errors
    ///
    /// [`InvalidHeader`] if the value isn't printable ASCII.
    pub fn with_header(mut self, name: &'static str, value: &str) -> Result<Self, InvalidHeader> {
        let value = validate_value(name, value)?;
        self.head.as_mut().insert(name, value);
        Ok(self)
    }

    /// Sets the body.
    pub fn with_body(mut self, body: impl Into<Vec<u8>>) -> Self {
        self.body = body.into();
        self
    }

    /// The value of a header; the last one if there are several.
    pub fn header(&self, name: &str) -> Option<&str> {
        let values = self.head.as_ref().get(name);
        values.map(|values| values.last().as_str())
    }

    /// Decodes the body as JSON.
    ///
    /// # Errors
    ///
    /// The decoder's error if the body isn't valid JSON for `T`.
    pub fn json<T: de::DeserializeOwned>(&self) -> serde_json::Result<T> {
        serde_json::from_slice(&self.body)
    }

    /// Whether the sender closes the connection after this message.
    pub(crate) fn has_connection_close(&self) -> bool {
        let value = self.header("connection");
        value.is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }

    /// Whether the body had a transfer encoding, so that its length on the wire isn't known.
    pub(crate) fn is_chunked(&self) -> bool {
        self.header("transfer-encoding").is_some()
    }
}

impl Request {
    /// Creates a request without a body. `target` is a path with an optional query.
    pub fn new(method: Method, target: &str) -> Self {
        let mut url = Url::parse(BASE_URL).expect("the base URL is a constant");
        let (path, query) = match target.split_once('?') {
            Some((path, query)) => (path, Some(query)),
            None => (target, None),
        };
        url.set_path(path);
        url.set_query(query);
        Self::from_parts(http_types::Request::new(method, url), Vec::new())
    }

    /// The method.
    pub fn method(&self) -> Method {
        self.head.method()
    }

    /// The path, without the query.
    pub fn path(&self) -> &str {
        self.head.url().path()
    }
}

impl Response {
    /// Creates a response without a body.
    pub fn new(status: StatusCode) -> Self {
        Self::from_parts(http_types::Response::new(status), Vec::new())
    }

    /// Makes the server close the connection without a response. Used for fault injection.
    pub fn hang_up() -> Self {
        let mut response = Self::new(StatusCode::InternalServerError);
        response.hangup = true;
        response
    }

    /// Whether this response makes the server close the connection.
    pub const fn is_hang_up(&self) -> bool {
        self.hangup
    }

    /// Creates a response with a JSON body.
    pub fn json_body(status: StatusCode, value: &impl Serialize) -> Self {
        match serde_json::to_vec(value) {
            Ok(body) => {
                let mut response = Self::new(status);
                response
                    .head
                    .insert_header(headers::CONTENT_TYPE, "application/json");
                response.with_body(body)
            }
            Err(error) => {
                tracing::error!(%error, "a response body can't be encoded as JSON");
                Self::new(StatusCode::InternalServerError)
            }
        }
    }

    /// The status.
    pub fn status(&self) -> StatusCode {
        self.head.status()
    }

    /// Moves the body into the head, the form that async-h1 encodes.
    pub(crate) fn into_head(mut self) -> http_types::Response {
        self.head.set_body(mem::take(&mut self.body));
        self.head
    }
}

/// Also rejects control characters, which `http-types` accepts: a line break in a value
/// would allow header injection.
fn validate_value<'a>(name: &'static str, value: &'a str) -> Result<&'a str, InvalidHeader> {
    let allowed = |b: u8| b == b' ' || b.is_ascii_graphic();
    match value.bytes().all(allowed) {
        true => Ok(value),
        false => Err(InvalidHeader { name }),
    }
}
