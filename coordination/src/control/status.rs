//! What operators and supervisors see.

use super::*;
use crate::control::followers::FOLLOWER_TIMEOUT;

/// ms. A voter that has differed from this daemon for so long counts as behind.
const LAGGING_AFTER: Ms = 500;

impl Control {
    pub fn status(&self, now: Ms) -> Status {
        let live = self.live_voters(now);
        let keys = self.registers.slots().map(|s| {
            let held = self.registers.held_until(&s.key, now);
            KeyStatus {
                key: s.key.to_string(),
                owner: self
                    .registers
                    .preferred_owner(&s.key, &live)
                    .map_or(String::new(), |v| v.name.to_string()),
                epoch: s.accepted_epoch,
                version: s.version,
                permit_ms: held.filter(|h| h.1 != Ms::MAX).map(|h| h.1 - now),
            }
        });
        let members = self
            .registers
            .members
            .voters
            .iter()
            .map(|v| self.member_status(v, live(&v.name), now));
        let edges = self.followers.values().map(|a| EdgeStatus {
            edge: a.node.name.to_string(),
            zone: a.node.zone.to_string(),
            heard_ms_ago: now.saturating_sub(a.polled_at),
            spec_version: a
                .versions
                .iter()
                .find(|c| &*c.key == SPEC_KEY)
                .map_or(0, |c| c.version),
            versions: a
                .versions
                .iter()
                .map(|c| KeyVersion {
                    key: c.key.to_string(),
                    version: c.version,
                })
                .collect(),
        });
        let contexts = self
            .state_table
            .with_prefix(CONTEXT_PREFIX)
            .filter_map(|(_, c)| compressed::decode(&c.value.0));
        let rollouts = self
            .state_table
            .with_prefix(ROLLOUT_PREFIX)
            .filter_map(|(_, c)| compressed::decode(&c.value.0));
        let zones = self.spec.as_ref().map_or(vec![], |s| s.zones.clone());
        let heard = || {
            self.followers
                .values()
                .filter(|a| now.saturating_sub(a.polled_at) <= FOLLOWER_TIMEOUT)
                .flat_map(|a| &a.open_streams)
        };
        let homes: BTreeMap<String, String> = self
            .state_table
            .with_prefix(ROLLOUT_PREFIX)
            .filter_map(|(_, c)| compressed::decode::<RolloutRecord>(&c.value.0))
            .flat_map(|r| r.replicas)
            .map(|p| (p.id, p.zone))
            .collect();
        let streams = zones.iter().map(|z| ZoneStreams {
            zone: z.name.clone(),
            streams: heard()
                .filter(|((r, _), _)| homes.get(&**r) == Some(&z.name))
                .map(|(_, n)| u64::from(*n))
                .sum(),
        });
        let streams = streams.collect();
        let zones = zones.into_iter().map(|z| ZoneState {
            evacuated: evacuated(&self.state_table, &z.name),
            zone: z.name,
        });
        Status {
            daemon: self.config.name.to_string(),
            member_epoch: self.registers.members.member_epoch.into(),
            settled: self.is_settled,
            quorum: Some(self.hears_majority(now)),
            disk_ok: self.disk_healthy,
            members: members.collect(),
            keys: keys.collect(),
            edges: edges.collect(),
            rollouts: rollouts.collect(),
            contexts: contexts.collect(),
            zones: zones.collect(),
            streams,
            kill_switch: self.kill_switch_on(),
        }
    }

    fn member_status(&self, v: &Voter, live: bool, now: Ms) -> MemberStatus {
        let own = v.name == self.config.name;
        let peer = self
            .peers
            .get(&v.name)
            .filter(|p| p.heartbeat.disk_id == v.disk_id);
        MemberStatus {
            name: v.name.to_string(),
            addr: self.registers.addr(v).to_string(),
            live,
            voter: true,
            heard_ms_ago: if own {
                Some(0)
            } else {
                peer.map(|p| now.saturating_sub(p.heard_at))
            },
            member_epoch: if own {
                Some(self.registers.members.member_epoch.into())
            } else {
                peer.map(|p| p.heartbeat.member_epoch.into())
            },
            same: if own {
                Some(true)
            } else {
                peer.map(|p| p.heartbeat.committed_digest == self.registers.committed_digest())
            },
        }
    }

    /// Whether this daemon votes and hears a majority of the voters, itself among them.
    fn hears_majority(&self, now: Ms) -> bool {
        self.registers.members.voting && self.registers.is_majority(self.live_voter_count(now))
    }

    fn live_voter_count(&self, now: Ms) -> usize {
        let live = self.live_voters(now);
        self.registers
            .members
            .voters
            .iter()
            .filter(|v| live(&v.name))
            .count()
    }

    pub fn health(&self) -> HealthAnswer {
        let stands_by = self.registers.members.member_epoch > 0 && !self.is_listed_voter();
        let detail = match (
            self.disk_healthy,
            self.registers.members.voting,
            self.is_settled,
        ) {
            (false, ..) => "the disk does not take writes",
            _ if stands_by => "stands by without a vote",
            (_, false, _) => "does not vote yet",
            (.., false) => "has not settled yet",
            _ => "serves",
        };
        HealthAnswer {
            ok: (self.is_settled || stands_by) && self.disk_healthy,
            process: self.config.name.to_string(),
            detail: detail.into(),
        }
    }

    pub fn counters(&self, now: Ms) -> Vec<(&'static str, u64)> {
        let voters = || self.registers.members.voters.iter();
        let differ = |v: &&Voter| {
            self.differences
                .get(&v.name)
                .is_some_and(|d| now.saturating_sub(d.since) >= LAGGING_AFTER)
        };
        let copies = self
            .state_table
            .with_prefix(CONTEXT_PREFIX)
            .filter_map(|(_, c)| compressed::decode::<ContextRecord>(&c.value.0));
        let mut rows = vec![
            ("context_copies", copies.map(|r| r.parts.len() as u64).sum()),
            ("feed_place", self.feed_position),
            ("keys", self.registers.slots().count() as u64),
            ("edges", self.followers.len() as u64),
            (
                "keys_uncommitted",
                self.registers
                    .slots()
                    .filter(|s| s.committed_version != s.version)
                    .count() as u64,
            ),
            ("member_epoch", self.registers.members.member_epoch.into()),
            ("quorum", self.hears_majority(now).into()),
            ("voters", voters().count() as u64),
            ("voters_live", self.live_voter_count(now) as u64),
            ("voters_behind", voters().filter(differ).count() as u64),
            ("in_touch", self.in_touch(now).into()),
            ("loops_resting", self.stalled_loops.len() as u64),
        ];
        rows.extend(self.resolution_counts.rows());
        rows
    }
}
