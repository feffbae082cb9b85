//! Beats and voters: who votes, who is read before it does, and whose place another takes.

use super::*;
use crate::timing::{HEARTBEAT_INTERVAL, NODE_RETENTION, PEER_TIMEOUT};

/// ms. An empty machine that came so lately came in a lost one's stead.
pub(crate) const JOINER_WINDOW: Ms = 20_000;
/// ms. A newcomer among the voters reads the others' disks in this time; longer, and it is given up as one.
const CATCH_UP_TIMEOUT: Ms = 3_000;
/// ms. Two daemons that hold different things for so long compare them, even where what they hold keeps changing.
const DIVERGENCE_TIMEOUT: Ms = 1_000;

impl Control {
    /// Whether this very disk is a voter's.
    pub(super) fn is_listed_voter(&self) -> bool {
        self.registers
            .members
            .voters
            .iter()
            .any(|v| v.disk_id == self.disk_id)
    }

    pub(super) fn live_voters(&self, now: Ms) -> impl Fn(&str) -> bool + use<> {
        let mut names: BTreeSet<Name> = self
            .peers
            .iter()
            .filter(|(_, p)| {
                now.saturating_sub(p.heard_at) <= PEER_TIMEOUT
                    && p.heartbeat.state == PeerState::Voter
                    && p.heartbeat.member_epoch == self.registers.members.member_epoch
            })
            .map(|(n, _)| n.clone())
            .collect();
        if !self.stopping && self.disk_healthy {
            names.insert(self.config.name.clone());
        }
        move |n| names.contains(n)
    }

    pub(super) fn on_heartbeat(
        &mut self,
        from: &Name,
        addr: &Name,
        m: Heartbeat,
        now: Ms,
        out: &mut Effects,
    ) {
        self.registers.set_addr(from, addr);
        self.disk_heard_at.insert(m.disk_id, now);
        let blank = matches!(m.state, PeerState::Blank | PeerState::Bootstrapping);
        let same = m.committed_digest == self.registers.committed_digest();
        if m.state == PeerState::Voter
            && m.member_epoch == self.registers.members.member_epoch
            && same
        {
            self.compared_with.insert(from.clone());
        }
        let missed = !same
            && (!self.compared_with.contains(from)
                || self.still_differs(from, m.committed_digest, now));
        if same {
            self.differences.remove(from);
        }
        let behind = m.member_epoch > self.registers.members.member_epoch
            || (m.state == PeerState::Voter && missed);
        if behind && !blank && now >= self.next_slots_request {
            self.next_slots_request = now + HEARTBEAT_INTERVAL / 4;
            out.push(send(
                addr,
                SlotsRequest {
                    member_epoch: self.registers.members.member_epoch,
                    known: self.registers.slot_metadata(),
                },
            ));
        }
        // The first voters are offered again to a member that was named among them but has not stored it.
        if blank
            && self.registers.members.member_epoch == 1
            && self
                .registers
                .members
                .voters
                .iter()
                .any(|v| v.disk_id == m.disk_id)
        {
            out.push(send(
                addr,
                Bootstrap {
                    voters: List(self.registers.members.voters.clone()),
                },
            ));
        }
        // Who is new, or was gone, learns of this daemon at once.
        if self.peers.get(from).is_none_or(|p| {
            now.saturating_sub(p.heard_at) > PEER_TIMEOUT || p.heartbeat.disk_id != m.disk_id
        }) {
            self.next_heartbeat = now;
        }
        self.peers.insert(
            from.clone(),
            Peer {
                heard_at: now,
                heartbeat: m,
                addr: addr.clone(),
            },
        );
    }

    /// Whether a peer that holds something else than this daemon will not be mended by what is on its way to either: that
    /// differs in one beat, while what was missed differs in the next one too, or for long.
    fn still_differs(&mut self, from: &Name, theirs: u64, now: Ms) -> bool {
        let digests = (theirs, self.registers.committed_digest());
        let Some(d) = self.differences.get_mut(from) else {
            self.differences.insert(
                from.clone(),
                Difference {
                    digests,
                    since: now,
                    compared_at: now,
                },
            );
            return false;
        };
        let missed =
            d.digests == digests || now.saturating_sub(d.compared_at) >= DIVERGENCE_TIMEOUT;
        *d = Difference {
            digests,
            since: d.since,
            compared_at: if missed { now } else { d.compared_at },
        };
        missed
    }

    /// Tells its slots, once all that it has voted is on its disk: an earlier member epoch must not come back here
    /// after a newcomer has counted on it to be over.
    pub(super) fn on_slots_request(
        &mut self,
        addr: &Name,
        m: SlotsRequest,
        now: Ms,
        out: &mut Effects,
    ) {
        self.registers.rewrite_uncommitted(&m.known, now, out);
        let slots = self.registers.slots_differing_from(&m.known);
        let r = &self.registers.members;
        let m = SlotsReply {
            member_epoch: r.member_epoch,
            voting: if r.voting { 1 } else { u8::from(r.retired) * 2 },
            previous_voter_count: r.previous_voter_count,
            voters: List(r.voters.clone()),
            slots,
        };
        out.push(Effect::Persist {
            rows: vec![],
            then: vec![send(addr, m)],
        });
    }

    pub(super) fn on_bootstrap(&mut self, m: Bootstrap, out: &mut Effects) {
        // Only a disk that is blank and named takes it; a later blank disk has another number.
        if self.registers.members.member_epoch == 0
            && m.voters.iter().any(|v| v.disk_id == self.disk_id)
        {
            self.begin_as_voter(m.voters.0, out);
        }
    }

    fn begin_as_voter(&mut self, voters: Vec<Voter>, out: &mut Effects) {
        self.registers.adopt_members(1, 0, voters, out);
        // Nobody ever voted before: there is no lease to wait out.
        self.registers.skip_lease_wait();
        self.registers.members.voting = true;
        // Until others know that it votes they take its keys.
        self.next_heartbeat = 0;
        out.push(log_event(events::BOOTSTRAPPED, &self.config.name, ""));
        out.push(Effect::Persist {
            rows: vec![self.registers.members_row()],
            then: vec![],
        });
    }

    pub(super) fn on_slots_reply(
        &mut self,
        from: &Name,
        m: SlotsReply,
        now: Ms,
        out: &mut Effects,
    ) {
        self.registers.repair(&m.slots, out);
        self.adopt_committed_voters(out);
        // The first voters stand under no key.
        if self.registers.members.member_epoch == 0
            && m.member_epoch == 1
            && m.voters.iter().any(|v| v.disk_id == self.disk_id)
        {
            self.begin_as_voter(m.voters.0, out);
        } else if m.member_epoch > self.registers.members.member_epoch {
            self.adopt_voters(m.member_epoch, m.previous_voter_count, m.voters.0, out);
        }
        if m.member_epoch != self.registers.members.member_epoch {
            return;
        }
        if m.voting == 1 {
            self.compared_with.insert(from.clone());
        }
        if self.registers.members.voting || !self.is_listed_voter() || m.voting == 0 {
            return;
        }
        let mut rows = self.registers.catch_up(&m.slots);
        self.caught_up_from.insert(from.clone());
        if self.caught_up_from.len() >= self.voters_to_read() {
            self.registers.start_voting(now);
            self.next_heartbeat = 0;
            out.push(log_event(
                events::VOTING,
                &self.config.name,
                format!("member epoch {}", self.registers.members.member_epoch),
            ));
        }
        rows.push(self.registers.members_row());
        out.push(Effect::Persist { rows, then: vec![] });
    }

    /// How many voters that have closed the member epoch before must be read: a majority of its voters, so that nothing
    /// more can be taken under it, and whatever was taken stands with one of those. Who voted in it or has itself read
    /// so many counts. Where their number is not known, all others.
    fn voters_to_read(&self) -> usize {
        match self.registers.members.previous_voter_count {
            0 => self.registers.members.voters.len() - 1,
            n => n as usize / 2 + 1,
        }
    }

    /// Adopts voters that were committed under the members' key.
    pub(super) fn adopt_committed_voters(&mut self, out: &mut Effects) {
        let Some(c) = self
            .registers
            .newly_committed
            .iter()
            .filter(|c| &*c.key == MEMBERS_KEY)
            .max_by_key(|c| c.version)
            .cloned()
        else {
            return;
        };
        let Some(stored) = voter_placement::decode(&c.value.0) else {
            return;
        };
        let member_epoch = c.version as u32 + 1;
        self.adopt_voters(
            member_epoch,
            stored.previous_voter_count,
            stored.voters,
            out,
        );
    }

    fn adopt_voters(
        &mut self,
        member_epoch: u32,
        before: u32,
        voters: Vec<Voter>,
        out: &mut Effects,
    ) {
        if member_epoch <= self.registers.members.member_epoch {
            return;
        }
        // Whoever lost its place and was given one again may lack what was taken in between.
        let kept = voters.iter().any(|v| {
            v.disk_id == self.disk_id && v.since_epoch <= self.registers.members.member_epoch
        });
        let left = !kept
            && self.registers.members.voting
            && member_epoch == self.registers.members.member_epoch + 1;
        self.registers
            .adopt_members(member_epoch, before, voters, out);
        self.registers.members.voting &= kept;
        self.registers.members.retired = left;
        self.caught_up_from.clear();
        // Until others know that it counts the same votes it is not live to them.
        (self.next_join, self.next_heartbeat, self.voters_changed_at) = (0, 0, self.tick_time);
        out.push(Effect::Persist {
            rows: vec![self.registers.members_row()],
            then: vec![],
        });
    }

    /// Gives lost voters' places to others, and adds voters where there are too few, if this daemon is the one to.
    pub(super) fn change_voters(
        &mut self,
        now: Ms,
        live: &dyn Fn(&str) -> bool,
        out: &mut Effects,
    ) {
        if now < self.next_voter_change || !self.registers.members.voting {
            return;
        }
        self.next_voter_change = now + 2 * HEARTBEAT_INTERVAL;
        self.disk_heard_at
            .retain(|_, t| now.saturating_sub(*t) < NODE_RETENTION);
        let mine = self
            .registers
            .preferred_owner(MEMBERS_KEY, live)
            .is_some_and(|v| v.name == self.config.name);
        // One that has just started has not heard the others yet.
        if !mine
            || now.saturating_sub(self.started_at) < 2 * PEER_TIMEOUT
            || self.registers.has_pending_writes(MEMBERS_KEY)
        {
            return;
        }
        let fresh = || {
            self.peers
                .iter()
                .filter(|(_, p)| now.saturating_sub(p.heard_at) <= PEER_TIMEOUT)
        };
        let votes = |v: &Voter| v.name == self.config.name || live(&v.name);
        let member_epoch = self.registers.members.member_epoch;
        // A newcomer is still reading: another change would have it begin anew.
        let reads = |p: &Peer| {
            p.heartbeat.state == PeerState::CatchingUp
                && self
                    .registers
                    .members
                    .voters
                    .iter()
                    .any(|v| v.disk_id == p.heartbeat.disk_id && v.since_epoch == member_epoch)
        };
        if now.saturating_sub(self.voters_changed_at) < CATCH_UP_TIMEOUT
            && fresh().any(|(_, p)| reads(p))
        {
            return;
        }
        let free = |p: &Peer| {
            matches!(
                p.heartbeat.state,
                PeerState::Blank
                    | PeerState::Bootstrapping
                    | PeerState::Joiner
                    | PeerState::Learner
            ) && !self
                .registers
                .members
                .voters
                .iter()
                .any(|v| v.disk_id == p.heartbeat.disk_id)
        };
        let candidates = fresh().filter(|(_, p)| free(p)).map(|(n, p)| {
            let voter = Voter {
                name: n.clone(),
                disk_id: p.heartbeat.disk_id,
                addr: p.addr.clone(),
                zone: p.heartbeat.zone.clone(),
                since_epoch: member_epoch + 1,
            };
            voter_placement::Candidate {
                voter,
                started_blank: p.heartbeat.state != PeerState::Learner,
            }
        });
        let silent = |v: &Voter| match v.disk_id == self.disk_id {
            true => 0,
            false => now.saturating_sub(
                self.disk_heard_at
                    .get(&v.disk_id)
                    .copied()
                    .unwrap_or(self.started_at),
            ),
        };
        let s = voter_placement::VoterChange {
            voters: &self.registers.members.voters,
            unheard_for: &silent,
            candidates: candidates.collect(),
            regions: &self.config.regions,
            bounds: &self.config.bounds,
            is_live: &votes,
        };
        let Some(next) = voter_placement::next_voters(&s) else {
            return;
        };
        let names: Vec<&str> = next.iter().map(|v| &*v.name).collect();
        out.push(log_event(
            events::VOTERS_CHANGED,
            &self.config.name,
            names.join(" "),
        ));
        let value = voter_placement::encode(self.registers.members.voters.len() as u32, &next);
        self.registers.propose(
            NO_CALLER,
            &MEMBERS_KEY.into(),
            Expect::Version(u64::from(member_epoch) - 1),
            value,
            now,
            out,
        );
    }

    /// What a daemon that does not vote yet does about it.
    pub(super) fn request_missing_slots(&mut self, now: Ms, out: &mut Effects) {
        if self.registers.members.voting || now < self.next_join {
            return;
        }
        self.next_join = now + HEARTBEAT_INTERVAL;
        if self.is_listed_voter() {
            let ask = SlotsRequest {
                member_epoch: self.registers.members.member_epoch,
                known: self.registers.slot_metadata(),
            };
            // Also those that have just lost their places: what they voted may stand with them alone.
            let mut to: BTreeMap<Name, Name> = self
                .registers
                .members
                .voters
                .iter()
                .map(|v| (v.name.clone(), self.registers.addr(v)))
                .collect();
            let fresh = self
                .peers
                .iter()
                .filter(|(_, p)| now.saturating_sub(p.heard_at) <= PEER_TIMEOUT);
            to.extend(fresh.map(|(n, p)| (n.clone(), p.addr.clone())));
            to.retain(|n, _| *n != self.config.name && !self.caught_up_from.contains(n));
            out.extend(to.values().map(|a| send(a, ask.clone())));
            return;
        }
        let fresh: Vec<(&Name, &Peer)> = self
            .peers
            .iter()
            .filter(|(_, p)| now.saturating_sub(p.heard_at) <= PEER_TIMEOUT)
            .collect();
        if let Some(voters) = self.bootstrap_voters(&fresh) {
            // Others store it when this daemon's next beats tell them. Should it crash before it is synced here, it
            // learns it from them, or writes the same again: it takes nothing but the same disks.
            self.begin_as_voter(voters, out);
        }
    }

    /// The first voters, once all of them are here with blank disks and this daemon is the one to write them down:
    /// the first by name where names are given, else the one at the first of the seeds.
    fn bootstrap_voters(&self, fresh: &[(&Name, &Peer)]) -> Option<Vec<Voter>> {
        if self.registers.members.member_epoch > 0 {
            return None;
        }
        let (name, addr, zone) = (
            self.config.name.clone(),
            self.config.addr.clone(),
            self.config.zone.clone(),
        );
        let me = Voter {
            name,
            disk_id: self.disk_id,
            addr,
            zone,
            since_epoch: 1,
        };
        let voter = |(n, p): &(&Name, &Peer)| Voter {
            name: (*n).clone(),
            disk_id: p.heartbeat.disk_id,
            addr: p.addr.clone(),
            zone: p.heartbeat.zone.clone(),
            since_epoch: 1,
        };
        let (own, places, state): (&Name, Vec<&Name>, PeerState) =
            match self.config.members.is_empty() {
                false => (
                    &self.config.name,
                    self.config.members.iter().collect(),
                    PeerState::Blank,
                ),
                true => (
                    &self.config.addr,
                    self.registers
                        .members
                        .voters
                        .iter()
                        .map(|v| &v.addr)
                        .collect(),
                    PeerState::Bootstrapping,
                ),
            };
        if places.iter().min() != Some(&own) {
            return None;
        }
        let named = !self.config.members.is_empty();
        let others = places.iter().filter(|p| **p != own).map(|place| {
            let here = fresh.iter().find(|(n, p)| {
                p.heartbeat.state == state && if named { n == place } else { p.addr == **place }
            });
            here.map(voter)
        });
        let mut voters = others.collect::<Option<Vec<_>>>()?;
        voters.insert(0, me);
        Some(voters)
    }
}
