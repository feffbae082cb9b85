//! How requests by host and path are spelled on a wire. The proxy decides; an adapter only translates.

use coordination::{
    Ms,
    exchange::{RequestHead, ResponseSignals, Sender},
    proxy::Assignment,
};
use http::HeaderMap;
use remote_calls::PathSpec;

/// The headers of one platform.
pub trait ProtocolAdapter: Send + Sync {
    /// What a client's headers say of its request.
    fn request_head(&self, host: &str, path: &str, headers: &HeaderMap) -> RequestHead;

    /// Withholds a tenant's key from replicas, and names the tenant to them.
    fn set_sender(&self, headers: &mut HeaderMap, sender: &Sender);

    /// How a client that bears no tenant's key is asked for one.
    fn challenge(&self) -> Option<&'static str> {
        None
    }

    /// Sets the headers of an attempt for the replica that it goes to, with the ms that are left.
    fn set_replica_headers(
        &self,
        headers: &mut HeaderMap,
        lane: &PathSpec,
        assignment: &Assignment,
        time_left: Ms,
    );

    /// What the head of a response says of its replica.
    fn response_signals(&self, status: u16, headers: &HeaderMap) -> ResponseSignals;

    /// Path of the readiness check.
    fn readiness_path(&self) -> &str;
}
