//! A platform that places versions: what it lists, and what it starts and stops at an order.

use coordination::{
    control::PLAN_PREFIX,
    register::ROLLOUT_PREFIX,
    rollout::VersionedPlan,
    rollout_status::{RolloutStatus, rollout_status},
    timing::SLOW_START_DURATION,
};
use remote_calls::{PlatformReplica, PlatformReplicaState, ReleasePlan};

use super::{ASKED_EVERY, Ev, PLACED_AFTER, RELEASED, Rep, TAKEN_AWAY, TRAFFIC_FROM, World};
use crate::history::Ms;

impl World {
    /// The platform's list. Where it places versions it tells what each replica has loaded and how cold it is.
    pub(super) fn listed(&self) -> Vec<PlatformReplica> {
        let row = |r: &Rep| {
            if !self.places {
                return r.r.clone();
            }
            let ready = r.loaded.get(&r.r.version).copied().unwrap_or(Ms::MAX);
            // What was there when the day began is warm.
            let cold_ms = if ready > TRAFFIC_FROM {
                (ready.saturating_add(SLOW_START_DURATION)).saturating_sub(self.now)
            } else {
                0
            };
            // It tells an engine's places too.
            let slots = self.d.engine.as_ref().map_or(r.r.slots, |e| e.params.slots);
            PlatformReplica {
                loaded: ready <= self.now,
                cold_ms,
                slots,
                ..r.r.clone()
            }
        };
        self.reps.values().map(row).collect()
    }

    /// An order was taken: the platform goes to work on it.
    pub(super) fn ordered(&mut self, version: u64, target: String, term: Ms) {
        let order = self.h.orders.len();
        self.h.orders.push((self.now, term, target));
        self.orders_taken.push(version);
        self.after(PLACED_AFTER, Ev::StartPlaced { order });
        self.after(ASKED_EVERY, Ev::AskStanding { order });
    }
    pub(super) fn start_placed(&mut self, order: usize) {
        let target = self.h.orders[order].2.clone();
        let old: Vec<(String, String)> = self
            .reps
            .values()
            .filter(|r| r.r.version != target && r.r.state != PlatformReplicaState::Draining)
            .map(|r| (r.r.service.clone(), r.r.zone.clone()))
            .collect();
        for (service, zone) in old {
            self.start_replica(&service, &zone, &target, true);
        }
    }

    /// Asks any control daemon, until the order is over or another was taken.
    pub(super) fn ask_standing(&mut self, order: usize) {
        if order + 1 < self.h.orders.len() {
            return;
        }
        let (target, version) = (self.h.orders[order].2.clone(), self.orders_taken[order]);
        let service = self.d.spec.services[0].name.clone();
        let told = self.any().and_then(|i| {
            let b = self.ctl[i]
                .brain
                .as_ref()
                .filter(|b| b.is_settled())?
                .state_table();
            let plan: ReleasePlan = b.read(&format!("{PLAN_PREFIX}{service}"))?;
            let n = b
                .get(&format!("{PLAN_PREFIX}{service}"))
                .map(|c| c.version)
                .filter(|n| *n == version)?;
            let ordered = VersionedPlan {
                version: n,
                plan: &plan,
            };
            Some(rollout_status(
                b.read(&format!("{ROLLOUT_PREFIX}{service}")).as_ref(),
                Some(ordered),
            ))
        });
        let of = |w: &World, new: bool| -> Vec<String> {
            w.reps
                .values()
                .filter(|r| (r.r.version == target) == new)
                .map(|r| r.r.id.clone())
                .collect()
        };
        match told {
            Some(RolloutStatus::Completed) => {
                self.h.standings.push((self.now, true));
                for id in of(self, false) {
                    if self
                        .reps
                        .get(&id)
                        .is_some_and(|r| r.work.values().any(|w| !w.readers.is_empty()))
                    {
                        self.h.stopped.push((self.now, id.clone()));
                    }
                    self.replica_down(&id, None);
                }
            }
            Some(RolloutStatus::Reverted) => {
                self.h.standings.push((self.now, false));
                for id in of(self, true) {
                    self.after(TAKEN_AWAY, Ev::ReplicaGone { id });
                }
            }
            _ => self.after(ASKED_EVERY, Ev::AskStanding { order }),
        }
    }

    /// A new replica of another release, then the old one drains and goes.
    pub(super) fn release(&mut self, nth: usize, version: &str) {
        let Some(id) = self.nth(nth) else { return };
        let Some(r) = self.reps.get_mut(&id).filter(|r| r.up) else {
            return;
        };
        let (service, zone) = (r.r.service.clone(), r.r.zone.clone());
        (r.r.state, r.leaving) = (PlatformReplicaState::Draining, true);
        self.start_replica(&service, &zone, version, true);
        self.h.leaving.push((self.now, id.clone()));
        self.after(RELEASED, Ev::ReplicaGone { id });
    }
}
