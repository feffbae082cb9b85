//! How requests by host and path are spelled on a wire. The product decides; a dialect only translates.

use coordination::{
    Ms,
    exchange::{RequestHead, ResponseSignals},
    proxy::Assignment,
};
use http::HeaderMap;
use remote_calls::PathSpec;

pub trait ProtocolAdapter: Send + Sync {
    /// What a downstream's headers tell of its request.
    fn request_head(&self, host: &str, path: &str, h: &HeaderMap) -> RequestHead;
    /// Dresses a round's headers for the replica that it goes to, with the time left.
    fn set_replica_headers(&self, h: &mut HeaderMap, lane: &PathSpec, p: &Assignment, left: Ms);
    /// What the head of an answer tells of its replica.
    fn response_signals(&self, status: u16, h: &HeaderMap) -> ResponseSignals;
    /// Path at which it is asked whether this edge serves.
    fn readiness_path(&self) -> &str;
}
