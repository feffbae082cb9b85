//! Outcome counters: for which services this daemon keeps them, and handing them to those services' rollout loops.

use std::collections::BTreeMap;

use wire_messages::{Name, OutcomeCounters};

use super::Control;
use crate::{Ms, register::ROLLOUT_PREFIX, rendezvous::rendezvous_weight};

/// Daemons that keep a service's counters: the lease holder of its singleton role, and the daemon next in order for it.
const COUNTER_SUBSCRIBERS: usize = 2;
/// ms. A daemon that is neither any more keeps them for so long: voters come and go for a moment.
pub const COUNTER_RETENTION: Ms = 10_000;

/// The services whose counters this daemon keeps.
#[derive(Clone, Debug, Default)]
pub(super) struct CounterSelection {
    /// By service when its counters were last wanted here.
    wanted_at: BTreeMap<Name, Ms>,
    /// How often the selection changed.
    selection: u64,
}

impl CounterSelection {
    /// The number of the present selection: counters that were sent for another one are not accepted.
    pub(super) fn selection(&self) -> u64 {
        self.selection
    }

    pub(super) fn services(&self) -> impl Iterator<Item = &Name> {
        self.wanted_at.keys()
    }

    /// Notes that a service's counters are wanted; returns whether they were not kept before.
    fn want(&mut self, service: &str, now: Ms) -> bool {
        self.wanted_at.insert(service.into(), now).is_none()
    }

    /// Drops services that were not wanted for long, and returns them.
    fn expire(&mut self, now: Ms) -> Vec<Name> {
        let expired: Vec<Name> = self
            .wanted_at
            .iter()
            .filter(|(_, wanted_at)| now.saturating_sub(**wanted_at) >= COUNTER_RETENTION)
            .map(|(service, _)| service.clone())
            .collect();
        for service in &expired {
            self.wanted_at.remove(service);
        }
        expired
    }
}

impl Control {
    /// Selects the services whose counters are kept: those whose singleton role this daemon holds or is next to acquire.
    /// Whoever takes a role over so judges by evidence at once, and all others need not receive every edge's every
    /// counter.
    pub(super) fn select_services(&mut self, now: Ms, live: &dyn Fn(&str) -> bool) {
        let Some(spec) = self.spec() else { return };
        let mut is_changed = false;
        for service in &spec.services {
            let key = format!("{ROLLOUT_PREFIX}{}", service.name);
            if self.is_counter_subscriber(&key, live)
                || self.registers.held_until(&key, now).is_some()
            {
                is_changed |= self.counters.want(&service.name, now);
            }
        }
        // A voter that is unreachable for a moment changes nothing: a new selection costs every edge's every counter.
        for service in self.counters.expire(now) {
            // Else what happened in the meantime would seem to have happened at once.
            self.rollouts.reset_health(&service);
            is_changed = true;
        }
        if is_changed {
            self.counters.selection += 1;
            self.followers.restart_counters();
        }
    }

    fn is_counter_subscriber(&self, key: &str, live: &dyn Fn(&str) -> bool) -> bool {
        let own_name = &self.config.name;
        let own_weight = rendezvous_weight(key, own_name);
        // A learner may become a voter before the role is free to acquire, so this daemon need not vote itself.
        let before = self
            .registers
            .members
            .voters
            .iter()
            .filter(|voter| voter.name != *own_name && live(&voter.name))
            .filter(|voter| rendezvous_weight(key, &voter.name) > own_weight);
        before.count() < COUNTER_SUBSCRIBERS
    }

    /// Hands a proxy's counters to the loops of the selected services. Services without a counter yet are handed none: a
    /// source is known from its first report on.
    pub(super) fn add_counters(
        &mut self,
        source: &Name,
        incarnation: u64,
        counters: Vec<OutcomeCounters>,
        now: Ms,
    ) {
        let services = self.counters.services().cloned();
        let mut by_service: BTreeMap<Name, Vec<OutcomeCounters>> =
            services.map(|service| (service, vec![])).collect();
        for counter in counters {
            if let Some(selected) = by_service.get_mut(&counter.service) {
                selected.push(counter);
            }
        }
        for (service, counters) in by_service {
            self.rollouts
                .get_or_start(&service, now)
                .health
                .add_counters(source, incarnation, &counters);
        }
    }

    /// Services whose counters this daemon keeps.
    pub fn selected_services(&self) -> impl Iterator<Item = &str> {
        self.counters.services().map(|service| &**service)
    }

    /// Requests sent that this daemon has counted: of a service, and of one of its versions.
    pub fn requests_counted(&self, service: &str, version: &str) -> (u64, u64) {
        self.rollouts.get(service).map_or((0, 0), |rollout| {
            let sent = rollout.health.sent(version);
            (sent.all, sent.version)
        })
    }
}
