//! Beats and voters: who votes, who is read before it does, and whose place another takes.

use super::*;

impl Control {
    /// Whether this very disk is a voter's.
    pub(super) fn named(&self) -> bool {
        self.regs.voters.iter().any(|v| v.disk_id == self.disk)
    }

    pub(super) fn live(&self, now: Ms) -> impl Fn(&str) -> bool + use<> {
        let mut names: BTreeSet<Name> = self
            .peers
            .iter()
            .filter(|(_, p)| {
                now.saturating_sub(p.at) <= PEER_GONE
                    && p.beat.state == PeerState::Voter
                    && p.beat.member_epoch == self.regs.member_epoch
            })
            .map(|(n, _)| n.clone())
            .collect();
        if !self.going && self.disk_ok {
            names.insert(self.p.name.clone());
        }
        move |n| names.contains(n)
    }

    pub(super) fn on_heartbeat(&mut self, from: &Name, addr: &Name, m: Heartbeat, now: Ms, out: &mut Effects) {
        self.regs.set_addr(from, addr);
        self.heard.insert(m.disk_id, now);
        let blank = matches!(m.state, PeerState::Blank | PeerState::Bootstrapping);
        let same = m.committed_digest == self.regs.digest();
        if m.state == PeerState::Voter && m.member_epoch == self.regs.member_epoch && same {
            self.met.insert(from.clone());
        }
        let missed = !same && (!self.met.contains(from) || self.still_differs(from, m.committed_digest, now));
        if same {
            self.differed.remove(from);
        }
        let behind = m.member_epoch > self.regs.member_epoch || (m.state == PeerState::Voter && missed);
        if behind && !blank && now >= self.next_ask {
            self.next_ask = now + HEARTBEAT_EVERY / 4;
            out.push(send(addr, SlotsRequest { member_epoch: self.regs.member_epoch, known: self.regs.have() }));
        }
        // The first voters are offered again to a member that was named among them but has not stored it.
        if blank && self.regs.member_epoch == 1 && self.regs.voters.iter().any(|v| v.disk_id == m.disk_id) {
            out.push(send(addr, Bootstrap { voters: List(self.regs.voters.clone()) }));
        }
        // Who is new, or was gone, learns of this daemon at once.
        if self.peers.get(from).is_none_or(|p| now.saturating_sub(p.at) > PEER_GONE || p.beat.disk_id != m.disk_id) {
            self.next_beat = now;
        }
        self.peers.insert(from.clone(), Peer { at: now, beat: m, addr: addr.clone() });
    }

    /// Whether a peer that holds something else than this daemon will not be mended by what is on its way to either: that
    /// differs in one beat, while what was missed differs in the next one too, or for long.
    fn still_differs(&mut self, from: &Name, theirs: u64, now: Ms) -> bool {
        let digests = (theirs, self.regs.digest());
        let Some(d) = self.differed.get_mut(from) else {
            self.differed.insert(from.clone(), Difference { digests, since: now, compared: now });
            return false;
        };
        let missed = d.digests == digests || now.saturating_sub(d.compared) >= DIFFERS_LONG;
        *d = Difference { digests, since: d.since, compared: if missed { now } else { d.compared } };
        missed
    }

    /// Tells its slots, once all that it has voted is on its disk: an earlier member epoch must not come back here
    /// after a newcomer has counted on it to be over.
    pub(super) fn on_slots_ask(&mut self, addr: &Name, m: SlotsRequest, now: Ms, out: &mut Effects) {
        self.regs.write_again(&m.known, now, out);
        let r = &self.regs;
        let slots = r.slots_beyond(&m.known);
        let m = SlotsReply {
            member_epoch: r.member_epoch,
            voting: if r.voting { 1 } else { u8::from(r.left) * 2 },
            previous_voter_count: r.before,
            voters: List(r.voters.clone()),
            slots,
        };
        out.push(Effect::Persist { rows: vec![], then: vec![send(addr, m)] });
    }

    pub(super) fn on_genesis(&mut self, m: Bootstrap, out: &mut Effects) {
        // Only a disk that is blank and named takes it; a later blank disk has another number.
        if self.regs.member_epoch == 0 && m.voters.iter().any(|v| v.disk_id == self.disk) {
            self.begin(m.voters.0, out);
        }
    }

    fn begin(&mut self, voters: Vec<Voter>, out: &mut Effects) {
        self.regs.follow(1, 0, voters, out);
        // Nobody ever voted before: there is no lease to wait out.
        self.regs.no_leases_before();
        self.regs.voting = true;
        // Until others know that it votes they take its keys.
        self.next_beat = 0;
        out.push(note(events::GENESIS, &self.p.name, ""));
        out.push(Effect::Persist { rows: vec![self.regs.members_row()], then: vec![] });
    }

    pub(super) fn on_slots(&mut self, from: &Name, m: SlotsReply, now: Ms, out: &mut Effects) {
        self.regs.mend(&m.slots, out);
        self.follow_members(out);
        // The first voters stand under no key.
        if self.regs.member_epoch == 0 && m.member_epoch == 1 && m.voters.iter().any(|v| v.disk_id == self.disk) {
            self.begin(m.voters.0, out);
        } else if m.member_epoch > self.regs.member_epoch {
            self.follow(m.member_epoch, m.previous_voter_count, m.voters.0, out);
        }
        if m.member_epoch != self.regs.member_epoch {
            return;
        }
        if m.voting == 1 {
            self.met.insert(from.clone());
        }
        if self.regs.voting || !self.named() || m.voting == 0 {
            return;
        }
        let mut rows = self.regs.catch_up(&m.slots);
        self.caught.insert(from.clone());
        if self.caught.len() >= self.to_read() {
            self.regs.vote(now);
            self.next_beat = 0;
            out.push(note(events::VOTING, &self.p.name, format!("member epoch {}", self.regs.member_epoch)));
        }
        rows.push(self.regs.members_row());
        out.push(Effect::Persist { rows, then: vec![] });
    }

    /// How many voters that have closed the member epoch before must be read: a majority of its voters, so that nothing
    /// more can be taken under it, and whatever was taken stands with one of those. Who voted in it or has itself read
    /// so many counts. Where their number is not known, all others.
    fn to_read(&self) -> usize {
        match self.regs.before {
            0 => self.regs.voters.len() - 1,
            n => n as usize / 2 + 1,
        }
    }

    /// Adopts voters that were committed under the members' key.
    pub(super) fn follow_members(&mut self, out: &mut Effects) {
        let Some(c) = self.regs.fresh.iter().filter(|c| &*c.key == MEMBERS).max_by_key(|c| c.version).cloned() else { return };
        let (Some((before, voters)), member_epoch) = (members::of_bytes(&c.value.0), c.version as u32 + 1) else { return };
        self.follow(member_epoch, before, voters, out);
    }

    fn follow(&mut self, member_epoch: u32, before: u32, voters: Vec<Voter>, out: &mut Effects) {
        if member_epoch <= self.regs.member_epoch {
            return;
        }
        // Whoever lost its place and was given one again may lack what was taken in between.
        let kept = voters.iter().any(|v| v.disk_id == self.disk && v.since_epoch <= self.regs.member_epoch);
        let left = !kept && self.regs.voting && member_epoch == self.regs.member_epoch + 1;
        self.regs.follow(member_epoch, before, voters, out);
        self.regs.voting &= kept;
        self.regs.left = left;
        self.caught.clear();
        // Until others know that it counts the same votes it is not live to them.
        (self.next_join, self.next_beat, self.changed) = (0, 0, self.clock);
        out.push(Effect::Persist { rows: vec![self.regs.members_row()], then: vec![] });
    }

    /// Gives lost voters' places to others, and adds voters where there are too few, if this daemon is the one to.
    pub(super) fn change_voters(&mut self, now: Ms, live: &dyn Fn(&str) -> bool, out: &mut Effects) {
        if now < self.next_voter_change || !self.regs.voting {
            return;
        }
        self.next_voter_change = now + 2 * HEARTBEAT_EVERY;
        self.heard.retain(|_, t| now.saturating_sub(*t) < NODE_FORGOTTEN);
        let mine = self.regs.first(MEMBERS, live).is_some_and(|v| v.name == self.p.name);
        // One that has just started has not heard the others yet.
        if !mine || now.saturating_sub(self.started) < 2 * PEER_GONE || self.regs.busy(MEMBERS) {
            return;
        }
        let fresh = || self.peers.iter().filter(|(_, p)| now.saturating_sub(p.at) <= PEER_GONE);
        let votes = |v: &Voter| v.name == self.p.name || live(&v.name);
        let member_epoch = self.regs.member_epoch;
        // A newcomer is still reading: another change would have it begin anew.
        let reads = |p: &Peer| {
            p.beat.state == PeerState::CatchingUp
                && self.regs.voters.iter().any(|v| v.disk_id == p.beat.disk_id && v.since_epoch == member_epoch)
        };
        if now.saturating_sub(self.changed) < READING && fresh().any(|(_, p)| reads(p)) {
            return;
        }
        let free = |p: &Peer| {
            matches!(p.beat.state, PeerState::Blank | PeerState::Bootstrapping | PeerState::Joiner | PeerState::Learner)
                && !self.regs.voters.iter().any(|v| v.disk_id == p.beat.disk_id)
        };
        let candidates = fresh().filter(|(_, p)| free(p)).map(|(n, p)| {
            let v = Voter {
                name: n.clone(),
                disk_id: p.beat.disk_id,
                addr: p.addr.clone(),
                zone: p.beat.zone.clone(),
                since_epoch: member_epoch + 1,
            };
            (v, p.beat.state != PeerState::Learner)
        });
        let silent = |v: &Voter| match v.disk_id == self.disk {
            true => 0,
            false => now.saturating_sub(self.heard.get(&v.disk_id).copied().unwrap_or(self.started)),
        };
        let s = members::VoterChange {
            voters: &self.regs.voters,
            silent: &silent,
            candidates: candidates.collect(),
            regions: &self.p.regions,
            bounds: &self.p.bounds,
            live: &votes,
        };
        let Some(next) = members::next(&s) else { return };
        let names: Vec<&str> = next.iter().map(|v| &*v.name).collect();
        out.push(note(events::PLACE_GIVEN, &self.p.name, names.join(" ")));
        let value = members::to_bytes(self.regs.voters.len() as u32, &next);
        self.regs.propose(NOBODY, &MEMBERS.into(), Expect::Version(u64::from(member_epoch) - 1), value, now, out);
    }

    /// What a daemon that does not vote yet does about it.
    pub(super) fn join(&mut self, now: Ms, out: &mut Effects) {
        if self.regs.voting || now < self.next_join {
            return;
        }
        self.next_join = now + HEARTBEAT_EVERY;
        if self.named() {
            let ask = SlotsRequest { member_epoch: self.regs.member_epoch, known: self.regs.have() };
            // Also those that have just lost their places: what they voted may stand with them alone.
            let mut to: BTreeMap<Name, Name> = self.regs.voters.iter().map(|v| (v.name.clone(), self.regs.addr(v))).collect();
            let fresh = self.peers.iter().filter(|(_, p)| now.saturating_sub(p.at) <= PEER_GONE);
            to.extend(fresh.map(|(n, p)| (n.clone(), p.addr.clone())));
            to.retain(|n, _| *n != self.p.name && !self.caught.contains(n));
            out.extend(to.values().map(|a| send(a, ask.clone())));
            return;
        }
        let fresh: Vec<(&Name, &Peer)> = self.peers.iter().filter(|(_, p)| now.saturating_sub(p.at) <= PEER_GONE).collect();
        if let Some(voters) = self.founders(&fresh) {
            // Others store it when this daemon's next beats tell them. Should it crash before it is synced here, it
            // learns it from them, or writes the same again: it takes nothing but the same disks.
            self.begin(voters, out);
        }
    }

    /// The first voters, once all of them are here with blank disks and this daemon is the one to write them down:
    /// the first by name where names are given, else the one at the first of the seeds.
    fn founders(&self, fresh: &[(&Name, &Peer)]) -> Option<Vec<Voter>> {
        if self.regs.member_epoch > 0 {
            return None;
        }
        let (name, addr, zone) = (self.p.name.clone(), self.p.addr.clone(), self.p.zone.clone());
        let me = Voter { name, disk_id: self.disk, addr, zone, since_epoch: 1 };
        let voter = |(n, p): &(&Name, &Peer)| Voter {
            name: (*n).clone(),
            disk_id: p.beat.disk_id,
            addr: p.addr.clone(),
            zone: p.beat.zone.clone(),
            since_epoch: 1,
        };
        let (own, places, state): (&Name, Vec<&Name>, PeerState) = match self.p.members.is_empty() {
            false => (&self.p.name, self.p.members.iter().collect(), PeerState::Blank),
            true => (&self.p.addr, self.regs.voters.iter().map(|v| &v.addr).collect(), PeerState::Bootstrapping),
        };
        if places.iter().min() != Some(&own) {
            return None;
        }
        let named = !self.p.members.is_empty();
        let others = places.iter().filter(|p| **p != own).map(|place| {
            let here = fresh.iter().find(|(n, p)| p.beat.state == state && if named { n == place } else { p.addr == **place });
            here.map(voter)
        });
        let mut voters = others.collect::<Option<Vec<_>>>()?;
        voters.insert(0, me);
        Some(voters)
    }
}
