//! Requests that name a service: which replica each attempt goes to.

use remote_calls::{Fault, GroupRole, RunRequest};

use super::{
    Admission, Assignment, Proxy, groups::Group, replica_choice::NamedRequest,
    request_checks::find_named_lane,
};
use crate::Ms;

impl Proxy {
    /// Assigns a replica to a request now. `tried`: replicas that already failed it.
    pub fn assign_named(&mut self, request: &RunRequest, tried: &[String], now: Ms) -> Admission {
        match self.try_assign_named(request, tried, now) {
            Ok(admission) => admission,
            Err(fault) => Admission::Rejected(fault),
        }
    }

    fn try_assign_named(
        &mut self,
        request: &RunRequest,
        tried: &[String],
        now: Ms,
    ) -> Result<Admission, Fault> {
        let spec = self.serving_spec(now)?;
        let lane = find_named_lane(&spec, &request.service, &request.lane, &request.tier)?;
        let homes = self.open_homes(lane.service, &request.homes)?;
        let named = NamedRequest {
            service: &request.service,
            prefixes: &request.prefixes,
            rank: lane.rank,
            keep_free_percent: lane.keep_free_percent,
        };
        for zones in self.zone_preferences(homes) {
            for mut group in self.groups(&request.service, now) {
                group.replicas.retain(|id| !tried.contains(id));
                let free = self.replicas_with_free_slots(&named, &group, &zones, now);
                let Some(replica) = self.pick_replica(&free, named.prefixes, &group.version, now)
                else {
                    continue;
                };
                let id = replica.report.replica.clone();
                if let Some(addr) = self.address_of(&request.service, &id) {
                    let assignment = self.begin_attempt(request, group, id, addr, now);
                    return Ok(Admission::Assigned(assignment));
                }
            }
        }
        self.raise_tier_pressure(lane.rank, now);
        // A retry does not wait again: its answer is due at once.
        if !tried.is_empty() {
            return Err(self.reject("full", "place", "no other replica has a place"));
        }
        Ok(Admission::NoFreeSlot)
    }

    fn address_of(&self, service: &str, replica_id: &str) -> Option<String> {
        let record = &self.rollouts.get(service)?.record;
        let replica = record
            .replicas
            .iter()
            .find(|replica| replica.id == replica_id)?;
        Some(replica.addr.clone())
    }

    /// The assignment of a run that a caller resumes: its own replica and no other.
    pub fn assign_resumed(
        &mut self,
        request: &RunRequest,
        replica_id: &str,
        now: Ms,
    ) -> Option<Assignment> {
        let addr = self.address_of(&request.service, replica_id)?;
        let zone = &self.reported_replicas.get(replica_id)?.report.zone;
        if !request.homes.contains(zone) {
            return None;
        }
        let record = &self.rollouts.get(&request.service)?.record;
        let version = record
            .groups
            .iter()
            .find(|group| group.replicas.iter().any(|id| id == replica_id))?
            .version
            .clone();
        let group = Group {
            role: GroupRole::Stable,
            version,
            replicas: vec![],
        };
        Some(self.begin_attempt(request, group, replica_id.into(), addr, now))
    }

    /// ms in which a request of a lane is expected to end; 0 where the lane is unknown.
    pub fn expected_ms(&self, service_name: &str, lane_name: &str) -> Ms {
        let lanes = self
            .spec
            .iter()
            .flat_map(|spec| &spec.services)
            .find(|service| service.name == service_name)
            .map(|service| &service.lanes);
        lanes
            .into_iter()
            .flatten()
            .find(|lane| lane.name == lane_name)
            .map_or(0, |lane| lane.expected_ms)
    }

    /// Records that an attempt goes to a replica of the group.
    fn begin_attempt(
        &mut self,
        request: &RunRequest,
        group: Group,
        replica: String,
        addr: String,
        now: Ms,
    ) -> Assignment {
        let cached = self
            .named_prefixes
            .insert(&replica, &group.version, &request.prefixes, now);
        self.reported_replicas.on_sent(&replica);
        let assignment = Assignment {
            service: request.service.clone(),
            lane: request.lane.clone(),
            version: group.version,
            replica,
            addr,
            role: group.role,
            cached,
            assigned_at: now,
            attempt: 0,
        };
        self.record_sent(&assignment);
        assignment
    }
}
