//! Calls to the platform that one daemon makes at a time, under the lease of a singleton role.
//!
//! A call carries the epoch of the key under whose lease it is made as its fencing token: the platform refuses a token that
//! is lower than one it has seen. Nothing can be read back from the platform, so that a call whose answer was lost is made
//! again with exactly the same content.

use serde::{Deserialize, Serialize};

use crate::Ms;

/// How many requests of a tenant began to run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantCount {
    /// The tenant's name.
    pub tenant: String,
    /// Its requests.
    pub count: u64,
}

/// The requests that began to run in one window of the time of day.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// The window's number: it begins so many window lengths after the start of 1970.
    pub window: u64,
    /// Requests by tenant, in the order of the tenants' names.
    pub counts: Vec<TenantCount>,
}

/// How many replicas a service is to have in one zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaCount {
    /// The service.
    pub service: String,
    /// The zone.
    pub zone: String,
    /// Replicas, those that start or warm up among them.
    pub count: u32,
}

/// What is asked of the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformCall {
    /// Reports the usage of one window.
    ReportUsage(UsageReport),
    /// Orders the number of a service's replicas in a zone.
    SetReplicaCount(ReplicaCount),
}

/// A call with the lease under which it is made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeasedCall {
    /// Matches the outcome to the call; differs between calls, and between incarnations of a daemon.
    pub id: u64,
    /// The fencing token: the epoch of the key whose lease this is.
    pub epoch: u64,
    /// When the lease ends, by this daemon's monotonic clock. The call is not sent after that.
    pub until: Ms,
    /// What is asked.
    pub call: PlatformCall,
}

/// What became of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The platform acted on it.
    Accepted,
    /// The platform has seen a higher fencing token: another daemon holds the role.
    Superseded,
    /// More calls were made than the platform takes.
    RateLimited,
    /// It was not sent, or not answered in time; the platform may have acted on it.
    Failed,
}
