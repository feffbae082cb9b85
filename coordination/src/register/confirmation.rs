//! Confirmed ownership: the basis of leases and of reads of the newest version. Both require that a majority of voters
//! has confirmed the owner since a given time.

use wire_messages::{LeasesRenewed, List, Name, OwnedKey, RenewLeases};

use super::{
    Registers,
    keys::is_leased,
    ownership::{Ownership, RESEND_INTERVAL},
};
use crate::{Effects, Ms};

impl Registers {
    /// Returns the epoch under which this daemon owns a key, if it does, and until when. Only the ownership of leased
    /// keys expires; others are owned until a voter reports a higher epoch.
    pub fn held_until(&self, key: &str, now: Ms) -> Option<(u64, Ms)> {
        let ownership = self
            .ownerships
            .get(key)
            .filter(|ownership| ownership.is_owning())?;
        if !is_leased(key) {
            return Some((ownership.epoch, Ms::MAX));
        }
        let until = self.lease_end(ownership);
        (until > now).then_some((ownership.epoch, until))
    }

    /// Returns a time before which a majority of voters promises the key to no other daemon.
    fn lease_end(&self, ownership: &Ownership) -> Ms {
        self.confirmed_at(ownership).map_or(0, |confirmed_at| {
            self.lease_grants.holder_lease_end(confirmed_at)
        })
    }

    /// Returns when a majority last confirmed an ownership, as of the time of the requests.
    pub(super) fn confirmed_at(&self, ownership: &Ownership) -> Option<Ms> {
        ownership.confirmed_at(self.members.majority())
    }

    /// Asks the voters to confirm that this daemon owns a key, unless they were asked since `since` and within the
    /// resend interval.
    pub(super) fn confirm_ownership(&mut self, key: &Name, since: Ms, now: Ms, out: &mut Effects) {
        let Some(ownership) = self.ownerships.get_mut(key) else {
            return;
        };
        if ownership.confirmation_sent_at >= since
            && now.saturating_sub(ownership.confirmation_sent_at) < RESEND_INTERVAL
        {
            return;
        }
        ownership.confirmation_sent_at = now;
        let owned = ownership.owned_key(key);
        self.broadcast_renewal(List(vec![owned]), now, out);
    }

    pub(super) fn broadcast_renewal(&self, keys: List<OwnedKey>, now: Ms, out: &mut Effects) {
        let renewal = RenewLeases {
            keys,
            sent_at: now,
            member_epoch: self.members.member_epoch,
        };
        self.broadcast(renewal, out);
    }

    /// Counts a voter's confirmation as of the time at which the request was sent: what the voter did since then is
    /// unknown.
    pub fn on_renewed(&mut self, voter: &Name, renewed: LeasesRenewed, now: Ms, out: &mut Effects) {
        if renewed.member_epoch != self.members.member_epoch || !self.members.has_voter(voter) {
            return;
        }
        for owned in renewed.keys {
            let Some(ownership) = self
                .ownerships
                .get_mut(&owned.key)
                .filter(|ownership| ownership.epoch == owned.epoch)
            else {
                continue;
            };
            let requested_at = ownership.confirmed_by.entry(voter.clone()).or_insert(0);
            *requested_at = renewed.request_sent_at.max(*requested_at);
            self.advance(&owned.key, now, out);
        }
    }
}
