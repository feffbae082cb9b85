//! Which chains stand ready where, by what edges told: pure, from the old record to the next.

use std::collections::{BTreeMap, BTreeSet};

use remote_calls::{ContextRecord, ContextSpec, PlacedReplica, StandingPart};

use super::{PromptChain, name_digest};
use crate::{
    Ms,
    context::demand::DEMAND_HALF_LIFE,
    placement::{CROSS_REGION_BYTE_MS, TOKEN_BYTES, repeated_prefill_cost_ms, travel::FAR_MS},
    rendezvous::rendezvous_weight_of,
};

/// ms. A copy is planned for so long: less than a cache keeps what is asked for so often.
const STANDING_FOR: Ms = 30_000;
/// Copies in one record: with ids it stays some ten KB, which each edge gets at each change.
pub const CONTEXT_COPIES_MAX: usize = 128;
/// A copy is given back when it is worth less than this part of what would have it made.
const GIVE_BACK_PART: f64 = 0.25;
/// Asks in the window that one replica takes beside its other work: three a second, a fifth of what it reads.
const COPY_ASKS: f64 = 64.0;
/// Tokens of a prompt that are its own, where only its chain is known.
const OWN_TOKENS: u32 = 2_000;

/// How often a region asks for a chain, decaying, and how often it was taken for ready there and was not.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DemandCount {
    pub requests: f64,
    pub cache_misses: f64,
}

/// What the decision goes by.
pub struct PlacementInputs<'a> {
    pub spec: &'a ContextSpec,
    /// Tokens that a replica keeps.
    pub cache_tokens: u64,
    /// The version that stands.
    pub version: &'a str,
    /// Replicas that may be used: none that leaves or stands in an evacuated zone.
    pub replicas: &'a [PlacedReplica],
    pub region: &'a dyn Fn(&str) -> String,
    /// Regions by the number of a lane's homes; a number that is not there gets no copies.
    pub homes: &'a BTreeMap<u64, Vec<String>>,
    pub demand: &'a BTreeMap<(String, PromptChain), DemandCount>,
    /// Whoever took the duty over lately has not heard all edges: silence is no cold yet.
    pub is_incomplete: bool,
}

/// A chain that a region may want a copy of.
struct Wanted<'a> {
    region: &'a str,
    chain: PromptChain,
    asked: f64,
    worth: f64,
    old: Option<&'a StandingPart>,
}

/// ms that one ask saves where a copy is near.
fn saves(tokens: u32) -> f64 {
    f64::from(tokens.saturating_add(OWN_TOKENS)) * TOKEN_BYTES * CROSS_REGION_BYTE_MS + FAR_MS
}

/// ms that a copy is worth over the time it is planned for, against those that it costs to read once.
fn worth(c: &PromptChain, a: &DemandCount) -> f64 {
    let a_window = DEMAND_HALF_LIFE as f64 / std::f64::consts::LN_2;
    let windows = STANDING_FOR as f64 / a_window;
    // Each time that it was not there after all it was read again, which undoes what others saved.
    (a.requests * saves(c.tokens) - a.cache_misses * repeated_prefill_cost_ms(c.tokens)) * windows
        / repeated_prefill_cost_ms(c.tokens)
}

/// The next record. It differs from the old one only where that is worth it.
pub fn next_record(old: &ContextRecord, i: &PlacementInputs) -> ContextRecord {
    let next = ContextRecord {
        service: old.service.clone(),
        version: i.version.into(),
        parts: vec![],
    };
    if !i.spec.on || i.version.is_empty() {
        return next;
    }
    // Copies for another version hold nothing that this one could use.
    let stood: BTreeMap<(&str, u64), &StandingPart> = match old.version == i.version {
        true => old
            .parts
            .iter()
            .map(|p| ((p.region.as_str(), p.chain), p))
            .collect(),
        false => BTreeMap::new(),
    };
    let mut wanted: Vec<Wanted> = i
        .demand
        .iter()
        .filter_map(|((r, c), a)| want(r, c, a, &stood, i))
        .collect();
    let told: BTreeSet<(&str, u64)> = i
        .demand
        .keys()
        .map(|(r, c)| (r.as_str(), c.chain))
        .collect();
    if i.is_incomplete {
        wanted.extend(
            stood
                .iter()
                .filter(|(k, _)| !told.contains(*k))
                .map(|(k, p)| {
                    let chain = PromptChain {
                        version: name_digest(i.version),
                        homes: p.homes,
                        chain: p.chain,
                        tokens: p.tokens,
                    };
                    Wanted {
                        region: k.0,
                        chain,
                        asked: 0.0,
                        worth: 1.0,
                        old: Some(p),
                    }
                }),
        );
    }
    // The most worth first; what stands goes before what would have to be read.
    wanted.sort_by(|a, b| {
        let by = |w: &Wanted| {
            w.worth
                * if w.old.is_some() {
                    1.0 / GIVE_BACK_PART
                } else {
                    1.0
                }
        };
        by(b)
            .total_cmp(&by(a))
            .then_with(|| (a.chain, a.region).cmp(&(b.chain, b.region)))
    });
    let room = i.cache_tokens * u64::from(i.spec.share_percent) / 100;
    let mut used: BTreeMap<&str, u64> = BTreeMap::new();
    let mut parts: Vec<StandingPart> = vec![];
    for w in wanted {
        let replicas = place(&w, i, room, &mut used);
        if !replicas.is_empty() && parts.len() < CONTEXT_COPIES_MAX {
            parts.push(StandingPart {
                chain: w.chain.chain,
                tokens: w.chain.tokens,
                homes: w.chain.homes,
                region: w.region.into(),
                replicas,
            });
        }
    }
    // In one order, so that a record differs only where copies do.
    parts.sort_by(|a, b| (&a.region, a.chain).cmp(&(&b.region, b.chain)));
    ContextRecord { parts, ..next }
}

fn want<'a>(
    r: &'a str,
    c: &PromptChain,
    a: &DemandCount,
    stood: &BTreeMap<(&str, u64), &'a StandingPart>,
    i: &PlacementInputs<'a>,
) -> Option<Wanted<'a>> {
    // Counts for another version tell how popular the chain is, but what they were kept by is gone.
    if c.version != name_digest(i.version) || !may_stand(r, c, i) {
        return None;
    }
    let old = stood.get(&(r, c.chain)).copied();
    let worth = worth(c, a);
    let least = if old.is_some() { GIVE_BACK_PART } else { 1.0 };
    (worth >= least).then_some(Wanted {
        region: r,
        chain: *c,
        asked: a.requests,
        worth,
        old,
    })
}

/// Whether a region may have a copy: inside the homes, and not where the chain has its one place anyway.
fn may_stand(region: &str, c: &PromptChain, i: &PlacementInputs) -> bool {
    let Some(homes) = i.homes.get(&c.homes) else {
        return false;
    };
    let home = |r: &str| homes.is_empty() || homes.iter().any(|h| h == r);
    let all = i
        .replicas
        .iter()
        .filter(|r| r.version == i.version)
        .map(|r| {
            (
                rendezvous_weight_of(c.chain, name_digest(&r.id)),
                (i.region)(&r.zone),
            )
        })
        .filter(|r| home(&r.1));
    home(region) && all.max().is_some_and(|(_, first)| first != region)
}

/// Replicas for a copy: those it stands on first, then by the chain's agreed order, as far as there is room.
fn place<'a>(
    w: &Wanted,
    i: &PlacementInputs<'a>,
    room: u64,
    used: &mut BTreeMap<&'a str, u64>,
) -> Vec<String> {
    let copies = 1 + (w.asked / COPY_ASKS) as usize;
    let stands = |r: &PlacedReplica| w.old.is_some_and(|o| o.replicas.contains(&r.id));
    let may = |r: &&PlacedReplica| {
        r.version == i.version && (i.region)(&r.zone) == w.region && (!r.cold || stands(r))
    };
    let mut all: Vec<&PlacedReplica> = i.replicas.iter().filter(may).collect();
    all.sort_by_key(|r| {
        std::cmp::Reverse((
            stands(r),
            rendezvous_weight_of(w.chain.chain, name_digest(&r.id)),
        ))
    });
    let tokens = u64::from(w.chain.tokens);
    let mut got = vec![];
    for r in all {
        let u = used.entry(&r.id).or_default();
        if got.len() < copies && *u + tokens <= room {
            *u += tokens;
            got.push(r.id.clone());
        }
    }
    got.sort();
    got
}
