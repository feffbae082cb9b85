//! Holder's side of claims: grants of this edge, kept in memory only.

use std::collections::{BTreeMap, VecDeque};

use wire_messages::{Claim, ClaimReply, Name, Node};

use super::{ClaimHolder, ClaimState, holders, is_caller_key};
use crate::{
    Effects, Ms,
    effect::{log_event, send},
    events,
};

/// Retention time of grants, in ms: five times the longest time budget that a lane may set for a
/// request.
const GRANT_RETENTION: Ms = 600_000;
/// Margin for error in a key's age as reported by the caller, in ms: the drift between two
/// machines' clocks over ten minutes.
const KEY_AGE_MARGIN: Ms = 5_000;

/// Grant of one request to an attempt.
#[derive(Clone, Debug)]
struct Grant {
    attempt: u64,
    is_void: bool,
}

/// Granted request and time of its grant, by which it expires.
#[derive(Clone, Debug)]
struct GrantedRequest {
    granted_at: Ms,
    request: Name,
}

/// Grants of this edge since it started.
#[derive(Clone, Debug, Default)]
pub struct ClaimGrants {
    started_at: Ms,
    by_request: BTreeMap<Name, Grant>,
    by_age: VecDeque<GrantedRequest>,
}

impl ClaimGrants {
    /// Creates a holder that started at `started_at` and has no earlier grants.
    pub fn new(started_at: Ms) -> Self {
        ClaimGrants {
            started_at,
            ..ClaimGrants::default()
        }
    }

    /// Replies to a claim; `this_edge` is this edge in its current incarnation.
    #[allow(
        clippy::needless_pass_by_value,
        reason = "handlers take ownership of the message they receive"
    )]
    pub fn on_claim(
        &mut self,
        this_edge: &Node,
        claimer_addr: &Name,
        claim: Claim,
        now: Ms,
        out: &mut Effects,
    ) {
        let state = if self.has_all_grants_of(this_edge, &claim, now) {
            self.grant(&claim, now)
        } else {
            let request = claim.request.to_string();
            out.push(log_event(events::CLAIM_ABSTAINED, claimer_addr, request));
            ClaimState::Abstained
        };
        let reply = ClaimReply {
            token: claim.token,
            state: state.to_byte(),
        };
        out.push(send(claimer_addr, reply));
    }

    /// Returns whether this incarnation still has any earlier grant of the request. An id names the
    /// incarnation. A key does not: its caller reports the time since the key's first use by its
    /// own clock, and a holder that started after that may have lost a grant.
    fn has_all_grants_of(&self, this_edge: &Node, claim: &Claim, now: Ms) -> bool {
        if !is_caller_key(&claim.request) {
            return holders(&claim.request)
                .is_some_and(|holders| holders.contains(&ClaimHolder::of(this_edge)));
        }
        let uptime = now.saturating_sub(self.started_at);
        claim.key_age_ms == 0
            || claim.key_age_ms + KEY_AGE_MARGIN < uptime && claim.key_age_ms < GRANT_RETENTION
    }

    fn grant(&mut self, claim: &Claim, now: Ms) -> ClaimState {
        self.remove_expired(now);
        let is_void = claim.void != 0;
        let Some(grant) = self.by_request.get_mut(&claim.request) else {
            self.insert(claim, now);
            return ClaimState::Granted;
        };
        // An attempt may turn its own claim into a void, as it knows that it has not run, but not
        // a void into a claim.
        if grant.attempt == claim.attempt && (is_void || !grant.is_void) {
            grant.is_void |= is_void;
            return ClaimState::Granted;
        }
        if grant.is_void {
            ClaimState::Voided
        } else {
            ClaimState::HeldByOther
        }
    }

    fn insert(&mut self, claim: &Claim, now: Ms) {
        let grant = Grant {
            attempt: claim.attempt,
            is_void: claim.void != 0,
        };
        self.by_request.insert(claim.request.clone(), grant);
        self.by_age.push_back(GrantedRequest {
            granted_at: now,
            request: claim.request.clone(),
        });
    }

    fn remove_expired(&mut self, now: Ms) {
        let is_expired =
            |oldest: &GrantedRequest| now.saturating_sub(oldest.granted_at) > GRANT_RETENTION;
        while self.by_age.front().is_some_and(is_expired) {
            if let Some(expired) = self.by_age.pop_front() {
                self.by_request.remove(&expired.request);
            }
        }
    }
}
