//! Who votes: which daemon gets a lost voter's place, a new place, or a better one.

use std::cmp::Reverse;

use wire_messages::Voter;

use crate::{
    Ms,
    bounds::Bounds,
    regions::Regions,
    timing::{HEARTBEAT_INTERVAL, PEER_TIMEOUT},
};
use spread::{Crowding, excess_voters, voter_region};

mod spread;
mod stored;

pub use stored::{StoredVoters, decode, encode};

/// Voters at least, where there are so many daemons: one of them may be lost.
const MIN_VOTERS: usize = 3;
/// Voters where there are enough daemons, unless the losses to be tolerated ask for more: a zone and a disk may be lost.
const TARGET_VOTERS: usize = 5;
/// ms. A voter that was present within this time is well.
const PRESENT_LATELY: Ms = 2 * HEARTBEAT_INTERVAL;
/// ms. A learner takes the place of a voter that was absent for so long; a restart takes less.
const REPLACE_AFTER: Ms = 3_000;
/// ms. After so long even a daemon whose zone or region has its share of voters does.
const REPLACE_ANYWHERE_AFTER: Ms = 10_000;

/// A daemon that could vote.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The voter that it would be.
    pub voter: Voter,
    /// Whether its disk was blank when it started: it may have come to replace a lost machine.
    pub started_blank: bool,
}

impl Candidate {
    /// ms. How long a voter must have been absent before this daemon takes its place. A learner waits longer than
    /// an empty machine, as the voter may be restarting.
    fn replaces_after(&self) -> Ms {
        if self.started_blank {
            PEER_TIMEOUT
        } else {
            REPLACE_AFTER
        }
    }
}

/// What a change of voters is decided from.
pub struct VoterChange<'a> {
    /// The present voters.
    pub voters: &'a [Voter],
    /// ms. For how long a voter's disk was absent: nothing was heard of it, or its daemon heard neither this one nor a
    /// majority.
    pub absent_for: &'a dyn Fn(&Voter) -> Ms,
    /// Daemons that could become voters.
    pub candidates: Vec<Candidate>,
    /// Region of each zone.
    pub regions: &'a Regions,
    /// Losses that are to be survived.
    pub bounds: &'a Bounds,
    /// Whether a voter and this daemon have heard each other lately, and it votes.
    pub is_connected: &'a dyn Fn(&Voter) -> bool,
}

impl VoterChange<'_> {
    fn was_present_lately(&self, voter: &Voter) -> bool {
        (self.absent_for)(voter) <= PRESENT_LATELY
    }

    fn excess(&self, voters: &[Voter]) -> usize {
        excess_voters(voters, self.regions)
    }
}

/// The next voters, if the present ones are to change. A change never has fewer voters than before, so that a majority
/// of the next that is made of former ones is a majority of the former.
pub fn next_voters(change: &VoterChange) -> Option<Vec<Voter>> {
    let mut voters = change.voters.to_vec();
    let mut candidates = change.candidates.clone();
    replace_disks(change, &mut voters, &mut candidates);
    replace_lost(change, &mut voters, &mut candidates);
    add_voters(change, &mut voters, &mut candidates);
    // A voter that is away may come back: it is no time to move others.
    if change
        .voters
        .iter()
        .all(|voter| (change.is_connected)(voter) && change.was_present_lately(voter))
    {
        rebalance(change, &mut voters, &mut candidates);
    }
    // Joiners read a majority of the former voters: without one that goes on voting they would wait for good.
    let remaining = voters
        .iter()
        .filter(|voter| change.voters.contains(voter) && (change.is_connected)(voter))
        .count();
    (voters != change.voters && remaining > change.voters.len() / 2).then_some(voters)
}

/// Gives a lost disk's place to the daemon of the same name or address: the process with the old disk is no more.
fn replace_disks(change: &VoterChange, voters: &mut [Voter], candidates: &mut Vec<Candidate>) {
    for voter in voters {
        let successor = candidates.iter().position(|candidate| {
            candidate.voter.name == voter.name || candidate.voter.addr == voter.addr
        });
        if let Some(index) = successor.filter(|_| !change.was_present_lately(voter)) {
            *voter = candidates.remove(index).voter;
        }
    }
}

/// Gives places of voters that were absent for long to others.
fn replace_lost(change: &VoterChange, voters: &mut [Voter], candidates: &mut Vec<Candidate>) {
    // Who has been away longest is least likely to come back.
    let mut order: Vec<usize> = (0..voters.len()).collect();
    order.sort_by_key(|place| Reverse((change.absent_for)(&voters[*place])));
    for place in order {
        if let Some(index) = best_replacement(change, voters, place, candidates) {
            voters[place] = candidates.remove(index).voter;
        }
    }
}

/// Which candidate takes a voter's place: one that keeps the voters spread, as near to the voter as there is.
fn best_replacement(
    change: &VoterChange,
    voters: &[Voter],
    place: usize,
    candidates: &[Candidate],
) -> Option<usize> {
    let lost = &voters[place];
    let absent_for = (change.absent_for)(lost);
    // After long enough a worse spread is better than a place that nobody takes.
    let most_excess = if absent_for > REPLACE_ANYWHERE_AFTER {
        usize::MAX
    } else {
        change.excess(voters)
    };
    let excess_with =
        |candidate: &Candidate| change.excess(&with_replaced(voters, place, &candidate.voter));
    candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| {
            absent_for > candidate.replaces_after() && excess_with(candidate) <= most_excess
        })
        .min_by_key(|(_, candidate)| {
            let voter = &candidate.voter;
            let is_other_zone = voter.zone != lost.zone;
            let is_other_region =
                voter_region(voter, change.regions) != voter_region(lost, change.regions);
            (
                excess_with(candidate),
                is_other_zone,
                is_other_region,
                Crowding::around(voter, voters, change.regions),
                voter.name.clone(),
            )
        })
        .map(|(index, _)| index)
}

fn with_replaced(voters: &[Voter], place: usize, voter: &Voter) -> Vec<Voter> {
    let mut next = voters.to_vec();
    next[place] = voter.clone();
    next
}

/// Adds voters: two at a time, as an even number tolerates no more losses than one less; one at a time below what the
/// losses to be tolerated need, where one more disk still keeps what a single loss would take.
fn add_voters(change: &VoterChange, voters: &mut Vec<Voter>, candidates: &mut Vec<Candidate>) {
    let least = MIN_VOTERS.max(2 * change.bounds.lost_disks as usize + 1);
    while voters.len() < least.max(TARGET_VOTERS) && !candidates.is_empty() {
        let is_odd = voters.len() % 2 == 1;
        let step = if is_odd && (voters.len() >= MIN_VOTERS || candidates.len() >= 2) {
            2
        } else {
            1
        };
        if candidates.len() < step {
            return;
        }
        let mut next = voters.clone();
        let mut remaining = candidates.clone();
        for _ in 0..step {
            next.extend(take_least_crowded(change, &next, &mut remaining));
        }
        if voters.len() >= least && change.excess(&next) > change.excess(voters) {
            return;
        }
        *voters = next;
        *candidates = remaining;
    }
}

/// Takes the candidate that has the fewest voters near it.
fn take_least_crowded(
    change: &VoterChange,
    voters: &[Voter],
    candidates: &mut Vec<Candidate>,
) -> Option<Voter> {
    let (index, _) = candidates.iter().enumerate().min_by_key(|(_, candidate)| {
        (
            Crowding::around(&candidate.voter, voters, change.regions),
            candidate.voter.name.clone(),
        )
    })?;
    Some(candidates.remove(index).voter)
}

/// Swaps one voter for a learner where that spreads the voters better.
fn rebalance(change: &VoterChange, voters: &mut [Voter], candidates: &mut Vec<Candidate>) {
    let excess_now = change.excess(voters);
    if excess_now == 0 {
        return;
    }
    // A machine that has just come may have been meant to replace a voter that has just gone.
    let learners: Vec<usize> = (0..candidates.len())
        .filter(|index| !candidates[*index].started_blank)
        .collect();
    let best = (0..voters.len())
        .flat_map(|place| learners.iter().map(move |index| (place, *index)))
        .map(|(place, index)| {
            let swapped = with_replaced(voters, place, &candidates[index].voter);
            (change.excess(&swapped), place, index)
        })
        .min_by_key(|(excess, ..)| *excess);
    if let Some((excess, place, index)) = best
        && excess < excess_now
    {
        voters[place] = candidates.remove(index).voter;
    }
}
