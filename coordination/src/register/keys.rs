//! The classes of keys: which are leased, which remember what was replaced, and which are owned together.

use std::borrow::Cow;

/// Keys of singleton roles begin with this; their owner runs the rollout of the service named behind it.
pub const ROLLOUT_PREFIX: &str = "rollout/";
/// Keys of services' shared context copies. The daemon that owns a service's rollout key owns this one too, under leases
/// alike.
pub const CONTEXT_PREFIX: &str = "context/";
/// The key of the usage reports that the platform has not accepted yet; its owner reports usage to the platform.
pub const USAGE_KEY: &str = "usage";
/// The key whose value is the voters themselves.
pub const MEMBERS_KEY: &str = "members";

/// Whether a key is owned under a lease: its owner acts outside the registers, where no epoch would stop a former owner.
pub(super) fn is_leased(key: &str) -> bool {
    key.starts_with(ROLLOUT_PREFIX) || key.starts_with(CONTEXT_PREFIX) || key == USAGE_KEY
}

/// Whether operators write a key, and may repeat a write whose answer they never received.
pub(super) fn keeps_history(key: &str) -> bool {
    !is_leased(key) && key != MEMBERS_KEY
}

/// Whether edges get a key's values: what only the control daemons use is not sent to them.
pub(crate) fn is_sent_to_edges(key: &str) -> bool {
    key != USAGE_KEY
}

/// The key by which a key's owners are ranked: a service's context key goes with its rollout key.
pub(super) fn rendezvous_key(key: &str) -> Cow<'_, str> {
    key.strip_prefix(CONTEXT_PREFIX)
        .map_or(Cow::Borrowed(key), |service| {
            format!("{ROLLOUT_PREFIX}{service}").into()
        })
}
