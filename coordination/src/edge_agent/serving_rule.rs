//! The rule under which an edge serves, decided from what the agent can still hear.

use crate::{
    Ms,
    timing::{LEASE_DURATION, NODE_TIMEOUT},
};

/// A rule that was handed to a proxy is valid for so long: within it a dead agent is noticed.
pub const RULE_DURATION: Ms = 1_500;
/// Without a control majority for so long an agent compares tables with every edge, well before its
/// rule lapses.
pub const MAJORITY_MISSED_AFTER: Ms = 1_200;
/// How long an edge without a control majority goes on with stable versions while it compares
/// tables with most edges.
const STABLE_ONLY_MAX_DURATION: Ms = 60_000;

/// What an edge may serve.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServingRule {
    /// Every request is rejected at once.
    #[default]
    RejectAll,
    /// Stable versions only.
    StableOnly,
    /// All that leases allow.
    ServeAll,
}

/// [`ServingRule::RejectAll`] as its byte on the wire.
pub const REJECT_ALL: u8 = ServingRule::RejectAll.to_byte();
/// [`ServingRule::StableOnly`] as its byte on the wire.
pub const STABLE_ONLY: u8 = ServingRule::StableOnly.to_byte();
/// [`ServingRule::ServeAll`] as its byte on the wire.
pub const SERVE_ALL: u8 = ServingRule::ServeAll.to_byte();

impl ServingRule {
    /// The byte on the wire.
    pub const fn to_byte(self) -> u8 {
        match self {
            ServingRule::RejectAll => 0,
            ServingRule::StableOnly => 1,
            ServingRule::ServeAll => 2,
        }
    }

    /// Reads the byte on the wire. Proxies take an unknown one for neither of the ends.
    pub const fn from_byte(byte: u8) -> Self {
        match byte {
            0 => ServingRule::RejectAll,
            2 => ServingRule::ServeAll,
            _ => ServingRule::StableOnly,
        }
    }
}

/// An agent's contact with the control plane, from which its rule follows.
pub(super) struct Contact {
    /// The latest time such that a majority of settled control daemons has responded to a poll that
    /// was sent then or later; 0 if there is none.
    pub majority_poll_sent_at: Ms,
    /// Whether any control daemon has reported how many voters there are.
    pub knows_voters: bool,
}

/// A rule and when it ends.
#[derive(Clone, Copy, Debug)]
pub(super) struct Decision {
    pub rule: ServingRule,
    /// The rule until this decision.
    pub former_rule: ServingRule,
    pub valid_until: Ms,
}

/// The state from which the rule is decided.
#[derive(Clone, Debug, Default)]
pub(super) struct ServingState {
    rule: ServingRule,
    /// A majority of control daemons has sent settled updates to this incarnation of the agent.
    is_ready: bool,
    /// When the newest poll was sent to which a control majority has responded in time.
    majority_contact_at: Ms,
    /// When the process last ran again after it had been suspended.
    resumed_at: Ms,
    /// Out of contact with the control plane it serves stable versions on, by what it knew last.
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

    /// Whether the agent once was in contact with a control majority and has been without it long
    /// enough to look for a majority of edges. One that serves when partitioned all the same has no
    /// use for that.
    pub fn misses_majority(&self, now: Ms) -> bool {
        !self.serve_when_partitioned
            && self.majority_contact_at > 0
            && now.saturating_sub(self.majority_contact_at) > MAJORITY_MISSED_AFTER
    }

    /// Decides the rule. `compared_with_most_edges`, whether most edges have lately compared tables
    /// with this one, is asked only if it matters.
    pub fn update(
        &mut self,
        contact: &Contact,
        compared_with_most_edges: impl FnOnce() -> bool,
        now: Ms,
    ) -> Decision {
        let lease_until = contact.majority_poll_sent_at + LEASE_DURATION;
        let hears_majority = self.is_ready
            && contact.knows_voters
            && contact.majority_poll_sent_at > 0
            && lease_until > now;
        if hears_majority {
            self.majority_contact_at = contact.majority_poll_sent_at;
        }
        let (rule, valid_until) = if hears_majority {
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
        // Bounds bind daemons in contact; what always binds is guaranteed by each edge's own part
        // of it.
        if self.serve_when_partitioned {
            return true;
        }
        // An agent that was partitioned or suspended may have stale values: from then on only a
        // control majority lets it serve again. The stable rule is for those that went on hearing
        // the others all along.
        let is_continuous = self.rule != ServingRule::RejectAll
            && now.saturating_sub(self.resumed_at) > NODE_TIMEOUT;
        let is_recent = now.saturating_sub(self.majority_contact_at) <= STABLE_ONLY_MAX_DURATION;
        is_continuous && is_recent && compared_with_most_edges()
    }
}
