//! Status, health and counters for operators and supervisors.

use std::collections::BTreeMap;

use remote_calls::{
    ContextRecord, EdgeStatus, Health, KeyStatus, KeyVersion, MemberStatus, RolloutRecord, Status,
    ZoneState, ZoneStreams,
};
use serde::de::DeserializeOwned;
use wire_messages::{Slot, Voter};

use super::{Control, SPEC_KEY, evacuated, followers::Follower};
use crate::{
    Ms, compressed,
    register::{CONTEXT_PREFIX, ROLLOUT_PREFIX},
};

impl Control {
    /// Returns the status of this daemon and of the state that it stores, for operators.
    pub fn status(&self, now: Ms) -> Status {
        let is_live = self.live_voters(now);
        let zones = self.parsed.spec().map_or(vec![], |spec| spec.zones.clone());
        let zone_states = zones.iter().map(|zone| ZoneState {
            zone: zone.name.clone(),
            evacuated: evacuated(&self.state_table, &zone.name),
        });
        let followers = self.followers.iter();
        Status {
            daemon: self.config.name.to_string(),
            member_epoch: self.registers.members.member_epoch.into(),
            settled: self.is_settled,
            quorum: Some(self.has_quorum(now)),
            disk_ok: self.disk_healthy,
            members: self.member_statuses(&self.connected_voters(now), now),
            keys: self.key_statuses(&is_live, now),
            edges: followers
                .map(|follower| edge_status(follower, now))
                .collect(),
            rollouts: self.decoded(ROLLOUT_PREFIX).collect(),
            contexts: self.decoded(CONTEXT_PREFIX).collect(),
            streams: self.zone_streams(zones.iter().map(|z| z.name.as_str()), now),
            zones: zone_states.collect(),
            kill_switch: self.kill_switch_on(),
        }
    }

    /// Decodes the records of the keys with a prefix, in key order, and skips unreadable ones.
    pub(super) fn decoded<T: DeserializeOwned>(
        &self,
        prefix: &'static str,
    ) -> impl Iterator<Item = T> + '_ {
        self.state_table
            .with_prefix(prefix)
            .filter_map(|(_, change)| compressed::decode(&change.value.0))
    }

    fn key_statuses(&self, is_live: &dyn Fn(&str) -> bool, now: Ms) -> Vec<KeyStatus> {
        let key_status = |slot: &Slot| {
            let owner = self.registers.preferred_owner(&slot.key, is_live);
            let held = self.registers.held_until(&slot.key, now);
            KeyStatus {
                key: slot.key.to_string(),
                owner: owner.map_or(String::new(), |voter| voter.name.to_string()),
                epoch: slot.accepted_epoch,
                version: slot.version,
                permit_ms: held
                    .filter(|(_, until)| *until != Ms::MAX)
                    .map(|(_, until)| until - now),
            }
        };
        self.registers.slots().map(key_status).collect()
    }

    fn member_statuses(&self, is_connected: &dyn Fn(&str) -> bool, now: Ms) -> Vec<MemberStatus> {
        self.registers
            .members
            .voters
            .iter()
            .map(|voter| self.member_status(voter, is_connected(&voter.name), now))
            .collect()
    }

    fn member_status(&self, voter: &Voter, live: bool, now: Ms) -> MemberStatus {
        let own_epoch = self.registers.members.member_epoch;
        let status = |heard_ms_ago, member_epoch: Option<u32>, same| MemberStatus {
            name: voter.name.to_string(),
            addr: self.registers.addr(voter).to_string(),
            live,
            voter: true,
            heard_ms_ago,
            member_epoch: member_epoch.map(Into::into),
            same,
        };
        if voter.name == self.config.name {
            return status(Some(0), Some(own_epoch), Some(true));
        }
        let peer = self.peers.get(&voter.name);
        match peer.filter(|peer| peer.heartbeat.disk_id == voter.disk_id) {
            Some(peer) => status(
                Some(now.saturating_sub(peer.last_received_at)),
                Some(peer.heartbeat.member_epoch),
                Some(peer.heartbeat.committed_digest == self.registers.committed_digest()),
            ),
            None => status(None, None, None),
        }
    }

    /// Counts the open streams by the zone of their replicas.
    fn zone_streams<'a>(&self, zones: impl Iterator<Item = &'a str>, now: Ms) -> Vec<ZoneStreams> {
        let zone_by_replica: BTreeMap<String, String> = self
            .decoded::<RolloutRecord>(ROLLOUT_PREFIX)
            .flat_map(|record| record.replicas)
            .map(|replica| (replica.id, replica.zone))
            .collect();
        let mut by_zone: BTreeMap<&str, u64> = BTreeMap::new();
        let open_streams = self
            .followers
            .live(now)
            .flat_map(|follower| &follower.open_streams);
        for ((replica, _), streams) in open_streams {
            if let Some(zone) = zone_by_replica.get(&**replica) {
                *by_zone.entry(zone).or_default() += u64::from(*streams);
            }
        }
        zones
            .map(|zone| ZoneStreams {
                zone: zone.to_string(),
                streams: by_zone.get(zone).copied().unwrap_or(0),
            })
            .collect()
    }

    /// Returns whether this daemon votes and is connected to a majority of the voters, counting itself.
    fn has_quorum(&self, now: Ms) -> bool {
        self.registers.members.voting && self.registers.is_majority(self.connected_voter_count(now))
    }

    fn connected_voter_count(&self, now: Ms) -> usize {
        let is_connected = self.connected_voters(now);
        let voters = self.registers.members.voters.iter();
        voters.filter(|voter| is_connected(&voter.name)).count()
    }

    /// Returns whether this daemon is healthy, and in short why not.
    pub fn health(&self) -> Health {
        let is_learner =
            self.registers.members.member_epoch > 0 && !self.registers.is_listed_voter();
        let detail = match (
            self.disk_healthy,
            self.registers.members.voting,
            self.is_settled,
        ) {
            (false, ..) => "the disk does not accept writes",
            _ if is_learner => "is a learner and does not vote",
            (_, false, _) => "does not vote yet",
            (.., false) => "has not settled yet",
            _ => "serves",
        };
        Health {
            ok: (self.is_settled || is_learner) && self.disk_healthy,
            process: self.config.name.to_string(),
            detail: detail.into(),
        }
    }

    /// Returns the counters for monitoring, by name.
    pub fn counters(&self, now: Ms) -> Vec<(&'static str, u64)> {
        let voters = &self.registers.members.voters;
        let lagging = voters
            .iter()
            .filter(|voter| self.comparison.is_lagging(&voter.name, now));
        let copies = self
            .decoded::<ContextRecord>(CONTEXT_PREFIX)
            .map(|record| record.parts.len() as u64);
        let uncommitted = self
            .registers
            .slots()
            .filter(|slot| slot.committed_version != slot.version);
        let mut rows = vec![
            ("context_copies", copies.sum()),
            ("feed_place", self.change_feed.position()),
            ("keys", self.registers.slots().count() as u64),
            ("edges", self.followers.len() as u64),
            ("keys_uncommitted", uncommitted.count() as u64),
            ("member_epoch", self.registers.members.member_epoch.into()),
            ("quorum", self.has_quorum(now).into()),
            ("voters", voters.len() as u64),
            ("voters_live", self.connected_voter_count(now) as u64),
            ("voters_behind", lagging.count() as u64),
            ("in_touch", self.is_in_contact(now).into()),
            ("loops_resting", self.rollouts.stalled_count() as u64),
        ];
        rows.extend(self.resolution_counts.rows());
        rows
    }
}

fn edge_status(follower: &Follower, now: Ms) -> EdgeStatus {
    let versions = follower.versions().iter().map(|change| KeyVersion {
        key: change.key.to_string(),
        version: change.version,
    });
    EdgeStatus {
        edge: follower.node.name.to_string(),
        zone: follower.node.zone.to_string(),
        heard_ms_ago: now.saturating_sub(follower.polled_at),
        spec_version: follower.seen_version(SPEC_KEY),
        versions: versions.collect(),
    }
}
