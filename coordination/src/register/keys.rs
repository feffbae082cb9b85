//! Classes of keys: which are leased, which keep a history of replaced values, and which share an owner.

use std::borrow::Cow;

/// Prefix of rollout keys (a singleton role). The owner runs the rollout of the service whose name follows the prefix.
pub const ROLLOUT_PREFIX: &str = "rollout/";
/// Prefix of the keys of services' shared context copies. The daemon that owns a service's rollout key also owns its
/// context key, which is leased too.
pub const CONTEXT_PREFIX: &str = "context/";
/// Key of the usage reports that the platform has not accepted yet; its owner reports usage to the platform.
pub const USAGE_KEY: &str = "usage";
/// Key of the roster of edges (a singleton role). Its owner maintains the roster.
pub const EDGE_ROSTER_KEY: &str = "edges";
/// Key whose value is the set of voters.
pub const MEMBERS_KEY: &str = "members";

/// Returns whether a key is leased: its owner acts outside the registers, where no epoch would stop a former owner.
pub(super) fn is_leased(key: &str) -> bool {
    key.starts_with(ROLLOUT_PREFIX)
        || key.starts_with(CONTEXT_PREFIX)
        || key == USAGE_KEY
        || key == EDGE_ROSTER_KEY
}

/// Returns whether a key keeps its history: operators write it, and may repeat a write whose answer they did not
/// receive.
pub(super) fn keeps_history(key: &str) -> bool {
    !is_leased(key) && key != MEMBERS_KEY
}

/// Returns whether a key's values are sent to edges; some are used only by control daemons.
pub(crate) fn is_sent_to_edges(key: &str) -> bool {
    key != USAGE_KEY
}

/// Returns the key that determines the rendezvous order: for a service's context key, its rollout key.
pub(super) fn rendezvous_key(key: &str) -> Cow<'_, str> {
    key.strip_prefix(CONTEXT_PREFIX)
        .map_or(Cow::Borrowed(key), |service| {
            format!("{ROLLOUT_PREFIX}{service}").into()
        })
}
