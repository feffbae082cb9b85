//! The member configuration: the voters of a member epoch, and whether this daemon votes.

use wire_messages::{Name, Voter};

use super::epochs::NON_VOTER_RANK;
use crate::Row;

/// The voters of a member epoch, and whether this daemon votes.
#[derive(Clone, Debug, Default)]
pub struct MemberConfig {
    /// Increases with each change of the voters; 0: no voters are known yet.
    pub member_epoch: u32,
    /// The voters.
    pub voters: Vec<Voter>,
    /// Number of voters in the previous member epoch; 0: unknown.
    pub previous_voter_count: u32,
    /// Whether this daemon votes: it is a listed voter and has caught up.
    pub voting: bool,
    /// Whether this daemon voted in the previous member epoch and is no longer a voter: joiners may still read its
    /// slots.
    pub retired: bool,
}

impl MemberConfig {
    /// Returns the size of a majority. Any two majorities share a voter, so each finds what the other has on disk.
    pub(super) fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns whether the daemon with this name is a voter.
    pub(super) fn has_voter(&self, name: &Name) -> bool {
        self.voters.iter().any(|voter| voter.name == *name)
    }

    /// Returns whether this daemon votes in a member epoch. A disk that may lack values it once acknowledged must not
    /// vote, and votes of different member epochs must not be mixed.
    pub(super) fn votes_in(&self, member_epoch: u32) -> bool {
        self.voting && member_epoch == self.member_epoch
    }

    /// Returns the position of a voter in the sorted list of names: within a member epoch no two voters share a rank.
    pub(super) fn rank_of(&self, name: &Name) -> u64 {
        let mut names: Vec<&Name> = self.voters.iter().map(|voter| &voter.name).collect();
        names.sort();
        names
            .iter()
            .position(|voter| *voter == name)
            .map_or(NON_VOTER_RANK, |rank| rank as u64)
    }

    /// Sets the addresses of the daemons that bootstrap the system: they are the voters of member epoch 0, with disk
    /// ids that are not known yet.
    pub(super) fn set_bootstrap_addrs(&mut self, addrs: &[Name]) {
        let mut addrs = addrs.to_vec();
        addrs.sort();
        addrs.dedup();
        let voter_with_unknown_disk = |addr| Voter {
            addr,
            ..Voter::default()
        };
        self.voters = addrs.into_iter().map(voter_with_unknown_disk).collect();
    }

    /// Returns the row that stores the member configuration.
    pub(super) fn row(&self) -> Row {
        Row::Members {
            member_epoch: self.member_epoch,
            before: self.previous_voter_count,
            voters: self.voters.clone(),
            voting: self.voting,
            left: self.retired,
        }
    }
}
