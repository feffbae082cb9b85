//! Confirmed ownership: leases of leased keys, and reads of the newest version. Both rest on a majority of voters that
//! has confirmed the owner since a given time.

use wire_messages::{LeasesRenewed, List, Name, OwnedKey, RenewLeases};

use super::{
    Registers,
    keys::is_leased,
    ownership::{Ownership, RESEND_INTERVAL},
};
use crate::{Effects, Ms};

impl Registers {
    /// The epoch under which this daemon owns a key, if it does, and until when. Only leased keys have an end; others
    /// are owned until a voter says otherwise.
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

    /// A majority of voters keeps others out at least until then.
    fn lease_end(&self, ownership: &Ownership) -> Ms {
        self.confirmed_at(ownership).map_or(0, |confirmed_at| {
            self.lease_grants.holder_lease_end(confirmed_at)
        })
    }

    /// When the majority was asked that has confirmed an ownership since.
    pub(super) fn confirmed_at(&self, ownership: &Ownership) -> Option<Ms> {
        ownership.confirmed_at(self.members.majority())
    }

    /// Asks the voters whether a key is still this daemon's own, unless they were asked since `since` and lately.
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

    /// Counts a voter's confirmation for the time at which it was asked for: what the voter did in between is unknown.
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
