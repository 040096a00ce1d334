//! Interfaces of the peer protocol: [`Transport`] sends requests, [`Service`] answers them.

use std::net;

use derive_more::derive;

use crate::generated::peer;

/// Greatest size of a message, in bytes. A value in the shared map has at most 1 MB.
pub const MESSAGE_LIMIT: usize = 4 * 1024 * 1024;

/// Approximate size, in bytes, of the messages into which a list of entries is split.
pub const CHUNK_BYTES: usize = 256 * 1024;

/// Why a call to another instance failed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(derive::Display, derive::Error)]
pub enum Error {
    /// No connection could be made; the request wasn't sent.
    #[display("the instance can't be reached")]
    Unreachable,
    /// The request is larger than [`MESSAGE_LIMIT`]; it wasn't sent.
    #[display("the request has {len} bytes; the limit is {MESSAGE_LIMIT}")]
    TooLarge {
        /// Size of the request, in bytes.
        len: usize,
    },
    /// The request was sent, but no reply arrived; it may have been handled.
    #[display("no reply from the instance; it may have handled the request")]
    Lost,
    /// The instance replied with an error.
    #[display("the instance refused the request: {reason}")]
    Refused {
        /// gRPC status of the reply, as text.
        reason: String,
    },
}

/// Sends requests to other instances. Dropping the future of a call cancels the call.
pub trait Transport: Clone + Send + Sync + 'static {
    /// Checks that an instance answers, and compares the hashes of both shared maps.
    fn probe(
        &self,
        to: net::SocketAddr,
        request: peer::ProbeRequest,
    ) -> impl Future<Output = Result<peer::ProbeReply, Error>> + Send;

    /// Asks an instance to probe a third one.
    fn probe_via(
        &self,
        to: net::SocketAddr,
        request: peer::ProbeViaRequest,
    ) -> impl Future<Output = Result<peer::ProbeViaReply, Error>> + Send;

    /// Sends entries of the shared map.
    fn push(
        &self,
        to: net::SocketAddr,
        request: peer::PushRequest,
    ) -> impl Future<Output = Result<peer::PushReply, Error>> + Send;

    /// Reads a part of an instance's shared map.
    fn pull(
        &self,
        to: net::SocketAddr,
        request: peer::PullRequest,
    ) -> impl Future<Output = Result<peer::PullReply, Error>> + Send;

    /// Forwards a query.
    fn forward(
        &self,
        to: net::SocketAddr,
        request: peer::ForwardRequest,
    ) -> impl Future<Output = Result<peer::ForwardReply, Error>> + Send;

    /// Requests dispatch leases from a voter.
    fn request_lease(
        &self,
        to: net::SocketAddr,
        request: peer::LeaseRequest,
    ) -> impl Future<Output = Result<peer::LeaseReply, Error>> + Send;

    /// Releases dispatch leases that a voter has granted.
    fn release_lease(
        &self,
        to: net::SocketAddr,
        request: peer::ReleaseRequest,
    ) -> impl Future<Output = Result<peer::ReleaseReply, Error>> + Send;
}

/// Answers requests of other instances.
pub trait Service: Clone + Send + Sync + 'static {
    /// Answers a probe.
    fn probe(&self, request: peer::ProbeRequest) -> impl Future<Output = peer::ProbeReply> + Send;

    /// Probes a third instance on behalf of the sender.
    fn probe_via(
        &self,
        request: peer::ProbeViaRequest,
    ) -> impl Future<Output = peer::ProbeViaReply> + Send;

    /// Merges the sender's entries into the shared map.
    fn push(&self, request: peer::PushRequest) -> impl Future<Output = peer::PushReply> + Send;

    /// Returns the requested part of the shared map.
    fn pull(&self, request: peer::PullRequest) -> impl Future<Output = peer::PullReply> + Send;

    /// Runs a forwarded query.
    fn forward(
        &self,
        request: peer::ForwardRequest,
    ) -> impl Future<Output = peer::ForwardReply> + Send;

    /// Grants or refuses dispatch leases.
    fn request_lease(
        &self,
        request: peer::LeaseRequest,
    ) -> impl Future<Output = peer::LeaseReply> + Send;

    /// Revokes the grants that the sender releases.
    fn release_lease(
        &self,
        request: peer::ReleaseRequest,
    ) -> impl Future<Output = peer::ReleaseReply> + Send;
}

/// Runs the queries that other instances forward to this one.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Runs a query and returns the response for its caller.
    fn forward(
        &self,
        request: peer::ForwardRequest,
    ) -> impl Future<Output = peer::ForwardReply> + Send;
}
