//! A holder's side of claims: what this edge has granted, in memory only.

use std::collections::{BTreeMap, VecDeque};

use wire_messages::{Claim, ClaimReply, Name, Node};

use super::{ClaimHolder, ClaimState, holders, is_caller_key};
use crate::{
    Effects, Ms,
    effect::{log_event, send},
    events,
};

/// How long grants are remembered: five times the longest time left that a lane may give a request.
const GRANT_RETENTION: Ms = 600_000;
/// By how much a key's age may be wrong, as its caller reports it: the drift of two machines'
/// clocks over ten minutes.
const KEY_AGE_MARGIN: Ms = 5_000;

/// What one request was granted to.
#[derive(Clone, Debug)]
struct Grant {
    attempt: u64,
    is_void: bool,
}

/// A granted request in the order of expiry.
#[derive(Clone, Debug)]
struct GrantedRequest {
    granted_at: Ms,
    request: Name,
}

/// What this edge has granted since it started.
#[derive(Clone, Debug, Default)]
pub struct ClaimGrants {
    started_at: Ms,
    by_request: BTreeMap<Name, Grant>,
    by_age: VecDeque<GrantedRequest>,
}

impl ClaimGrants {
    /// A holder that started at `started_at` and remembers nothing from before.
    pub fn new(started_at: Ms) -> Self {
        ClaimGrants {
            started_at,
            ..ClaimGrants::default()
        }
    }

    /// Replies to a claim; `me` is this edge in its present incarnation.
    #[allow(
        clippy::needless_pass_by_value,
        reason = "handlers take the message that they were sent"
    )]
    pub fn on_claim(
        &mut self,
        me: &Node,
        claimer_addr: &Name,
        claim: Claim,
        now: Ms,
        out: &mut Effects,
    ) {
        let state = if self.remembers_all_grants_of(me, &claim, now) {
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

    /// Whether this incarnation would know of any earlier grant of the request. An id names the
    /// incarnation. A key does not: its caller reports how long ago it first used it, by its own
    /// clock, and a holder that started later may have forgotten a grant.
    fn remembers_all_grants_of(&self, me: &Node, claim: &Claim, now: Ms) -> bool {
        if !is_caller_key(&claim.request) {
            return holders(&claim.request)
                .is_some_and(|holders| holders.contains(&ClaimHolder::of(me)));
        }
        let uptime = now.saturating_sub(self.started_at);
        claim.key_age_ms == 0
            || claim.key_age_ms + KEY_AGE_MARGIN < uptime && claim.key_age_ms < GRANT_RETENTION
    }

    fn grant(&mut self, claim: &Claim, now: Ms) -> ClaimState {
        self.forget_expired(now);
        let is_void = claim.void != 0;
        let Some(grant) = self.by_request.get_mut(&claim.request) else {
            self.insert(claim, now);
            return ClaimState::Granted;
        };
        // An attempt may turn its own claim into a void, as it knows that it has not run; never
        // back.
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

    fn forget_expired(&mut self, now: Ms) {
        let is_expired =
            |oldest: &GrantedRequest| now.saturating_sub(oldest.granted_at) > GRANT_RETENTION;
        while self.by_age.front().is_some_and(is_expired) {
            if let Some(expired) = self.by_age.pop_front() {
                self.by_request.remove(&expired.request);
            }
        }
    }
}
