//! Claiming side: sends the local proxy's claims to the holders and counts their replies.

use std::collections::{BTreeMap, BTreeSet};

use wire_messages::{Claim, ClaimReply, ClaimRequest, ClaimResult, Name, Node};

use super::{ClaimHolder, ClaimState, holders, is_caller_key};
use crate::{Effects, Ms, effect::send};

/// Time limit for a claim's majority, in ms: many round trips within a country, and short enough
/// to leave time for voiding the id afterwards.
pub const CLAIM_TIMEOUT: Ms = 300;

/// Proxy that waits for a claim, and its token for the claim.
#[derive(Clone, Debug)]
struct Requester {
    addr: Name,
    token: u64,
}

/// Claim that waits for replies from its holders.
#[derive(Clone, Debug)]
struct PendingClaim {
    holders: BTreeSet<Name>,
    quorum: usize,
    replies: BTreeMap<Name, ClaimState>,
    deadline: Ms,
    requester: Requester,
}

impl PendingClaim {
    fn count(&self, state: ClaimState) -> usize {
        self.replies
            .values()
            .filter(|reply| **reply == state)
            .count()
    }

    /// Returns the outcome by the replies so far; none while missing replies may still decide it.
    fn outcome(&self) -> Option<ClaimState> {
        let decided = [ClaimState::Granted, ClaimState::Voided]
            .into_iter()
            .find(|state| self.count(*state) >= self.quorum);
        let is_complete = self.replies.len() >= self.holders.len();
        decided.or_else(|| is_complete.then(|| self.undecided_outcome()))
    }

    /// Returns the outcome without a majority. Another attempt's claim is reported, as that attempt
    /// may run.
    fn undecided_outcome(&self) -> ClaimState {
        if self.count(ClaimState::HeldByOther) > 0 {
            ClaimState::HeldByOther
        } else {
            ClaimState::Abstained
        }
    }

    fn ended(self, state: ClaimState) -> ClaimEnded {
        ClaimEnded {
            requester: self.requester.addr,
            token: self.requester.token,
            state,
        }
    }
}

/// Outcome of a claim, for its requester.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimEnded {
    /// Address of the proxy that requested the claim.
    pub requester: Name,
    /// The proxy's token for the claim.
    pub token: u64,
    /// Outcome of the claim.
    pub state: ClaimState,
}

/// Pending claims of the local proxy.
#[derive(Clone, Debug, Default)]
pub struct Claimer {
    pending: BTreeMap<u64, PendingClaim>,
    last_token: u64,
}

impl Claimer {
    /// Sends a claim to the id's holders, or to every known edge for a caller's key. `edges` are
    /// all known edges, including this one. A claim without holders ends at once.
    pub fn request(
        &mut self,
        proxy: &Name,
        request: &ClaimRequest,
        edges: &[Node],
        now: Ms,
        out: &mut Effects,
    ) {
        let holders = if is_caller_key(&request.request) {
            edges.iter().map(ClaimHolder::of).collect()
        } else {
            holders(&request.request).unwrap_or_default()
        };
        if holders.is_empty() {
            let rejection = ClaimResult {
                token: request.token,
                state: ClaimState::Abstained.to_byte(),
            };
            out.push(send(proxy, rejection));
            return;
        }
        self.last_token += 1;
        let known_holders = holders
            .iter()
            .filter_map(|holder| edges.iter().find(|edge| edge.name == holder.name));
        out.extend(known_holders.map(|edge| send(&edge.addr, self.claim(request))));
        let claim = PendingClaim {
            // A majority of the holders in the id, even if some of them are unknown here. If only
            // one edge was known when the id was minted, no claim on it is granted after that edge
            // restarts and abstains, which is still safe.
            quorum: holders.len() / 2 + 1,
            holders: holders.into_iter().map(|holder| holder.name).collect(),
            replies: BTreeMap::new(),
            deadline: now + CLAIM_TIMEOUT,
            requester: Requester {
                addr: proxy.clone(),
                token: request.token,
            },
        };
        self.pending.insert(self.last_token, claim);
    }

    fn claim(&self, request: &ClaimRequest) -> Claim {
        Claim {
            token: self.last_token,
            request: request.request.clone(),
            attempt: request.attempt,
            void: request.void,
            key_age_ms: request.key_age_ms,
        }
    }

    /// Counts a holder's reply; returns the claim if the reply decided it.
    #[allow(
        clippy::needless_pass_by_value,
        reason = "handlers take ownership of the message they receive"
    )]
    pub fn on_reply(&mut self, from: &Name, reply: ClaimReply) -> Option<ClaimEnded> {
        let claim = self.pending.get_mut(&reply.token)?;
        if claim.holders.contains(from) {
            claim
                .replies
                .insert(from.clone(), ClaimState::from_byte(reply.state));
        }
        let state = claim.outcome()?;
        let claim = self.pending.remove(&reply.token)?;
        Some(claim.ended(state))
    }

    /// Ends claims whose deadline has passed without a majority.
    pub fn tick(&mut self, now: Ms) -> Vec<ClaimEnded> {
        let expired: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, claim)| claim.deadline <= now)
            .map(|(token, _)| *token)
            .collect();
        let mut ended = Vec::new();
        for token in expired {
            if let Some(claim) = self.pending.remove(&token) {
                let state = claim.undecided_outcome();
                ended.push(claim.ended(state));
            }
        }
        ended
    }
}
