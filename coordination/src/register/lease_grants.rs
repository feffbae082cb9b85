//! Leases granted by this voter. While a lease runs the voter promises its key to no daemon but the holder. As a
//! majority does so, no other daemon can become the owner.

use std::collections::BTreeMap;

use wire_messages::Name;

use super::keys::is_leased;
use crate::Ms;

/// Margin in ms by which a lease ends earlier for its holder than for the voters. Covers clock rates that differ by up
/// to 5%.
const LEASE_MARGIN: Ms = 200;

/// A granted lease.
#[derive(Clone, Debug)]
struct LeaseGrant {
    holder_addr: Name,
    /// Epoch of the holder's ownership.
    epoch: u64,
    until: Ms,
}

#[derive(Clone, Debug)]
pub(super) struct LeaseGrants {
    lease_duration: Ms,
    grants: BTreeMap<Name, LeaseGrant>,
    /// Until this time there may be leases that this voter does not know.
    abstain_until: Ms,
}

impl LeaseGrants {
    /// Returns the state of a voter that has just started. Grants are not stored, so it waits for one lease duration,
    /// until any lease granted before the restart has expired.
    pub(super) fn after_start(lease_duration: Ms, now: Ms) -> Self {
        LeaseGrants {
            lease_duration,
            grants: BTreeMap::new(),
            abstain_until: now + lease_duration,
        }
    }

    /// Abstains for one lease duration: this voter does not know the leases that others granted before it voted.
    pub(super) fn abstain_for_one_lease(&mut self, now: Ms) {
        self.abstain_until = self.abstain_until.max(now + self.lease_duration);
    }

    /// Ends the abstention: no voter has ever granted a lease.
    pub(super) fn skip_abstention(&mut self) {
        self.abstain_until = 0;
    }

    /// Returns for how long, in ms, `candidate_addr` may not own the key because another daemon holds or may hold its
    /// lease.
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

    /// Ends a lease released by its holder. A lease granted for a later ownership of the same holder continues.
    pub(super) fn release(&mut self, key: &Name, holder_addr: &Name, epoch: u64) {
        if self
            .grants
            .get(key)
            .is_some_and(|grant| grant.holder_addr == *holder_addr && grant.epoch <= epoch)
        {
            self.grants.remove(key);
        }
    }

    /// Returns when a lease ends for its holder. The holder counts from sending the renewal, voters from receiving it,
    /// so the lease always ends earlier at the holder than at any voter of the majority.
    pub(super) fn holder_lease_end(&self, renewal_sent_at: Ms) -> Ms {
        renewal_sent_at + self.lease_duration - LEASE_MARGIN
    }
}
