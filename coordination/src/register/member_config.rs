//! The member configuration: who votes under which member epoch, and whether this daemon does.

use wire_messages::{Name, Voter};

use super::epochs::NON_VOTER_RANK;
use crate::Row;

/// The voters under a member epoch, and this daemon's part among them.
#[derive(Clone, Debug, Default)]
pub struct MemberConfig {
    /// Rises with each change of voters; 0: none are known yet.
    pub member_epoch: u32,
    /// The voters.
    pub voters: Vec<Voter>,
    /// How many voters the member epoch before had; 0: not known.
    pub previous_voter_count: u32,
    /// Whether this daemon votes: it is listed and has caught up.
    pub voting: bool,
    /// It voted until this member epoch, which gave its place away: joiners may still read it.
    pub retired: bool,
}

impl MemberConfig {
    /// How many voters are a majority. Any two majorities share a voter, so what one has on disk the next one finds.
    pub(super) fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether a daemon of this name votes.
    pub(super) fn has_voter(&self, name: &Name) -> bool {
        self.voters.iter().any(|voter| voter.name == *name)
    }

    /// Whether this daemon votes in that member epoch. A disk that may lack what it once acknowledged must not vote, and
    /// other member epochs count other votes.
    pub(super) fn votes_in(&self, member_epoch: u32) -> bool {
        self.voting && member_epoch == self.member_epoch
    }

    /// The place of a voter among all names in their order: within a member epoch no two voters share one.
    pub(super) fn rank_of(&self, name: &Name) -> u64 {
        let mut names: Vec<&Name> = self.voters.iter().map(|voter| &voter.name).collect();
        names.sort();
        names
            .iter()
            .position(|voter| *voter == name)
            .map_or(NON_VOTER_RANK, |rank| rank as u64)
    }

    /// Notes the addresses of the daemons that bootstrap the system: under member epoch 0 the voters are these, with
    /// disks that nobody knows yet.
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

    /// The row that keeps all of this on disk.
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
