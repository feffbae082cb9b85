//! Adapts the control daemon to a platform: its calls, its format of the operator's spec, and its list of replicas.
//! Without an adapter the daemon supports the product's own interface only.

use std::{cell::RefCell, rc::Rc, time::Duration};

use actix_web::web;
use awc::Client;
use coordination::{
    placement::TokenBucket,
    platform_call::{CallOutcome, PlatformCall},
    state_table::{SpecParser, parse_native_spec},
};
use daemon_parts::{
    clock,
    limits::{MAX_BODY_BYTES, PACE_CHECK_INTERVAL},
};
use futures_util::future::LocalBoxFuture;
use remote_calls::{Fault, PlatformList};

/// Requests the complete list of replicas from an address, with every call within the rate limit.
pub type ListCall =
    fn(Client, String, Rc<CallRateLimiter>) -> LocalBoxFuture<'static, Result<PlatformList, Fault>>;

/// A call of a singleton role, ready to be sent.
#[derive(Clone, Debug)]
pub struct RoleCallRequest {
    /// The platform's address.
    pub platform_addr: String,
    /// The daemon that holds the role.
    pub holder: String,
    /// The fencing token.
    pub epoch: u64,
    /// The call to make.
    pub call: PlatformCall,
    /// Time limit of the whole call, which ends before the lease expires.
    pub time_limit: Duration,
}

/// Makes a call of a singleton role once.
pub type RoleCallFunction = fn(Client, RoleCallRequest) -> LocalBoxFuture<'static, CallOutcome>;

/// Calls that one daemon at a time makes to the platform, under the lease of a singleton role.
#[derive(Clone, Copy, Debug)]
pub struct RoleCalls {
    /// Makes such a call.
    pub call: RoleCallFunction,
    /// Whether the platform accepts usage reports.
    pub accepts_usage_reports: bool,
    /// Whether the platform accepts replica counts.
    pub accepts_replica_counts: bool,
    /// Calls per second that the platform accepts from all daemons together.
    pub rate_limit: f64,
}

impl RoleCalls {
    /// Returns whether the platform accepts this kind of call.
    pub fn accepts(&self, call: &PlatformCall) -> bool {
        match call {
            PlatformCall::ReportUsage(_) => self.accepts_usage_reports,
            PlatformCall::SetReplicaCount(_) => self.accepts_replica_counts,
        }
    }
}

/// Limits calls to this daemon's share of the rate that the platform allows all daemons together.
pub struct CallRateLimiter(RefCell<TokenBucket>);

impl Default for CallRateLimiter {
    fn default() -> Self {
        // No burst allowance: extra calls at once would use up the shares of other daemons.
        CallRateLimiter(RefCell::new(TokenBucket::new(0.0, 1.0, clock::now())))
    }
}

impl CallRateLimiter {
    /// Sets the rate, in calls per second.
    pub fn set_rate(&self, rate: f64) {
        self.0.borrow_mut().set_rate(rate, clock::now());
    }

    /// Waits until the rate limit permits another call.
    pub async fn acquire(&self) {
        while !self.0.borrow_mut().try_draw(clock::now()) {
            tokio::time::sleep(PACE_CHECK_INTERVAL).await;
        }
    }
}

/// Where the list of replicas comes from.
#[derive(Clone, Copy, Debug)]
pub enum ReplicaSource {
    /// The platform supports the product's own calls; replicas answer report requests and accept orders.
    Polled,
    /// The platform returns a complete list, and replicas accept no orders.
    Listed {
        /// Requests the list.
        call: ListCall,
        /// Interval between requests.
        interval: Duration,
        /// Interval between requests while the list does not change.
        stable_interval: Duration,
        /// Calls per second that the platform accepts from all daemons together.
        rate_limit: f64,
    },
}

/// The platform-specific parts of the control daemon.
#[derive(Clone, Copy)]
pub struct PlatformAdapter {
    /// Parses the operator's spec.
    pub spec_parser: SpecParser,
    /// Adds routes beside the product's own.
    pub configure_routes: fn(&mut web::ServiceConfig),
    /// Where the list of replicas comes from.
    pub replica_source: ReplicaSource,
    /// Calls under the leases of singleton roles; none if the platform accepts none.
    pub role_calls: Option<RoleCalls>,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
}

impl Default for PlatformAdapter {
    fn default() -> Self {
        PlatformAdapter {
            spec_parser: parse_native_spec,
            configure_routes: |_| (),
            replica_source: ReplicaSource::Polled,
            role_calls: None,
            max_body_bytes: MAX_BODY_BYTES,
        }
    }
}
