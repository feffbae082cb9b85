//! The cost model: the expected cost of sending a request to a replica, in ms of waiting time or an equivalent.
//!
//! The terms are summed in a fixed order: proxies and the simulator must compute the same results to the last bit.

use remote_calls::PathKind;

use super::{
    Placement, PlacementRequest, ReplicaView, ServiceAverages, cross_region_cost_ms, prefix_chain,
    prompt, repeated_prefill_cost_ms,
    selection::{ScoredReplica, caches_prefix},
    shared_prefix, token_count,
};
use crate::{
    Ms,
    policy::{Mechanism, Policy},
    rendezvous::rendezvous_weight_of,
};

/// Cost that each running or waiting request on a replica adds for the next one, in ms.
const REQUEST_LOAD_COST_MS: f64 = 4.0;
/// Cost of a full replica, in ms; higher than any round trip.
const FULL_REPLICA_COST_MS: f64 = 600.0;
/// Cost of the last free slot of a replica, in ms; with half of its slots in use the cost is a sixteenth of that.
const LAST_SLOT_COST_MS: f64 = 300.0;
/// Cost of exceeding the rate that the replica could serve if it were warming up, in ms.
const EXCESS_RATE_COST_MS: f64 = 60.0;
/// How many times more often a prompt with a long prefill goes to a replica in a region that no more urgent, home-bound
/// requests depend on. In other regions such requests would wait behind it, and no other replicas may serve them.
const UNCONTENDED_REGION_WEIGHT: f64 = 2.0;
/// Cost of each step down the agreed order of replicas for a prompt, in ms, so that all proxies overflow to the same
/// replica.
const ORDER_STEP_COST_MS: f64 = 3.0;
/// Maximum number of steps down the agreed order that are charged.
const CHARGED_ORDER_STEPS_MAX: usize = 8;
/// Cost of opening a connection in addition to the round trip, in ms: the work of the replica and a surcharge.
pub const CONNECT_COST_MS: f64 = 2.0;
/// Cost for each proxy of the region for which the replica recently failed, in ms; higher than the extra cost of
/// another replica nearby.
const SUSPICION_COST_MS: f64 = 80.0;
/// Maximum fraction of a replica's slots in use at which a context copy is prefilled on it, so that prefilling ahead of
/// demand takes no slots from callers.
const PREFILL_AHEAD_LOAD_MAX: f64 = 0.5;

/// The inputs of the cost of one request that are the same for all replicas.
struct CostModel {
    policy: Policy,
    averages: ServiceAverages,
    /// Cost of a failed attempt for the request, in ms.
    failure_cost_ms: f64,
    /// Attempts per second that a replica could accept from this proxy while warming up; 0 if unlimited.
    slow_start_rate: f64,
    now: Ms,
}

impl CostModel {
    /// Returns the expected time to the first chunk if all slots of the replica were free, in ms.
    fn response_ms(&self, replica: &ScoredReplica) -> f64 {
        let view = &replica.entry.view;
        let round_trip_ms = replica.zone.round_trip_ms;
        let lag_ms = if self.policy.is_enabled(Mechanism::Lag) {
            view.first_chunk_lag_ms(&self.averages, self.now)
        } else {
            0.0
        };
        let must_connect = self.policy.is_enabled(Mechanism::ChannelsAtHand)
            && !view.has_idle_connection(self.now);
        // Opening a connection takes one more round trip.
        let connect_ms = if must_connect {
            round_trip_ms + CONNECT_COST_MS
        } else {
            0.0
        };
        round_trip_ms + lag_ms + view.pending_prefill_ms(self.now) + connect_ms
    }

    /// Returns the expected cost of failures of the replica, in ms.
    fn failure_ms(&self, view: &ReplicaView) -> f64 {
        let suspicion_ms = if self.policy.is_enabled(Mechanism::Doubt) {
            view.suspicion.level(self.now) * SUSPICION_COST_MS
        } else {
            0.0
        };
        let risk_ms = if self.policy.is_enabled(Mechanism::Risk) {
            view.suspicion.failure_probability(self.now) * self.failure_cost_ms
        } else {
            0.0
        };
        suspicion_ms + risk_ms
    }

    /// Returns the cost that the requests on the replica add for the next one, in ms.
    fn load_ms(&self, view: &ReplicaView, load: f64) -> f64 {
        let requests_ms = if self.policy.is_enabled(Mechanism::Load) {
            load * REQUEST_LOAD_COST_MS
        } else {
            0.0
        };
        if !self.policy.is_enabled(Mechanism::Filling) {
            return requests_ms;
        }
        // Requests wait for a slot well before all slots are in use: they arrive in bursts, and larger batches are
        // slower.
        let slots_taken = load / f64::from(view.slots.max(1));
        let filling_ms = if slots_taken > 1.0 {
            FULL_REPLICA_COST_MS * slots_taken
        } else {
            LAST_SLOT_COST_MS * slots_taken.powi(4)
        };
        requests_ms + filling_ms
    }

    /// Returns the cost of exceeding the slow-start rate, in ms. Any replica may restart unnoticed and be warming up,
    /// so that rate is not exceeded while other replicas can take the request.
    fn excess_rate_ms(&self, view: &ReplicaView) -> f64 {
        let next_rate = view.attempts_per_second(self.now) + 1.0;
        if self.slow_start_rate > 0.0 && next_rate > self.slow_start_rate {
            EXCESS_RATE_COST_MS * next_rate / self.slow_start_rate
        } else {
            0.0
        }
    }
}

/// Returns the cost of a failed attempt for its request, in ms. If a retry may follow, it is the cost of a whole
/// attempt on another replica, which prefills the prompt from the start. Otherwise it is at least
/// `expected_ms`, the time within which the request is of value.
fn failure_cost_ms(request: &PlacementRequest) -> f64 {
    let retry_ms = repeated_prefill_cost_ms(request.head.tokens.0) + CONNECT_COST_MS;
    let may_retry = matches!(
        request.lane.kind,
        PathKind::Repeatable | PathKind::StreamResumable
    ) && request.tried.len() + 1 < request.lane.rounds as usize;
    if may_retry {
        retry_ms
    } else {
        retry_ms.max(request.lane.expected_ms as f64)
    }
}

/// Costs that depend on where the shared prefix of a prompt is served.
struct PrefixCosts {
    /// Digest of the shared prefix; `None` if the prompt has none.
    chain: Option<u64>,
    /// Cost of prefilling the shared prefix on a replica that has not cached it.
    repeated_prefill_ms: f64,
    /// Cost of transferring the request to another region.
    cross_region_ms: f64,
    /// Whether any replica has the shared prefix cached.
    is_cached_somewhere: bool,
    /// Whether each region may have its own replica for this prefix, because a transfer costs more than a prefill.
    is_regional: bool,
}

impl Placement {
    /// Sets the cost of each replica. Keeps their order, because the first of several replicas with equal cost is
    /// chosen.
    pub(super) fn score(
        &self,
        service: &str,
        replicas: &mut [ScoredReplica],
        request: &PlacementRequest,
        now: Ms,
    ) {
        let prefix = self.prefix_costs(service, replicas, request, now);
        let order = agreed_order(replicas, prefix.chain, prefix.is_regional);
        let local_copy = self.local_copy(service, replicas, &order, &prefix);
        let model = CostModel {
            policy: self.policy,
            averages: self.averages(service),
            failure_cost_ms: failure_cost_ms(request),
            slow_start_rate: self.slow_start_rate(service),
            now,
        };
        for (step, index) in order.into_iter().enumerate() {
            let replica = &replicas[index];
            let view = &replica.entry.view;
            let load = view.load(&model.averages, now);
            let mut cost_ms =
                model.response_ms(replica) + model.failure_ms(view) + model.load_ms(view, load);
            if replica.zone.is_remote {
                cost_ms += prefix.cross_region_ms;
            }
            if prefix.chain.is_some() {
                let is_local_copy = local_copy == Some(index);
                cost_ms =
                    self.add_prefix_cost(cost_ms, replica, load, step, is_local_copy, &prefix);
            }
            replicas[index].cost_ms = cost_ms + model.excess_rate_ms(view);
        }
    }

    /// Computes the costs for the prompt's shared prefix and marks the replicas that have it.
    fn prefix_costs(
        &self,
        service: &str,
        replicas: &mut [ScoredReplica],
        request: &PlacementRequest,
        now: Ms,
    ) -> PrefixCosts {
        let blocks = shared_prefix(&request.head.prefix_blocks);
        let repeated_prefill_ms = repeated_prefill_cost_ms(token_count(blocks));
        let cross_region_ms = if self.policy.is_enabled(Mechanism::CarryCost) {
            cross_region_cost_ms(request.head)
        } else {
            0.0
        };
        let chain = prefix_chain(&request.head.prefix_blocks);
        // Replicas with a context copy of a popular prefix precede all others for requests of their region.
        let copies = chain.and_then(|chain| self.placed_context.replicas(service, chain));
        for replica in replicas.iter_mut() {
            let number = replica.entry.view.number;
            replica.has_placed_copy = copies.is_some_and(|copies| {
                replica.entry.version == copies.version
                    && copies.replica_numbers.contains(&number)
                    && !replica.zone.is_remote
            });
            replica.is_cached = self.policy.is_enabled(Mechanism::KeptParts)
                && caches_prefix(&self.prefix_cache, number, blocks, now);
        }
        PrefixCosts {
            chain,
            repeated_prefill_ms,
            cross_region_ms,
            is_cached_somewhere: replicas.iter().any(|replica| replica.is_cached),
            // A prefix that is expensive to prefill again has a single replica across all regions.
            is_regional: repeated_prefill_ms < cross_region_ms + nearest_round_trip_ms(replicas),
        }
    }

    /// Adds the cost of the position in the agreed order and of a missing prefix.
    fn add_prefix_cost(
        &self,
        mut cost_ms: f64,
        replica: &ScoredReplica,
        load: f64,
        step: usize,
        is_local_copy: bool,
        prefix: &PrefixCosts,
    ) -> f64 {
        let is_ordered = self.policy.is_enabled(Mechanism::AgreedOrder);
        if is_ordered {
            cost_ms += step.min(CHARGED_ORDER_STEPS_MAX) as f64 * ORDER_STEP_COST_MS;
        }
        // The first request for a planned copy prefills it, as long as that takes no slots from other requests.
        let prefills_copy = replica.has_placed_copy
            && load <= f64::from(replica.entry.view.slots) * PREFILL_AHEAD_LOAD_MAX;
        // If no replica is known to have the prefix, the first in order is assumed to have it: another proxy has sent
        // it there or will do so.
        let is_assumed_cached = !prefix.is_cached_somewhere && step == 0 && is_ordered;
        if !replica.is_cached && !is_assumed_cached && !is_local_copy && !prefills_copy {
            cost_ms += prefix.repeated_prefill_ms;
        }
        cost_ms
    }

    /// Returns the replica that should hold this region's own copy of a prefix, if the region should have one.
    fn local_copy(
        &self,
        service: &str,
        replicas: &[ScoredReplica],
        order: &[usize],
        prefix: &PrefixCosts,
    ) -> Option<usize> {
        if prefix.is_regional || !self.wants_local_copy(service, replicas, prefix) {
            return None;
        }
        order
            .iter()
            .copied()
            .find(|index| !replicas[*index].zone.is_remote)
    }

    /// Returns whether this region should have its own copy of a prefix: it is requested so often that transferring the
    /// requests costs more than prefilling it once. A central decision on copies takes precedence.
    fn wants_local_copy(
        &self,
        service: &str,
        replicas: &[ScoredReplica],
        prefix: &PrefixCosts,
    ) -> bool {
        if !self.policy.is_enabled(Mechanism::RegionCopy)
            || self.placed_context.is_enabled(service)
            || replicas
                .iter()
                .any(|replica| replica.is_cached && !replica.zone.is_remote)
        {
            return false;
        }
        let nearest_ms = nearest_round_trip_ms(replicas);
        let farthest_ms = replicas
            .iter()
            .map(|replica| replica.zone.round_trip_ms)
            .filter(|ms| *ms > nearest_ms)
            .fold(0.0, f64::max);
        prefix.repeated_prefill_ms
            < (prefix.cross_region_ms + farthest_ms - nearest_ms)
                * self.prefix_reuse.requests_per_prefix()
    }

    /// Returns the attempts per second that this proxy may send to a replica that might be warming up; 0 if unlimited.
    fn slow_start_rate(&self, service: &str) -> f64 {
        let rate = self
            .engines
            .get(service)
            .and_then(|engine| engine.cold_rate)
            .filter(|_| self.policy.is_enabled(Mechanism::RateGuard));
        rate.unwrap_or(0.0) * self.bounds.cold_over / self.edge_count() as f64
    }

    /// Returns the time to prefill a prompt on a replica, in ms.
    pub(super) fn prefill_ms_at(replica: &ScoredReplica, request: &PlacementRequest) -> f64 {
        let cached_tokens = if replica.is_cached {
            token_count(shared_prefix(&request.head.prefix_blocks))
        } else {
            0
        };
        prompt::prefill_ms(request.head.tokens.0.saturating_sub(cached_tokens))
    }
}

fn nearest_round_trip_ms(replicas: &[ScoredReplica]) -> f64 {
    replicas
        .iter()
        .map(|replica| replica.zone.round_trip_ms)
        .fold(f64::MAX, f64::min)
}

/// Rank of a replica in the agreed order; the highest comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct AgreedRank {
    has_placed_copy: bool,
    is_in_preferred_region: bool,
    weight: u64,
    index: usize,
}

/// Returns the indexes of the replicas in the order on which all proxies agree for a prefix: replicas with a context
/// copy first; then, if each region has its own replica, those of this region. A prompt with a long prefill has a
/// replica of an uncontended region in first place [`UNCONTENDED_REGION_WEIGHT`] times as often as another.
fn agreed_order(replicas: &[ScoredReplica], chain: Option<u64>, is_regional: bool) -> Vec<usize> {
    let weight = |replica: &ScoredReplica| {
        let hash = chain.map_or(0, |chain| {
            rendezvous_weight_of(chain, replica.entry.view.number)
        });
        if is_regional || replica.zone.is_contended {
            hash
        } else {
            highest_of_draws(hash, UNCONTENDED_REGION_WEIGHT)
        }
    };
    let mut ranks: Vec<AgreedRank> = replicas
        .iter()
        .enumerate()
        .map(|(index, replica)| AgreedRank {
            has_placed_copy: replica.has_placed_copy,
            is_in_preferred_region: !(is_regional && replica.zone.is_remote),
            weight: weight(replica),
            index,
        })
        .collect();
    ranks.sort_unstable_by(|a, b| b.cmp(a));
    ranks.into_iter().map(|rank| rank.index).collect()
}

/// Returns the hash as if it were the maximum of `draws` independent draws, computed from one draw.
fn highest_of_draws(hash: u64, draws: f64) -> u64 {
    let fraction = (hash as f64 / u64::MAX as f64).powf(1.0 / draws);
    (fraction * u64::MAX as f64) as u64
}
