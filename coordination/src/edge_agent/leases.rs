//! Leases that control daemons grant under their singleton roles, and that this agent forwards to
//! its proxy.

use std::collections::BTreeMap;

use wire_messages::{Lease, List, Name, ProxyLease};

use crate::Ms;

#[derive(Clone, Debug)]
struct ReceivedLease {
    lease: Lease,
    expires_at: Ms,
    /// The control daemon that sent the lease and holds the service's role.
    holder: Name,
}

impl ReceivedLease {
    fn is_superseded_by(&self, lease: &Lease, expires_at: Ms) -> bool {
        (self.lease.epoch, self.expires_at) <= (lease.epoch, expires_at)
    }
}

/// The newest lease of each service.
#[derive(Clone, Debug, Default)]
pub(super) struct Leases {
    by_service: BTreeMap<Name, ReceivedLease>,
}

impl Leases {
    /// Records a lease received in response to a poll. Its duration counts from the send time of
    /// the poll, so that it expires no later here than at its holder. A lease of a lower epoch is
    /// from a former holder and is ignored.
    pub fn receive(&mut self, holder: &Name, lease: Lease, poll_sent_at: Ms) {
        let expires_at = poll_sent_at + Ms::from(lease.ttl_ms);
        let is_newer = self
            .by_service
            .get(&lease.service)
            .is_none_or(|received| received.is_superseded_by(&lease, expires_at));
        if is_newer {
            let received = ReceivedLease {
                expires_at,
                holder: holder.clone(),
                lease,
            };
            self.by_service
                .insert(received.lease.service.clone(), received);
        }
    }

    /// Returns the control daemon that last sent the newest lease of a service.
    pub fn holder(&self, service: &Name) -> Option<&Name> {
        self.by_service
            .get(service)
            .map(|received| &received.holder)
    }

    /// Returns the leases that have not expired.
    pub fn unexpired(&self, now: Ms) -> List<ProxyLease> {
        self.by_service
            .values()
            .filter(|received| received.expires_at > now)
            .map(|received| ProxyLease {
                lease: received.lease.clone(),
                expires_at: received.expires_at,
            })
            .collect()
    }
}
