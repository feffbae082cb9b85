//! Decides which chains get a copy in which region, by the demand that edges reported: a pure function from the old
//! record to the next.

use std::{
    cmp::{Ordering, Reverse},
    collections::{BTreeMap, BTreeSet},
};

use remote_calls::{ContextRecord, ContextSpec, PlacedReplica, StandingPart};

use super::{PromptChain, name_digest};
use crate::{
    Ms,
    context::demand::DEMAND_HALF_LIFE,
    placement::{
        BYTES_PER_TOKEN, CROSS_REGION_MS_PER_BYTE, CROSS_REGION_ROUND_TRIP_MS,
        repeated_prefill_cost_ms,
    },
    rendezvous::rendezvous_weight_of,
};

/// Planned lifetime of a copy, in ms: shorter than a cache keeps a chain that is requested this often.
const COPY_LIFETIME: Ms = 30_000;
/// Maximum number of copies in one record: with their ids they take some ten KB, which each edge receives at each
/// change.
pub const CONTEXT_COPIES_MAX: usize = 128;
/// Value of a copy, as a fraction of the value required to create it, below which the copy is dropped.
const DROP_VALUE_FRACTION: f64 = 0.25;
/// Requests in the demand window that one replica can serve in addition to its other work: three per second, a fifth of
/// what it prefills.
const REQUESTS_PER_COPY: f64 = 64.0;
/// Assumed tokens of a prompt outside the shared chain, where only the chain is known.
const OWN_TOKENS_ASSUMED: u32 = 2_000;

/// How often a region requests a chain, and how often the chain was assumed to be cached there but was not; both decay.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DemandCount {
    /// Requests for the chain in the window.
    pub requests: f64,
    /// Requests in the window that found the chain missing where a copy was expected.
    pub cache_misses: f64,
}

/// Inputs of the placement decision.
pub struct PlacementInputs<'a> {
    /// The service's settings for shared context.
    pub spec: &'a ContextSpec,
    /// Capacity of a replica's cache, in tokens.
    pub cache_tokens: u64,
    /// The current version of the weights.
    pub version: &'a str,
    /// Usable replicas: none that is draining or in an evacuated zone.
    pub replicas: &'a [PlacedReplica],
    /// Returns the region of a zone.
    pub region: &'a dyn Fn(&str) -> String,
    /// Home regions by the digest of a lane's home regions; chains with an unknown digest get no copies.
    pub homes: &'a BTreeMap<u64, Vec<String>>,
    /// Demand by region and chain.
    pub demand: &'a BTreeMap<(String, PromptChain), DemandCount>,
    /// Whether reports of some edges may be missing because the lease was acquired recently: missing demand is then not
    /// taken for zero demand.
    pub is_incomplete: bool,
}

/// Copies of the old record by region and chain.
type CurrentCopies<'a> = BTreeMap<(&'a str, u64), &'a StandingPart>;

/// A copy of a chain that a region may get or keep.
struct ProposedCopy<'a> {
    region: &'a str,
    chain: PromptChain,
    requests: f64,
    value: f64,
    current: Option<&'a StandingPart>,
}

impl ProposedCopy<'_> {
    /// Returns the priority. Existing copies precede those that would have to be prefilled.
    fn priority(&self) -> f64 {
        self.value
            * if self.current.is_some() {
                1.0 / DROP_VALUE_FRACTION
            } else {
                1.0
            }
    }

    /// Orders copies by descending priority.
    fn order(&self, other: &Self) -> Ordering {
        other
            .priority()
            .total_cmp(&self.priority())
            .then_with(|| (self.chain, self.region).cmp(&(other.chain, other.region)))
    }
}

/// Returns the time that one request saves with a copy in its region, in ms.
fn saved_ms_per_request(tokens: u32) -> f64 {
    f64::from(tokens.saturating_add(OWN_TOKENS_ASSUMED))
        * BYTES_PER_TOKEN
        * CROSS_REGION_MS_PER_BYTE
        + CROSS_REGION_ROUND_TRIP_MS
}

/// Returns the time that a copy saves in its lifetime, relative to the cost of prefilling it once.
fn copy_value(chain: &PromptChain, count: &DemandCount) -> f64 {
    let window_ms = DEMAND_HALF_LIFE as f64 / std::f64::consts::LN_2;
    let windows = COPY_LIFETIME as f64 / window_ms;
    let prefill_cost_ms = repeated_prefill_cost_ms(chain.tokens);
    // Each cache miss prefilled the chain again, which offsets the savings of other requests.
    (count.requests * saved_ms_per_request(chain.tokens) - count.cache_misses * prefill_cost_ms)
        * windows
        / prefill_cost_ms
}

/// Returns the next record. Changes the old one only where the benefit justifies it.
pub fn next_record(old: &ContextRecord, inputs: &PlacementInputs) -> ContextRecord {
    let empty = ContextRecord {
        service: old.service.clone(),
        version: inputs.version.into(),
        parts: vec![],
    };
    if !inputs.spec.on || inputs.version.is_empty() {
        return empty;
    }
    let current = current_copies(old, inputs);
    let mut proposed: Vec<ProposedCopy> = inputs
        .demand
        .iter()
        .filter_map(|((region, chain), count)| propose(region, chain, count, &current, inputs))
        .collect();
    if inputs.is_incomplete {
        proposed.extend(unreported_copies(&current, inputs));
    }
    proposed.sort_by(ProposedCopy::order);
    ContextRecord {
        parts: place_copies(&proposed, inputs),
        ..empty
    }
}

/// Returns the existing copies. Copies for another version are of no use to this one.
fn current_copies<'a>(old: &'a ContextRecord, inputs: &PlacementInputs) -> CurrentCopies<'a> {
    if old.version != inputs.version {
        return CurrentCopies::new();
    }
    old.parts
        .iter()
        .map(|copy| ((copy.region.as_str(), copy.chain), copy))
        .collect()
}

/// Returns the existing copies for which no edge has reported demand yet.
fn unreported_copies<'a>(
    current: &CurrentCopies<'a>,
    inputs: &PlacementInputs,
) -> Vec<ProposedCopy<'a>> {
    let reported: BTreeSet<(&str, u64)> = inputs
        .demand
        .keys()
        .map(|(region, chain)| (region.as_str(), chain.chain))
        .collect();
    current
        .iter()
        .filter(|(key, _)| !reported.contains(*key))
        .map(|((region, _), copy)| ProposedCopy {
            region,
            chain: PromptChain {
                version: name_digest(inputs.version),
                homes: copy.homes,
                chain: copy.chain,
                tokens: copy.tokens,
            },
            requests: 0.0,
            value: 1.0,
            current: Some(copy),
        })
        .collect()
}

fn propose<'a>(
    region: &'a str,
    chain: &PromptChain,
    count: &DemandCount,
    current: &CurrentCopies<'a>,
    inputs: &PlacementInputs<'a>,
) -> Option<ProposedCopy<'a>> {
    // Demand for another version shows how popular the chain is, but the cache contents of its replicas are lost.
    if chain.version != name_digest(inputs.version) || !may_have_copy(region, chain, inputs) {
        return None;
    }
    let current = current.get(&(region, chain.chain)).copied();
    let value = copy_value(chain, count);
    let value_min = if current.is_some() {
        DROP_VALUE_FRACTION
    } else {
        1.0
    };
    (value >= value_min).then_some(ProposedCopy {
        region,
        chain: *chain,
        requests: count.requests,
        value,
        current,
    })
}

/// Returns whether a region may have a copy: it is one of the home regions and not the region that serves the chain
/// anyway.
fn may_have_copy(region: &str, chain: &PromptChain, inputs: &PlacementInputs) -> bool {
    let Some(homes) = inputs.homes.get(&chain.homes) else {
        return false;
    };
    let is_home = |region: &str| homes.is_empty() || homes.iter().any(|home| home == region);
    let first_in_order = inputs
        .replicas
        .iter()
        .filter(|replica| replica.version == inputs.version)
        .map(|replica| {
            let weight = rendezvous_weight_of(chain.chain, name_digest(&replica.id));
            (weight, (inputs.region)(&replica.zone))
        })
        .filter(|(_, region)| is_home(region))
        .max();
    is_home(region) && first_in_order.is_some_and(|(_, first_region)| first_region != region)
}

/// Places the copies in order of priority, as far as the replicas and the record have space.
fn place_copies(proposed: &[ProposedCopy], inputs: &PlacementInputs) -> Vec<StandingPart> {
    let mut capacity = CacheCapacity {
        tokens_per_replica: inputs.cache_tokens * u64::from(inputs.spec.share_percent) / 100,
        used_tokens: BTreeMap::new(),
    };
    let mut copies: Vec<StandingPart> = vec![];
    for copy in proposed {
        let replicas = place_copy(copy, inputs, &mut capacity);
        if !replicas.is_empty() && copies.len() < CONTEXT_COPIES_MAX {
            copies.push(StandingPart {
                chain: copy.chain.chain,
                tokens: copy.chain.tokens,
                homes: copy.chain.homes,
                region: copy.region.into(),
                replicas,
            });
        }
    }
    // A fixed order, so that records differ only where copies do.
    copies.sort_by(|a, b| (&a.region, a.chain).cmp(&(&b.region, b.chain)));
    copies
}

/// Space for context copies in the caches of the replicas.
struct CacheCapacity<'a> {
    tokens_per_replica: u64,
    used_tokens: BTreeMap<&'a str, u64>,
}

impl<'a> CacheCapacity<'a> {
    /// Reserves the tokens if the replica has space for them, and returns whether it did.
    fn try_reserve(&mut self, replica_id: &'a str, tokens: u64) -> bool {
        let used = self.used_tokens.entry(replica_id).or_default();
        let has_room = *used + tokens <= self.tokens_per_replica;
        if has_room {
            *used += tokens;
        }
        has_room
    }
}

/// Returns the replicas for a copy: first those that already hold it, then by the chain's agreed order, as far as there
/// is space.
fn place_copy<'a>(
    copy: &ProposedCopy,
    inputs: &PlacementInputs<'a>,
    capacity: &mut CacheCapacity<'a>,
) -> Vec<String> {
    let copies_wanted = 1 + (copy.requests / REQUESTS_PER_COPY) as usize;
    let has_copy = |replica: &PlacedReplica| {
        copy.current
            .is_some_and(|current| current.replicas.contains(&replica.id))
    };
    let mut eligible: Vec<&PlacedReplica> = inputs
        .replicas
        .iter()
        .filter(|replica| {
            replica.version == inputs.version
                && (inputs.region)(&replica.zone) == copy.region
                && (!replica.cold || has_copy(replica))
        })
        .collect();
    eligible.sort_by_key(|replica| {
        let weight = rendezvous_weight_of(copy.chain.chain, name_digest(&replica.id));
        Reverse((has_copy(replica), weight))
    });
    let tokens = u64::from(copy.chain.tokens);
    let mut chosen: Vec<String> = vec![];
    for replica in eligible {
        if chosen.len() < copies_wanted && capacity.try_reserve(&replica.id, tokens) {
            chosen.push(replica.id.clone());
        }
    }
    chosen.sort();
    chosen
}
