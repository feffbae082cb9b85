//! Who votes: the first voters, and whom the voters give a lost one's place, a new place, or a better one.

use std::collections::BTreeMap;

use wire_messages::{Blob, Name, Voter};

use crate::{
    Ms,
    bounds::Bounds,
    regions::{self, Regions},
    timing::{HEARTBEAT_INTERVAL, PEER_TIMEOUT},
};

/// Voters at least, where there are so many daemons: one of them may be lost.
const MIN_VOTERS: usize = 3;
/// Voters where there are enough daemons, unless the losses to be borne ask for more: a zone and a disk may be lost.
const TARGET_VOTERS: usize = 5;
/// ms. A daemon that stands by takes the place of a voter that was silent for so long; a restart takes less.
const REPLACE_AFTER: Ms = 3_000;
/// ms. After so long even a daemon in a place that has its share of voters does.
const REPLACE_ANYWHERE_AFTER: Ms = 10_000;

/// A daemon that could vote: as a voter, and whether its disk was blank when it started.
pub type Candidate = (Voter, bool);

/// What a change of voters is decided from.
pub struct VoterChange<'a> {
    pub voters: &'a [Voter],
    /// How long nothing was heard of a voter's disk.
    pub unheard_for: &'a dyn Fn(&Voter) -> Ms,
    pub candidates: Vec<Candidate>,
    pub regions: &'a Regions,
    pub bounds: &'a Bounds,
    /// Whether a voter was heard lately, and votes.
    pub is_live: &'a dyn Fn(&Voter) -> bool,
}

/// Places that a loss of the worst zone or region would take beyond what leaves a majority.
fn excess_voters(voters: &[Voter], regions: &Regions) -> usize {
    let spare = voters.len() - (voters.len() / 2 + 1).min(voters.len());
    let most = |group: &dyn Fn(&Voter) -> String| {
        let mut n: BTreeMap<String, usize> = BTreeMap::new();
        voters
            .iter()
            .for_each(|v| *n.entry(group(v)).or_default() += 1);
        n.values().map(|n| n.saturating_sub(spare)).sum::<usize>()
    };
    most(&|v| v.zone.to_string()) + most(&|v| region(v, regions).to_string())
}

fn region<'a>(v: &'a Voter, regions: &'a Regions) -> &'a str {
    regions::region_of(regions, &v.zone)
}

/// How crowded a place is: voters in its region, and in its zone.
fn crowding(v: &Voter, voters: &[Voter], regions: &Regions) -> (usize, usize) {
    let there = region(v, regions);
    (
        voters
            .iter()
            .filter(|o| region(o, regions) == there)
            .count(),
        voters.iter().filter(|o| o.zone == v.zone).count(),
    )
}

/// The next voters, if the present ones are to change. A change keeps at least as many voters, so that a majority of
/// the next that is made of former ones is a majority of the former.
pub fn next_voters(s: &VoterChange) -> Option<Vec<Voter>> {
    let mut voters = s.voters.to_vec();
    let mut free = s.candidates.clone();
    // A lost disk's place goes to whoever has its name or address: the process with the old disk is no more.
    for v in &mut voters {
        let i = free
            .iter()
            .position(|(c, _)| c.name == v.name || c.addr == v.addr);
        if let Some(i) = i.filter(|_| (s.unheard_for)(v) > 2 * HEARTBEAT_INTERVAL) {
            *v = free.remove(i).0;
        }
    }
    replace_lost(s, &mut voters, &mut free);
    add_voters(s, &mut voters, &mut free);
    if s.voters
        .iter()
        .all(|v| (s.is_live)(v) && (s.unheard_for)(v) <= 2 * HEARTBEAT_INTERVAL)
    {
        rebalance(s, &mut voters, &mut free);
    }
    // Newcomers read a majority of the former voters: without it a change would leave them waiting for good.
    let read = voters
        .iter()
        .filter(|v| s.voters.contains(v) && (s.is_live)(v))
        .count();
    (voters != s.voters && read > s.voters.len() / 2).then_some(voters)
}

/// Gives places of voters that are silent for long to others: an empty machine comes in a lost one's stead, while a
/// daemon that stands by waits longer, as the voter may be restarting.
fn replace_lost(s: &VoterChange, voters: &mut [Voter], free: &mut Vec<Candidate>) {
    // Who has been silent longest is least likely to come back.
    let mut order: Vec<usize> = (0..voters.len()).collect();
    order.sort_by_key(|i| std::cmp::Reverse((s.unheard_for)(&voters[*i])));
    for i in order {
        let silent = (s.unheard_for)(&voters[i]);
        let ready = |c: &Candidate| silent > if c.1 { PEER_TIMEOUT } else { REPLACE_AFTER };
        let with = |c: &Candidate| {
            let mut next = voters.to_vec();
            next[i] = c.0.clone();
            next
        };
        // After long enough a worse spread is better than a place that nobody fills.
        let most = if silent > REPLACE_ANYWHERE_AFTER {
            usize::MAX
        } else {
            excess_voters(voters, s.regions)
        };
        let fits = (0..free.len())
            .filter(|n| ready(&free[*n]) && excess_voters(&with(&free[*n]), s.regions) <= most);
        let best = fits.min_by_key(|n| {
            let (c, _) = &free[*n];
            let (far, out) = (
                region(c, s.regions) != region(&voters[i], s.regions),
                c.zone != voters[i].zone,
            );
            (
                excess_voters(&with(&free[*n]), s.regions),
                out,
                far,
                crowding(c, voters, s.regions),
                c.name.clone(),
            )
        });
        if let Some(n) = best {
            voters[i] = free.remove(n).0;
        }
    }
}

/// Adds voters: two at a time, as an even number bears no more losses than one less; one at a time below what the
/// losses to be borne need, where one more disk still keeps what a single loss would take.
fn add_voters(s: &VoterChange, voters: &mut Vec<Voter>, free: &mut Vec<Candidate>) {
    let least = MIN_VOTERS.max(2 * s.bounds.lost_disks as usize + 1);
    while voters.len() < least.max(TARGET_VOTERS) && !free.is_empty() {
        let mut next = voters.clone();
        let mut left = free.clone();
        let odd = voters.len() % 2 == 1;
        let step = if odd && (voters.len() >= MIN_VOTERS || left.len() >= 2) {
            2
        } else {
            1
        };
        if left.len() < step {
            return;
        }
        for _ in 0..step {
            let best = (0..left.len()).min_by_key(|n| {
                (
                    crowding(&left[*n].0, &next, s.regions),
                    left[*n].0.name.clone(),
                )
            });
            next.extend(best.map(|n| left.remove(n).0));
        }
        if voters.len() >= least
            && excess_voters(&next, s.regions) > excess_voters(voters, s.regions)
        {
            return;
        }
        (*voters, *free) = (next, left);
    }
}

/// Swaps one voter for a daemon that stands by where that spreads the voters better.
fn rebalance(s: &VoterChange, voters: &mut [Voter], free: &mut Vec<Candidate>) {
    let now = excess_voters(voters, s.regions);
    if now == 0 {
        return;
    }
    // A machine that has just come may be in the stead of a voter that has just gone.
    let swaps = (0..voters.len())
        .flat_map(|i| (0..free.len()).map(move |n| (i, n)))
        .filter(|(_, n)| !free[*n].1);
    let after = |(i, n): &(usize, usize)| {
        let mut next = voters.to_vec();
        next[*i] = free[*n].0.clone();
        excess_voters(&next, s.regions)
    };
    let Some(best) = swaps.min_by_key(after).filter(|b| after(b) < now) else {
        return;
    };
    voters[best.0] = free.remove(best.1).0;
}

/// What stands under the members' key: how many voters there were before, and each voter.
type StoredVoters = (u32, Vec<(Name, u64, Name, Name, u32)>);

pub fn encode(before: u32, v: &[Voter]) -> Blob {
    let rows = v
        .iter()
        .map(|v| {
            (
                v.name.clone(),
                v.disk_id,
                v.addr.clone(),
                v.zone.clone(),
                v.since_epoch,
            )
        })
        .collect();
    let stored: StoredVoters = (before, rows);
    Blob(serde_json::to_vec(&stored).unwrap_or_default())
}

/// Reads what stands under the members' key; also as it was written before voters had zones.
pub fn decode(b: &[u8]) -> Option<(u32, Vec<Voter>)> {
    if let Ok((before, rows)) = serde_json::from_slice::<StoredVoters>(b) {
        let voter = |(name, disk, addr, zone, since)| Voter {
            name,
            disk_id: disk,
            addr,
            zone,
            since_epoch: since,
        };
        return Some((before, rows.into_iter().map(voter).collect()));
    }
    let rows: Vec<(Name, u64, Name)> = serde_json::from_slice(b).ok()?;
    let voter = |(name, disk, addr)| Voter {
        name,
        disk_id: disk,
        addr,
        ..Voter::default()
    };
    Some((0, rows.into_iter().map(voter).collect()))
}
