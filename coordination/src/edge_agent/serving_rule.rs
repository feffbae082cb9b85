//! The serving rule of an edge, decided from the agent's contact with control daemons and other
//! edges.

use crate::{
    Ms,
    timing::{LEASE_DURATION, NODE_TIMEOUT},
};

/// Time for which a rule sent to a proxy is valid, in ms. A failed agent is detected within it.
pub const RULE_DURATION: Ms = 1_500;
/// Time without contact with a control majority after which an agent compares tables with every
/// edge, in ms; well before its rule expires.
pub const MAJORITY_TIMEOUT: Ms = 1_200;
/// Maximum time for which an edge without a control majority continues to serve stable versions
/// while it compares tables with most edges, in ms.
const STABLE_ONLY_MAX_DURATION: Ms = 60_000;

/// What an edge is allowed to serve.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServingRule {
    /// Every request is rejected at once.
    #[default]
    RejectAll,
    /// Stable versions only.
    StableOnly,
    /// All versions that leases allow.
    ServeAll,
}

/// [`ServingRule::RejectAll`] as its byte on the wire.
pub const REJECT_ALL: u8 = ServingRule::RejectAll.to_byte();
/// [`ServingRule::StableOnly`] as its byte on the wire.
pub const STABLE_ONLY: u8 = ServingRule::StableOnly.to_byte();
/// [`ServingRule::ServeAll`] as its byte on the wire.
pub const SERVE_ALL: u8 = ServingRule::ServeAll.to_byte();

impl ServingRule {
    /// Returns the byte on the wire.
    pub const fn to_byte(self) -> u8 {
        match self {
            ServingRule::RejectAll => 0,
            ServingRule::StableOnly => 1,
            ServingRule::ServeAll => 2,
        }
    }

    /// Decodes the byte on the wire. An unknown byte is treated as [`ServingRule::StableOnly`], the
    /// middle rule.
    pub const fn from_byte(byte: u8) -> Self {
        match byte {
            0 => ServingRule::RejectAll,
            2 => ServingRule::ServeAll,
            _ => ServingRule::StableOnly,
        }
    }
}

/// An agent's contact with the control plane, which determines its rule.
pub(super) struct Contact {
    /// The latest time such that a majority of settled control daemons has responded to a poll that
    /// was sent then or later; 0 if there is none.
    pub majority_poll_sent_at: Ms,
    /// Whether any control daemon has reported how many voters there are.
    pub knows_voters: bool,
}

/// A serving rule and its expiry time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Decision {
    pub rule: ServingRule,
    /// The rule before this decision.
    pub former_rule: ServingRule,
    pub valid_until: Ms,
}

/// State from which the serving rule is decided.
#[derive(Clone, Debug, Default)]
pub(super) struct ServingState {
    rule: ServingRule,
    /// Whether a majority of control daemons has sent settled updates to this incarnation of the
    /// agent.
    is_ready: bool,
    /// Send time of the newest poll to which a control majority has responded in time.
    majority_contact_at: Ms,
    /// When the process last resumed after a suspension.
    resumed_at: Ms,
    /// Whether to continue serving stable versions from the last known state while out of contact
    /// with the control plane.
    pub serve_when_partitioned: bool,
}

impl ServingState {
    pub fn rule(&self) -> ServingRule {
        self.rule
    }

    pub fn is_ready(&self) -> bool {
        self.is_ready
    }

    pub fn set_ready(&mut self) {
        self.is_ready = true;
    }

    pub fn set_resumed(&mut self, now: Ms) {
        self.resumed_at = now;
    }

    /// Whether the agent has been out of contact with a control majority long enough to look for a
    /// majority of edges. False if it never was in contact, or if it serves when partitioned and so
    /// does not need the edges.
    pub fn has_lost_majority(&self, now: Ms) -> bool {
        !self.serve_when_partitioned
            && self.majority_contact_at > 0
            && now.saturating_sub(self.majority_contact_at) > MAJORITY_TIMEOUT
    }

    /// Decides the rule. `compared_with_most_edges` returns whether most edges have recently compared
    /// tables with this one, and is evaluated only if needed.
    pub fn update(
        &mut self,
        contact: &Contact,
        compared_with_most_edges: impl FnOnce() -> bool,
        now: Ms,
    ) -> Decision {
        let lease_until = contact.majority_poll_sent_at + LEASE_DURATION;
        let has_majority = self.is_ready
            && contact.knows_voters
            && contact.majority_poll_sent_at > 0
            && lease_until > now;
        if has_majority {
            self.majority_contact_at = contact.majority_poll_sent_at;
        }
        let (rule, valid_until) = if has_majority {
            (ServingRule::ServeAll, lease_until)
        } else if self.may_serve_stable(compared_with_most_edges, now) {
            (ServingRule::StableOnly, now + RULE_DURATION)
        } else {
            (ServingRule::RejectAll, 0)
        };
        let former_rule = std::mem::replace(&mut self.rule, rule);
        Decision {
            rule,
            former_rule,
            valid_until,
        }
    }

    /// Whether stable versions may be served without a control majority.
    fn may_serve_stable(&self, compared_with_most_edges: impl FnOnce() -> bool, now: Ms) -> bool {
        if !self.is_ready {
            return false;
        }
        // Bounds apply to daemons in contact; limits that always apply hold because each edge
        // enforces its own share of them.
        if self.serve_when_partitioned {
            return true;
        }
        // An agent that was partitioned or suspended may have stale values and serves again only
        // after contact with a control majority. The stable-only rule is for agents that have been
        // in contact with other edges without interruption.
        let is_continuous = self.rule != ServingRule::RejectAll
            && now.saturating_sub(self.resumed_at) > NODE_TIMEOUT;
        let is_recent = now.saturating_sub(self.majority_contact_at) <= STABLE_ONLY_MAX_DURATION;
        is_continuous && is_recent && compared_with_most_edges()
    }
}
