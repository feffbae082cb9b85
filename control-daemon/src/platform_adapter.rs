//! What a platform puts over the control daemon: its own calls, its own spelling of the operator's document, and its
//! own list of replicas. The daemon without one speaks the product's own interface only.

use std::{cell::RefCell, rc::Rc, time::Duration};

use actix_web::web;
use awc::Client;
use coordination::{
    placement::TokenBucket,
    platform_call::{CallOutcome, PlatformCall},
    state_table::{SpecParser, parse_own_spec},
};
use daemon_parts::{
    clock,
    limits::{MAX_BODY_BYTES, PACE_CHECK_INTERVAL},
};
use futures_util::future::LocalBoxFuture;
use remote_calls::{Fault, PlatformList};

/// Asks for the complete list of replicas at an address, each of its calls within the rate limit.
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
    /// What is asked.
    pub call: PlatformCall,
    /// The whole call ends within this: it ends before the lease does.
    pub time_limit: Duration,
}

/// Makes a call of a singleton role once.
pub type RoleCallFunction = fn(Client, RoleCallRequest) -> LocalBoxFuture<'static, CallOutcome>;

/// Calls that one daemon at a time makes to the platform, under the lease of a singleton role.
#[derive(Clone, Copy, Debug)]
pub struct RoleCalls {
    /// How such a call is made.
    pub call: RoleCallFunction,
    /// Whether the platform takes usage reports.
    pub takes_usage_reports: bool,
    /// Whether the platform takes replica counts.
    pub takes_replica_counts: bool,
    /// Calls a second that the platform takes from all daemons together.
    pub rate_limit: f64,
}

impl RoleCalls {
    /// Whether the platform takes this call at all.
    pub fn takes(&self, call: &PlatformCall) -> bool {
        match call {
            PlatformCall::ReportUsage(_) => self.takes_usage_reports,
            PlatformCall::SetReplicaCount(_) => self.takes_replica_counts,
        }
    }
}

/// This daemon's part of the calls that the platform allows all daemons together.
pub struct CallRateLimiter(RefCell<TokenBucket>);

impl Default for CallRateLimiter {
    fn default() -> Self {
        // Nothing is saved up: a call more at once would count against what the others may.
        CallRateLimiter(RefCell::new(TokenBucket::new(0.0, 1.0, clock::now())))
    }
}

impl CallRateLimiter {
    /// Calls a second from now on.
    pub fn set_rate(&self, rate: f64) {
        self.0.borrow_mut().set_rate(rate, clock::now());
    }

    /// Waits until one more call may be made.
    pub async fn acquire(&self) {
        while !self.0.borrow_mut().try_draw(clock::now()) {
            tokio::time::sleep(PACE_CHECK_INTERVAL).await;
        }
    }
}

/// Where the list of replicas comes from.
#[derive(Clone, Copy, Debug)]
pub enum ReplicaSource {
    /// The platform takes the product's own calls, replicas answer reports and take orders.
    Polled,
    /// The list is complete, and replicas take no orders.
    Listed {
        /// How the list is asked for.
        call: ListCall,
        /// How often.
        interval: Duration,
        /// How often while the list does not change.
        stable_interval: Duration,
        /// Calls a second that the platform takes from all daemons together.
        rate_limit: f64,
    },
}

/// A platform's own part of the control daemon.
#[derive(Clone, Copy)]
pub struct PlatformAdapter {
    /// Reads the operator's document.
    pub spec_parser: SpecParser,
    /// Adds routes beside the product's own.
    pub configure_routes: fn(&mut web::ServiceConfig),
    /// Where the list of replicas comes from.
    pub replica_source: ReplicaSource,
    /// Calls under the leases of singleton roles; none where the platform takes none.
    pub role_calls: Option<RoleCalls>,
    /// Largest body of a call, in bytes.
    pub max_body_bytes: usize,
}

impl Default for PlatformAdapter {
    fn default() -> Self {
        PlatformAdapter {
            spec_parser: parse_own_spec,
            configure_routes: |_| (),
            replica_source: ReplicaSource::Polled,
            role_calls: None,
            max_body_bytes: MAX_BODY_BYTES,
        }
    }
}
