//! Requests that name a service: assigns a replica to each attempt.

use remote_calls::{Fault, GroupRole, RunRequest};

use super::{
    Admission, Assignment, Proxy, groups::Group, replica_choice::NamedRequest,
    request_checks::find_named_lane,
};
use crate::Ms;

impl Proxy {
    /// Assigns a replica to a request. `tried` lists replicas where earlier attempts failed.
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
        let homes = self.available_homes(lane.service, &request.homes)?;
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
                    let assignment = self.begin_named_attempt(request, group, id, addr, now);
                    return Ok(Admission::Assigned(assignment));
                }
            }
        }
        self.raise_tier_pressure(lane.rank, now);
        // A retry is not queued again: it is answered at once.
        if !tried.is_empty() {
            return Err(self.reject("full", "place", "no other replica has a free slot"));
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

    /// Assigns a run that its client resumes to the replica that already runs it; no other replica is tried.
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
        Some(self.begin_named_attempt(request, group, replica_id.into(), addr, now))
    }

    /// Returns the expected duration of a lane's requests in ms; 0 if the lane is unknown.
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

    /// Records that an attempt is sent to a replica of the group.
    fn begin_named_attempt(
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
            slow_start: None,
        };
        self.record_sent(&assignment);
        assignment
    }
}
