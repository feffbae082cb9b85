//! What operators and supervisors see.

use super::*;

impl Control {
    pub fn status(&self, now: Ms) -> Status {
        let live = self.live(now);
        let keys = self.regs.keys().map(|s| {
            let held = self.regs.holds(&s.key, now);
            KeyStatus {
                key: s.key.to_string(),
                owner: self.regs.first(&s.key, &live).map_or(String::new(), |v| v.name.to_string()),
                epoch: s.accepted_epoch,
                version: s.version,
                permit_ms: held.filter(|h| h.1 != Ms::MAX).map(|h| h.1 - now),
            }
        });
        let members = self.regs.voters.iter().map(|v| self.member_status(v, live(&v.name), now));
        let edges = self.agents.values().map(|a| EdgeStatus {
            edge: a.node.name.to_string(),
            zone: a.node.zone.to_string(),
            heard_ms_ago: now.saturating_sub(a.at),
            spec_version: a.seen.iter().find(|c| &*c.key == SPEC).map_or(0, |c| c.version),
            versions: a.seen.iter().map(|c| KeyVersion { key: c.key.to_string(), version: c.version }).collect(),
        });
        let contexts = self.board.under(CONTEXT).filter_map(|(_, c)| packed::of_bytes(&c.value.0));
        let rollouts = self.board.under(DUTY).filter_map(|(_, c)| packed::of_bytes(&c.value.0));
        let zones = self.spec.as_ref().map_or(vec![], |s| s.zones.clone());
        let heard = || self.agents.values().filter(|a| now.saturating_sub(a.at) <= FOLLOWER_GONE).flat_map(|a| &a.opens);
        let homes: BTreeMap<String, String> = self
            .board
            .under(DUTY)
            .filter_map(|(_, c)| packed::of_bytes::<RolloutRecord>(&c.value.0))
            .flat_map(|r| r.replicas)
            .map(|p| (p.id, p.zone))
            .collect();
        let streams = zones.iter().map(|z| ZoneStreams {
            zone: z.name.clone(),
            streams: heard().filter(|((r, _), _)| homes.get(&**r) == Some(&z.name)).map(|(_, n)| u64::from(*n)).sum(),
        });
        let streams = streams.collect();
        let zones = zones.into_iter().map(|z| ZoneState { evacuated: evacuated(&self.board, &z.name), zone: z.name });
        Status {
            daemon: self.p.name.to_string(),
            member_epoch: self.regs.member_epoch.into(),
            settled: self.settled,
            quorum: Some(self.hears_majority(now)),
            disk_ok: self.disk_ok,
            members: members.collect(),
            keys: keys.collect(),
            edges: edges.collect(),
            rollouts: rollouts.collect(),
            contexts: contexts.collect(),
            zones: zones.collect(),
            streams,
            kill_switch: self.killed(),
        }
    }

    fn member_status(&self, v: &Voter, live: bool, now: Ms) -> MemberStatus {
        let own = v.name == self.p.name;
        let peer = self.peers.get(&v.name).filter(|p| p.beat.disk_id == v.disk_id);
        MemberStatus {
            name: v.name.to_string(),
            addr: self.regs.addr(v).to_string(),
            live,
            voter: true,
            heard_ms_ago: if own { Some(0) } else { peer.map(|p| now.saturating_sub(p.at)) },
            member_epoch: if own { Some(self.regs.member_epoch.into()) } else { peer.map(|p| p.beat.member_epoch.into()) },
            same: if own { Some(true) } else { peer.map(|p| p.beat.committed_digest == self.regs.digest()) },
        }
    }

    /// Whether this daemon votes and hears a majority of the voters, itself among them.
    fn hears_majority(&self, now: Ms) -> bool {
        self.regs.voting && self.regs.is_majority(self.live_voters(now))
    }

    fn live_voters(&self, now: Ms) -> usize {
        let live = self.live(now);
        self.regs.voters.iter().filter(|v| live(&v.name)).count()
    }

    pub fn health(&self) -> HealthAnswer {
        let stands_by = self.regs.member_epoch > 0 && !self.named();
        let detail = match (self.disk_ok, self.regs.voting, self.settled) {
            (false, ..) => "the disk does not take writes",
            _ if stands_by => "stands by without a vote",
            (_, false, _) => "does not vote yet",
            (.., false) => "has not settled yet",
            _ => "serves",
        };
        HealthAnswer { ok: (self.settled || stands_by) && self.disk_ok, process: self.p.name.to_string(), detail: detail.into() }
    }

    pub fn counters(&self, now: Ms) -> Vec<(&'static str, u64)> {
        let voters = || self.regs.voters.iter();
        let differ = |v: &&Voter| self.differed.get(&v.name).is_some_and(|d| now.saturating_sub(d.since) >= BEHIND_AFTER);
        let copies = self.board.under(CONTEXT).filter_map(|(_, c)| packed::of_bytes::<ContextRecord>(&c.value.0));
        let mut rows = vec![
            ("context_copies", copies.map(|r| r.parts.len() as u64).sum()),
            ("feed_place", self.seq),
            ("keys", self.regs.keys().count() as u64),
            ("edges", self.agents.len() as u64),
            ("keys_uncommitted", self.regs.keys().filter(|s| s.committed_version != s.version).count() as u64),
            ("member_epoch", self.regs.member_epoch.into()),
            ("quorum", self.hears_majority(now).into()),
            ("voters", voters().count() as u64),
            ("voters_live", self.live_voters(now) as u64),
            ("voters_behind", voters().filter(differ).count() as u64),
            ("in_touch", self.in_touch(now).into()),
            ("loops_resting", self.resting.len() as u64),
        ];
        rows.extend(self.resolutions.rows());
        rows
    }
}
