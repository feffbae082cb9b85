//! Calls to the platform that only one daemon makes at a time, under the lease of a singleton role.
//!
//! The epoch of the leased key is the call's fencing token: the platform refuses a token lower than one it has seen.
//! Nothing can be read back from the platform, so a call whose response was lost is repeated with exactly the same
//! content.

use serde::{Deserialize, Serialize};

use crate::Ms;

/// Number of a tenant's requests that began to run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantCount {
    /// The tenant's name.
    pub tenant: String,
    /// Number of requests.
    pub count: u64,
}

/// The requests that began to run in one window of wall-clock time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// The window's number: it begins this many window lengths after the start of 1970.
    pub window: u64,
    /// Requests by tenant, ordered by the tenants' names.
    pub counts: Vec<TenantCount>,
}

/// Target number of a service's replicas in one zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaCount {
    /// The service.
    pub service: String,
    /// The zone.
    pub zone: String,
    /// Number of replicas, including those that are starting or warming up.
    pub count: u32,
}

/// A request to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformCall {
    /// Reports the usage of one window.
    ReportUsage(UsageReport),
    /// Sets the number of a service's replicas in a zone.
    SetReplicaCount(ReplicaCount),
}

/// A call with the lease under which it is made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeasedCall {
    /// Matches the outcome to the call; differs between calls, and between incarnations of a daemon.
    pub id: u64,
    /// The fencing token: the epoch of the leased key.
    pub epoch: u64,
    /// When the lease ends, on this daemon's monotonic clock. The call is not sent after that.
    pub until: Ms,
    /// The call to make.
    pub call: PlatformCall,
}

/// Outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The platform acted on the call.
    Accepted,
    /// The platform has seen a higher fencing token: another daemon holds the role.
    Superseded,
    /// The call exceeded the platform's rate limit.
    RateLimited,
    /// The call was not sent, or no response arrived in time; the platform may have acted on it.
    Failed,
}
