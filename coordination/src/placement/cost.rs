//! The cost model: what it would cost to send a request to a replica, in ms of waiting or what is worth as much.
//!
//! The sums are evaluated in a fixed order. Proxies and the simulator must agree on them to the last bit.

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

/// ms. What each request that runs or waits on a replica costs the next one.
const REQUEST_LOAD_COST_MS: f64 = 4.0;
/// ms. What a full replica costs: more than any round trip.
const FULL_REPLICA_COST_MS: f64 = 600.0;
/// ms. What the last free slot of a replica costs; with half of its slots taken it is a sixteenth of that.
const LAST_SLOT_COST_MS: f64 = 300.0;
/// ms. What it costs to exceed the rate that the replica would bear if it turned cold now.
const EXCESS_RATE_COST_MS: f64 = 60.0;
/// How many times rather a prompt with a long prefill goes to a replica in a region that no more urgent, home-bound
/// requests depend on: these wait behind it elsewhere, and have nowhere else to go.
const UNCONTENDED_REGION_WEIGHT: f64 = 2.0;
/// ms. Cost of a step down a prompt's agreed order of replicas, so that all proxies overflow to the same one.
const ORDER_STEP_COST_MS: f64 = 3.0;
/// Steps down the agreed order that are charged at most.
const CHARGED_ORDER_STEPS_MAX: usize = 8;
/// ms. What opening a connection costs besides the round trip: the replica's work, and a price.
pub const CONNECT_COST_MS: f64 = 2.0;
/// ms. Cost of one proxy of the region having lately been failed by a replica: more than another replica beside it.
const SUSPICION_COST_MS: f64 = 80.0;
/// Fraction of a replica's slots that may be taken while a context copy is prefilled on it: prefilling ahead takes no
/// slots from callers.
const PREFILL_AHEAD_LOAD_MAX: f64 = 0.5;

/// What counts for one request at all replicas alike.
struct CostModel {
    policy: Policy,
    averages: ServiceAverages,
    /// ms that a failed attempt costs the request.
    failure_cost_ms: f64,
    /// Attempts a second that a replica would bear from this proxy if it were cold; 0 where that is not bounded.
    cold_rate: f64,
    now: Ms,
}

impl CostModel {
    /// ms until a first chunk would come from a replica that had all its slots free.
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

    /// ms that failures there are expected to cost.
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

    /// ms that the requests there cost the next one.
    fn load_ms(&self, view: &ReplicaView, load: f64) -> f64 {
        let requests_ms = if self.policy.is_enabled(Mechanism::Load) {
            load * REQUEST_LOAD_COST_MS
        } else {
            0.0
        };
        if !self.policy.is_enabled(Mechanism::Filling) {
            return requests_ms;
        }
        // Waiting for a slot begins well before all are taken: requests come in clumps, and batches slow down.
        let slots_taken = load / f64::from(view.slots.max(1));
        let filling_ms = if slots_taken > 1.0 {
            FULL_REPLICA_COST_MS * slots_taken
        } else {
            LAST_SLOT_COST_MS * slots_taken.powi(4)
        };
        requests_ms + filling_ms
    }

    /// Any replica may turn cold unnoticed: what it would bear then is not exceeded while others can take the request.
    fn excess_rate_ms(&self, view: &ReplicaView) -> f64 {
        let next_rate = view.attempts_per_second(self.now) + 1.0;
        if self.cold_rate > 0.0 && next_rate > self.cold_rate {
            EXCESS_RATE_COST_MS * next_rate / self.cold_rate
        } else {
            0.0
        }
    }
}

/// ms that a failed attempt costs its request. Where a retry may follow, it is a whole attempt elsewhere that prefills
/// the prompt from its beginning; where none may, no less than the time in which the request earns its value.
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

/// Where the shared prefix of a prompt should be served.
struct PrefixCosts {
    /// Digest of the shared prefix; `None` if the prompt shares nothing.
    chain: Option<u64>,
    /// Cost of prefilling the shared prefix where it is not cached.
    repeated_prefill_ms: f64,
    /// Cost of carrying the request to another region.
    cross_region_ms: f64,
    /// Some replica has the shared prefix cached.
    is_cached_somewhere: bool,
    /// Every region may have its own replica for this prefix, since carrying costs more than a prefill.
    is_regional: bool,
}

impl Placement {
    /// Fills in the cost of each replica. Leaves their order as it is: of equal costs the first wins.
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
            cold_rate: self.cold_rate(service),
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

    /// Works out what holds for the prompt's shared prefix, and marks the replicas that have it.
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
        // Popular prefixes have copies, which go before all other replicas for the requests of their region.
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
            // A prefix that is dear to prefill again has one replica among all regions.
            is_regional: repeated_prefill_ms < cross_region_ms + nearest_round_trip_ms(replicas),
        }
    }

    /// Adds what the agreed order and a missing prefix cost.
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
        // The first caller has a planned copy prefilled, as long as that takes no slots from others.
        let prefills_copy = replica.has_placed_copy
            && load <= f64::from(replica.entry.view.slots) * PREFILL_AHEAD_LOAD_MAX;
        // Where no replica is known to have the prefix, the first in order is assumed to: some proxy sent it there or
        // will.
        let is_first_guess = !prefix.is_cached_somewhere && step == 0 && is_ordered;
        if !replica.is_cached && !is_first_guess && !is_local_copy && !prefills_copy {
            cost_ms += prefix.repeated_prefill_ms;
        }
        cost_ms
    }

    /// The replica that should get this region's own copy of a prefix, if the region should have one.
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

    /// Where a prefix is requested so often that carrying the requests away costs more than prefilling it once, this
    /// region has a copy of its own. Where copies are decided centrally, that decision counts.
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

    /// Attempts a second that this proxy may send a replica that might be cold; 0 where that is not bounded.
    fn cold_rate(&self, service: &str) -> f64 {
        let rate = self
            .engines
            .get(service)
            .and_then(|engine| engine.cold_rate)
            .filter(|_| self.policy.is_enabled(Mechanism::RateGuard));
        rate.unwrap_or(0.0) * self.bounds.cold_over / self.edge_count() as f64
    }

    /// ms that a prompt takes to prefill at a replica.
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

/// How a replica ranks in the agreed order; the highest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct AgreedRank {
    has_placed_copy: bool,
    is_in_preferred_region: bool,
    weight: u64,
    index: usize,
}

/// Indexes of the replicas in the order on which all proxies agree for a prefix: placed copies first; then, where each
/// region has its own, replicas of this region. A prompt with a long prefill comes first on a replica in an uncontended
/// region [`UNCONTENDED_REGION_WEIGHT`] times as often as on another.
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

/// The hash as it would be if it were the highest of so many draws, with no further draws made.
fn highest_of_draws(hash: u64, draws: f64) -> u64 {
    let fraction = (hash as f64 / u64::MAX as f64).powf(1.0 / draws);
    (fraction * u64::MAX as f64) as u64
}
