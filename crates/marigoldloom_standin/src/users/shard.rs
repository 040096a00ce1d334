//! Answers of a shard that can be checked: what they hold follows from the names in them.

use std::fmt;

use xxhash_rust::xxh3;

/// Bytes of a record.
pub const RECORD_LEN: usize = 16;

/// The records of `service` for a request, in no order. All its replicas have the same ones.
pub fn records(service: &str, request: &str, count: u32) -> Vec<u8> {
    let record = |number| xxh3::xxh3_128(format!("{service} {request} {number}").as_bytes());
    let records = (0..count).map(record);
    records.flat_map(u128::to_be_bytes).collect()
}

/// A replica's signature of its answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Signature {
    /// Service of the replica.
    pub service: String,
    /// Its id.
    pub replica: String,
    /// Id of the request.
    pub request: String,
}

impl Signature {
    /// Reads a signature; none if it is not one.
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
