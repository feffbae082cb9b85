//! Claims of run-once requests. An id names three edges and each one's life; whoever wants to run the
//! request needs a majority of the three. A holder in a later life has forgotten and abstains. A majority
//! may also void an id, which is what makes "not run" an answer that stays true.

use std::collections::{BTreeMap, BTreeSet};

use wire_messages::{Claim, ClaimReply, ClaimRequest, ClaimResult, Name, Node};

use crate::{
    Effects, Ms,
    effect::{log_event, send},
    events,
    rendezvous::rendezvous_order,
};

/// ms. Longest wait for a claim's majority; many in-country round trips, and short enough to void after it.
pub const CLAIM_TIMEOUT: Ms = 300;
/// ms. How long claims are remembered: five times the longest time left that a lane may grant.
const CLAIM_RETENTION: Ms = 600_000;
/// ms. A key's age as its caller tells it may be off by so much: two machines' clocks over ten minutes.
const KEY_AGE_MARGIN: Ms = 5_000;
/// Holders of one claim: a majority of three outlives one of them.
const CLAIM_HOLDERS: usize = 3;

/// Answers to a claim, as on the wire.
pub const GRANTED: u8 = 0;
pub const HELD_BY_OTHER: u8 = 1;
pub const VOIDED: u8 = 2;
pub const ABSTAINED: u8 = 3;

/// Claims on a caller's own key begin with this.
pub const CALLER_KEY_PREFIX: &str = "k:";

/// An edge and its life.
type ClaimHolder = (Name, u64);

/// A request id: random part, then `~name.born` for each holder.
pub fn mint_request_id(random: u64, edges: Vec<Node>) -> String {
    let key = format!("{random:016x}");
    let group = rendezvous_order(&key, edges, |n| &n.name)
        .into_iter()
        .take(CLAIM_HOLDERS);
    group.fold(key, |id, n| format!("{id}~{}.{:x}", n.name, n.incarnation))
}

/// The holders an id names; none if it is no id of ours.
pub fn holders(id: &str) -> Option<Vec<ClaimHolder>> {
    let mut parts = id.split('~');
    let r = parts
        .next()
        .filter(|r| r.len() == 16 && r.bytes().all(|b| b.is_ascii_hexdigit()))?;
    u64::from_str_radix(r, 16).ok()?;
    let v: Option<Vec<ClaimHolder>> = parts
        .map(|p| {
            let (n, b) = p.rsplit_once('.')?;
            Some((n.into(), u64::from_str_radix(b, 16).ok()?))
        })
        .collect();
    v.filter(|v| !v.is_empty() && v.len() <= CLAIM_HOLDERS)
}

/// What this edge granted: request to (round, voided, when).
#[derive(Clone, Debug, Default)]
pub struct ClaimGrants {
    /// When this life began.
    started_at: Ms,
    grants: BTreeMap<Name, (u64, bool, Ms)>,
    by_age: std::collections::VecDeque<(Ms, Name)>,
}

impl ClaimGrants {
    pub fn new(began: Ms) -> Self {
        ClaimGrants {
            started_at: began,
            ..ClaimGrants::default()
        }
    }

    /// `me`: this edge and its life.
    pub fn on_claim(&mut self, me: &Node, to: &Name, m: Claim, now: Ms, out: &mut Effects) {
        // A key names no holders. Its caller says how long ago it first used it, by its own clock: a holder
        // whose life is shorter than that may have forgotten a grant.
        let lived = now.saturating_sub(self.started_at);
        let named = if m.request.starts_with(CALLER_KEY_PREFIX) {
            m.key_age_ms == 0
                || m.key_age_ms + KEY_AGE_MARGIN < lived && m.key_age_ms < CLAIM_RETENTION
        } else {
            holders(&m.request)
                .is_some_and(|h| h.iter().any(|(n, b)| *n == me.name && *b == me.incarnation))
        };
        let state = if !named {
            out.push(log_event(
                events::CLAIM_ABSTAINED,
                to,
                m.request.to_string(),
            ));
            ABSTAINED
        } else {
            self.grant(&m, now)
        };
        out.push(send(
            to,
            ClaimReply {
                token: m.token,
                state,
            },
        ));
    }

    fn grant(&mut self, m: &Claim, now: Ms) -> u8 {
        while self
            .by_age
            .front()
            .is_some_and(|(t, _)| now.saturating_sub(*t) > CLAIM_RETENTION)
        {
            if let Some((_, r)) = self.by_age.pop_front() {
                self.grants.remove(&r);
            }
        }
        let void = m.void != 0;
        let Some((round, voided, _)) = self.grants.get_mut(&m.request) else {
            self.grants
                .insert(m.request.clone(), (m.attempt, void, now));
            self.by_age.push_back((now, m.request.clone()));
            return GRANTED;
        };
        // The same round may turn its own claim into a void, as it knows that it has not run; never back.
        if *round == m.attempt && (void || !*voided) {
            *voided |= void;
            return GRANTED;
        }
        if *voided { VOIDED } else { HELD_BY_OTHER }
    }
}

#[derive(Clone, Debug)]
struct PendingClaim {
    holders: BTreeSet<Name>,
    quorum: usize,
    replies: BTreeMap<Name, u8>,
    deadline: Ms,
    requester: (Name, u64),
}

/// Claims under way for the local proxy.
#[derive(Clone, Debug, Default)]
pub struct Claimer {
    pending: BTreeMap<u64, PendingClaim>,
    last_token: u64,
}

/// A claim that ended: whom to tell, its token, the state.
pub type ClaimEnded = (Name, u64, u8);

impl Claimer {
    /// Asks the id's holders, or every known edge for a caller's key. `edges`: all that are known, this one
    /// among them.
    pub fn request(
        &mut self,
        proxy: &Name,
        m: &ClaimRequest,
        edges: &[Node],
        now: Ms,
        out: &mut Effects,
    ) {
        let proxy = (proxy.clone(), m.token);
        let by_key = m.request.starts_with(CALLER_KEY_PREFIX);
        let all = || {
            edges
                .iter()
                .map(|n| (n.name.clone(), n.incarnation))
                .collect()
        };
        let h: Option<Vec<ClaimHolder>> = if by_key {
            Some(all())
        } else {
            holders(&m.request)
        };
        let Some(h) = h.filter(|h| !h.is_empty()) else {
            out.push(send(
                &proxy.0,
                ClaimResult {
                    token: proxy.1,
                    state: ABSTAINED,
                },
            ));
            return;
        };
        self.last_token += 1;
        for (n, _) in &h {
            if let Some(e) = edges.iter().find(|e| e.name == *n) {
                let c = Claim {
                    token: self.last_token,
                    request: m.request.clone(),
                    attempt: m.attempt,
                    void: m.void,
                    key_age_ms: m.key_age_ms,
                };
                out.push(send(&e.addr, c));
            }
        }
        // A majority of three even where fewer edges were known when the id was minted: one of one would
        // be lost with that edge, which then abstains, and that is still safe.
        let need = h.len() / 2 + 1;
        let names = h.into_iter().map(|(n, _)| n).collect();
        self.pending.insert(
            self.last_token,
            PendingClaim {
                holders: names,
                quorum: need,
                replies: BTreeMap::new(),
                deadline: now + CLAIM_TIMEOUT,
                requester: proxy,
            },
        );
    }

    pub fn on_reply(&mut self, from: &Name, m: ClaimReply) -> Option<ClaimEnded> {
        let a = self.pending.get_mut(&m.token)?;
        if a.holders.contains(from) {
            a.replies.insert(from.clone(), m.state);
        }
        let count = |s: u8| a.replies.values().filter(|x| **x == s).count();
        let state = if count(GRANTED) >= a.quorum {
            GRANTED
        } else if count(VOIDED) >= a.quorum {
            VOIDED
        } else if a.replies.len() < a.holders.len() {
            return None;
        } else {
            undecided(a)
        };
        self.pending
            .remove(&m.token)
            .map(|a| (a.requester.0, a.requester.1, state))
    }

    pub fn tick(&mut self, now: Ms) -> Vec<ClaimEnded> {
        let late: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, a)| a.deadline <= now)
            .map(|(t, _)| *t)
            .collect();
        late.into_iter()
            .filter_map(|t| self.pending.remove(&t))
            .map(|a| (a.requester.0.clone(), a.requester.1, undecided(&a)))
            .collect()
    }
}

/// No majority: another round's claim is told, as that one may run.
fn undecided(a: &PendingClaim) -> u8 {
    if a.replies.values().any(|s| *s == HELD_BY_OTHER) {
        HELD_BY_OTHER
    } else {
        ABSTAINED
    }
}

#[cfg(test)]
mod tests;
