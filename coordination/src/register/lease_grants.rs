//! The leases that this voter has granted. While one runs the voter promises its key to nobody but the holder; as a
//! majority does so, no other daemon can become the owner.

use std::collections::BTreeMap;

use wire_messages::Name;

use super::keys::is_leased;
use crate::Ms;

/// ms. A holder stops this long before voters let others in, covering clock rates that differ by up to 5%.
const LEASE_MARGIN: Ms = 200;

/// One granted lease.
#[derive(Clone, Debug)]
struct LeaseGrant {
    holder_addr: Name,
    /// The epoch of the ownership for which it was granted.
    epoch: u64,
    until: Ms,
}

#[derive(Clone, Debug)]
pub(super) struct LeaseGrants {
    lease_duration: Ms,
    grants: BTreeMap<Name, LeaseGrant>,
    /// Until then this voter may have granted leases that it does not remember.
    abstain_until: Ms,
}

impl LeaseGrants {
    /// Grants are not kept on disk: a voter that has just started waits out any lease that it may have granted before.
    pub(super) fn after_start(lease_duration: Ms, now: Ms) -> Self {
        LeaseGrants {
            lease_duration,
            grants: BTreeMap::new(),
            abstain_until: now + lease_duration,
        }
    }

    /// Waits a lease out from now on: this voter does not know which ones others granted before it voted.
    pub(super) fn abstain_for_one_lease(&mut self, now: Ms) {
        self.abstain_until = self.abstain_until.max(now + self.lease_duration);
    }

    /// No lease has ever been granted by anybody.
    pub(super) fn skip_abstention(&mut self) {
        self.abstain_until = 0;
    }

    /// ms. For how long `candidate_addr` may not own the key, as another daemon holds its lease, or may hold it.
    pub(super) fn wait(&self, key: &Name, candidate_addr: &Name, now: Ms) -> Ms {
        if !is_leased(key) {
            return 0;
        }
        let granted_until = self
            .grants
            .get(key)
            .filter(|grant| grant.holder_addr != *candidate_addr)
            .map_or(0, |grant| grant.until);
        granted_until.max(self.abstain_until).saturating_sub(now)
    }

    pub(super) fn grant(&mut self, key: &Name, holder_addr: &Name, epoch: u64, now: Ms) {
        let grant = LeaseGrant {
            holder_addr: holder_addr.clone(),
            epoch,
            until: now + self.lease_duration,
        };
        self.grants.insert(key.clone(), grant);
    }

    /// Ends a lease at its holder's word. One granted for a later ownership of the same holder runs on.
    pub(super) fn release(&mut self, key: &Name, holder_addr: &Name, epoch: u64) {
        if self
            .grants
            .get(key)
            .is_some_and(|grant| grant.holder_addr == *holder_addr && grant.epoch <= epoch)
        {
            self.grants.remove(key);
        }
    }

    /// When a lease ends for its holder. Voters count from when the renewal arrived, the holder from when it asked, so
    /// that it always ends earlier here than at any voter of the majority.
    pub(super) fn holder_lease_end(&self, renewal_sent_at: Ms) -> Ms {
        renewal_sent_at + self.lease_duration - LEASE_MARGIN
    }
}
