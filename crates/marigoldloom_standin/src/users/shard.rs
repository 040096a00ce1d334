//! Answers of a shard. Their records are computed from the names of the service and the request,
//! so that a test can check them.

use std::fmt;

use xxhash_rust::xxh3;

/// Length of a record in bytes.
pub const RECORD_LEN: usize = 16;

/// Returns the records of `service` for a request, unsorted. They are the same for each replica
/// of the service.
pub fn records(service: &str, request: &str, count: u32) -> Vec<u8> {
    let record = |number| xxh3::xxh3_128(format!("{service} {request} {number}").as_bytes());
    let records = (0..count).map(record);
    records.flat_map(u128::to_be_bytes).collect()
}

/// A replica's signature of its answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Signature {
    /// Name of the replica's service.
    pub service: String,
    /// Id of the replica.
    pub replica: String,
    /// Id of the request's attempt.
    pub request: String,
}

impl Signature {
    /// Parses `service.replica.request`; `None` if `text` doesn't have exactly three parts.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.trim().split('.').map(str::to_owned);
        let signature = Self {
            service: parts.next()?,
            replica: parts.next()?,
            request: parts.next()?,
        };
        parts.next().is_none().then_some(signature)
    }
}

impl fmt::Display for Signature {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.service, self.replica, self.request)
    }
}
