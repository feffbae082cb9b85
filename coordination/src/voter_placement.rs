//! Choice of the voters: replaces lost voters, adds missing ones, and spreads them over zones and regions.

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

/// Minimum number of voters, if there are enough daemons; one of them may be lost.
const MIN_VOTERS: usize = 3;
/// Number of voters if there are enough daemons, unless the losses to be tolerated need more; a zone and a disk may be
/// lost.
const TARGET_VOTERS: usize = 5;
/// Time in ms within which a voter must have been present to be considered healthy.
const PRESENCE_WINDOW: Ms = 2 * HEARTBEAT_INTERVAL;
/// Time in ms after which a learner replaces an absent voter; a restart is faster.
const REPLACE_AFTER: Ms = 3_000;
/// Time in ms after which an absent voter is replaced even by a daemon whose zone or region has its share of voters.
const REPLACE_ANYWHERE_AFTER: Ms = 10_000;

/// A daemon that could become a voter.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The voter that it would become.
    pub voter: Voter,
    /// Whether its disk was blank when it started; it may have been added to replace a lost machine.
    pub started_blank: bool,
}

impl Candidate {
    /// Returns the time in ms for which a voter must have been absent before this daemon replaces it. A learner waits
    /// longer than a daemon with a blank disk, as the voter may be restarting.
    fn replaces_after(&self) -> Ms {
        if self.started_blank {
            PEER_TIMEOUT
        } else {
            REPLACE_AFTER
        }
    }
}

/// The inputs that the next voters are computed from.
pub struct ChangeInputs<'a> {
    /// The current voters.
    pub voters: &'a [Voter],
    /// Time in ms for which a voter's disk was absent: no heartbeat of its daemon was received, or the daemon received
    /// those of neither this one nor a majority.
    pub absent_for: &'a dyn Fn(&Voter) -> Ms,
    /// Daemons that could become voters.
    pub candidates: Vec<Candidate>,
    /// Region of each zone.
    pub regions: &'a Regions,
    /// The losses to be tolerated.
    pub bounds: &'a Bounds,
    /// Whether a voter votes, and it and this daemon have received each other's heartbeats recently.
    pub is_connected: &'a dyn Fn(&Voter) -> bool,
}

impl ChangeInputs<'_> {
    fn was_recently_present(&self, voter: &Voter) -> bool {
        (self.absent_for)(voter) <= PRESENCE_WINDOW
    }

    fn excess(&self, voters: &[Voter]) -> usize {
        excess_voters(voters, self.regions)
    }
}

/// Returns the next voters, if the current ones are to change. A change never reduces the number of voters, so that a
/// majority of the next voters that consists of former ones is a majority of the former voters.
pub fn next_voters(inputs: &ChangeInputs) -> Option<Vec<Voter>> {
    let mut voters = inputs.voters.to_vec();
    let mut candidates = inputs.candidates.clone();
    replace_disks(inputs, &mut voters, &mut candidates);
    replace_lost(inputs, &mut voters, &mut candidates);
    add_voters(inputs, &mut voters, &mut candidates);
    // An absent voter may return, so no other voter is moved meanwhile.
    if inputs
        .voters
        .iter()
        .all(|voter| (inputs.is_connected)(voter) && inputs.was_recently_present(voter))
    {
        rebalance(inputs, &mut voters, &mut candidates);
    }
    // Joiners read a majority of the former voters: unless a majority continues to vote, they would wait forever.
    let remaining = voters
        .iter()
        .filter(|voter| inputs.voters.contains(voter) && (inputs.is_connected)(voter))
        .count();
    (voters != inputs.voters && remaining > inputs.voters.len() / 2).then_some(voters)
}

/// Replaces a lost disk by the daemon of the same name or address, since the process with the old disk no longer
/// exists.
fn replace_disks(inputs: &ChangeInputs, voters: &mut [Voter], candidates: &mut Vec<Candidate>) {
    for voter in voters {
        let successor = candidates.iter().position(|candidate| {
            candidate.voter.name == voter.name || candidate.voter.addr == voter.addr
        });
        if let Some(candidate_index) = successor.filter(|_| !inputs.was_recently_present(voter)) {
            *voter = candidates.remove(candidate_index).voter;
        }
    }
}

/// Replaces voters that were absent for too long.
fn replace_lost(inputs: &ChangeInputs, voters: &mut [Voter], candidates: &mut Vec<Candidate>) {
    // The voter with the longest absence is the least likely to return.
    let mut order: Vec<usize> = (0..voters.len()).collect();
    order.sort_by_key(|voter_index| Reverse((inputs.absent_for)(&voters[*voter_index])));
    for voter_index in order {
        if let Some(candidate_index) = best_replacement(inputs, voters, voter_index, candidates) {
            voters[voter_index] = candidates.remove(candidate_index).voter;
        }
    }
}

/// Returns the index of the candidate to replace a voter: one that keeps the voters spread, as near to that voter as
/// possible.
fn best_replacement(
    inputs: &ChangeInputs,
    voters: &[Voter],
    lost_index: usize,
    candidates: &[Candidate],
) -> Option<usize> {
    let lost = &voters[lost_index];
    let absent_for = (inputs.absent_for)(lost);
    // After this time, a worse spread is better than a lost voter that is not replaced.
    let max_excess = if absent_for > REPLACE_ANYWHERE_AFTER {
        usize::MAX
    } else {
        inputs.excess(voters)
    };
    let excess_with =
        |candidate: &Candidate| inputs.excess(&with_replaced(voters, lost_index, &candidate.voter));
    candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| {
            absent_for > candidate.replaces_after() && excess_with(candidate) <= max_excess
        })
        .min_by_key(|(_, candidate)| {
            let voter = &candidate.voter;
            let is_other_zone = voter.zone != lost.zone;
            let is_other_region =
                voter_region(voter, inputs.regions) != voter_region(lost, inputs.regions);
            (
                excess_with(candidate),
                is_other_zone,
                is_other_region,
                Crowding::around(voter, voters, inputs.regions),
                voter.name.clone(),
            )
        })
        .map(|(candidate_index, _)| candidate_index)
}

fn with_replaced(voters: &[Voter], voter_index: usize, voter: &Voter) -> Vec<Voter> {
    let mut next = voters.to_vec();
    next[voter_index] = voter.clone();
    next
}

/// Adds voters: two at a time, as an even number tolerates no more losses than one voter less; one at a time below what
/// the losses to be tolerated need, where one more disk preserves data that a single loss would destroy.
fn add_voters(inputs: &ChangeInputs, voters: &mut Vec<Voter>, candidates: &mut Vec<Candidate>) {
    let min_voters = MIN_VOTERS.max(2 * inputs.bounds.lost_disks as usize + 1);
    while voters.len() < min_voters.max(TARGET_VOTERS) && !candidates.is_empty() {
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
            next.extend(take_least_crowded(inputs, &next, &mut remaining));
        }
        if voters.len() >= min_voters && inputs.excess(&next) > inputs.excess(voters) {
            return;
        }
        *voters = next;
        *candidates = remaining;
    }
}

/// Removes and returns the candidate with the fewest voters near it.
fn take_least_crowded(
    inputs: &ChangeInputs,
    voters: &[Voter],
    candidates: &mut Vec<Candidate>,
) -> Option<Voter> {
    let (candidate_index, _) = candidates.iter().enumerate().min_by_key(|(_, candidate)| {
        (
            Crowding::around(&candidate.voter, voters, inputs.regions),
            candidate.voter.name.clone(),
        )
    })?;
    Some(candidates.remove(candidate_index).voter)
}

/// Replaces one voter by a learner if that spreads the voters better.
fn rebalance(inputs: &ChangeInputs, voters: &mut [Voter], candidates: &mut Vec<Candidate>) {
    let excess_now = inputs.excess(voters);
    if excess_now == 0 {
        return;
    }
    // A machine that was just added may be meant to replace a voter that was just lost.
    let learners: Vec<usize> = (0..candidates.len())
        .filter(|candidate_index| !candidates[*candidate_index].started_blank)
        .collect();
    let best = (0..voters.len())
        .flat_map(|voter_index| learners.iter().map(move |index| (voter_index, *index)))
        .map(|(voter_index, candidate_index)| {
            let swapped = with_replaced(voters, voter_index, &candidates[candidate_index].voter);
            (inputs.excess(&swapped), voter_index, candidate_index)
        })
        .min_by_key(|(excess, ..)| *excess);
    if let Some((excess, voter_index, candidate_index)) = best
        && excess < excess_now
    {
        voters[voter_index] = candidates.remove(candidate_index).voter;
    }
}
