//! Counters of the edges: selects those that this daemon keeps, and passes outcome counters to the rollout loops of
//! their services.

use std::collections::BTreeMap;

use wire_messages::{Name, OutcomeCounters};

use super::{Control, UsageTable};
use crate::{Ms, register::ROLLOUT_PREFIX, rendezvous::rendezvous_weight, usage::USAGE_KEY};

/// Number of daemons that keep the counters of a singleton role: its lease holder and the next preferred owner.
const COUNTER_SUBSCRIBERS: usize = 2;
/// Time in ms for which a daemon that is no longer one of these keeps the counters, since voters may be unreachable for
/// a moment.
pub const COUNTER_RETENTION: Ms = 10_000;

/// The counters that this daemon keeps.
#[derive(Clone, Debug, Default)]
pub(super) struct CounterSelection {
    /// When the counters of each service were last wanted here.
    wanted_at: BTreeMap<Name, Ms>,
    /// When usage was last wanted here; `None` if it is not kept.
    usage_wanted_at: Option<Ms>,
    /// Number of times that the selection changed.
    selection: u64,
}

impl CounterSelection {
    /// Returns the number of the current selection. Counters sent for another selection are not accepted.
    pub(super) fn selection(&self) -> u64 {
        self.selection
    }

    pub(super) fn services(&self) -> impl Iterator<Item = &Name> {
        self.wanted_at.keys()
    }

    pub(super) fn keeps_usage(&self) -> bool {
        self.usage_wanted_at.is_some()
    }

    /// Marks a service's counters as wanted; returns whether they were not kept before.
    fn mark_wanted(&mut self, service: &str, now: Ms) -> bool {
        self.wanted_at.insert(service.into(), now).is_none()
    }

    /// Drops services that were not wanted within the retention time, and returns them.
    fn expire(&mut self, now: Ms) -> Vec<Name> {
        let expired: Vec<Name> = self
            .wanted_at
            .iter()
            .filter(|(_, wanted_at)| is_expired(**wanted_at, now))
            .map(|(service, _)| service.clone())
            .collect();
        for service in &expired {
            self.wanted_at.remove(service);
        }
        expired
    }
}

/// Returns whether counters that were last wanted at `wanted_at` are no longer kept.
fn is_expired(wanted_at: Ms, now: Ms) -> bool {
    now.saturating_sub(wanted_at) >= COUNTER_RETENTION
}

impl Control {
    /// Selects the counters to keep: those of the singleton roles that this daemon holds or is next to acquire. A
    /// daemon that acquires a role thus has evidence to judge by at once, and the others need not receive all counters
    /// of all edges.
    pub(super) fn select_counters(&mut self, now: Ms, live: &dyn Fn(&str) -> bool) {
        let is_usage_changed = self.select_usage(now, live);
        let are_services_changed = self.select_services(now, live);
        if is_usage_changed || are_services_changed {
            self.counters.selection += 1;
            self.followers.restart_counters();
        }
    }

    /// Updates whether usage is selected; returns whether that changed the selection.
    fn select_usage(&mut self, now: Ms, live: &dyn Fn(&str) -> bool) -> bool {
        let is_wanted = self.config.bounds.usage_window > 0
            && (self.is_counter_subscriber(USAGE_KEY, live)
                || self.registers.held_until(USAGE_KEY, now).is_some());
        if is_wanted {
            return self.counters.usage_wanted_at.replace(now).is_none();
        }
        let wanted_at = self.counters.usage_wanted_at;
        let is_dropped = wanted_at.is_some_and(|wanted_at| is_expired(wanted_at, now));
        if is_dropped {
            self.counters.usage_wanted_at = None;
            self.usage = UsageTable::default();
        }
        is_dropped
    }

    /// Updates which services are selected; returns whether that changed the selection.
    fn select_services(&mut self, now: Ms, live: &dyn Fn(&str) -> bool) -> bool {
        let Some(spec) = self.spec() else {
            return false;
        };
        let mut is_changed = false;
        for service in &spec.services {
            let key = format!("{ROLLOUT_PREFIX}{}", service.name);
            if self.is_counter_subscriber(&key, live)
                || self.registers.held_until(&key, now).is_some()
            {
                is_changed |= self.counters.mark_wanted(&service.name, now);
            }
        }
        // A voter that is unreachable for a moment changes nothing, since all edges send all counters again for a new
        // selection.
        for service in self.counters.expire(now) {
            // Otherwise the outcomes of the time in between would seem to have occurred at once.
            self.rollouts.reset_health(&service);
            is_changed = true;
        }
        is_changed
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

    /// Passes a proxy's counters to the loops of the selected services. Services without counters yet are passed an
    /// empty list, so that a source is known from its first report on.
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

    /// Returns the services whose counters this daemon keeps.
    pub fn selected_services(&self) -> impl Iterator<Item = &str> {
        self.counters.services().map(|service| &**service)
    }

    /// Returns the number of sent requests that this daemon has counted for a service and for one of its versions.
    pub fn requests_counted(&self, service: &str, version: &str) -> (u64, u64) {
        self.rollouts.get(service).map_or((0, 0), |rollout| {
            let sent = rollout.health.sent(version);
            (sent.all, sent.version)
        })
    }
}
