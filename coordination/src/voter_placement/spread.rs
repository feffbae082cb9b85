//! Measures of how well voters are spread over zones and regions.

use std::collections::BTreeMap;

use wire_messages::Voter;

use crate::regions::{Regions, region_of};

pub(super) fn voter_region<'a>(voter: &'a Voter, regions: &'a Regions) -> &'a str {
    region_of(regions, &voter.zone)
}

/// Counts the voters in each zone and region beyond the number whose loss leaves a majority; 0 if any one zone or
/// region may be lost.
pub(super) fn excess_voters(voters: &[Voter], regions: &Regions) -> usize {
    let majority = voters.len() / 2 + 1;
    let tolerable = voters.len().saturating_sub(majority);
    let in_zones = excess_in_groups(voters, tolerable, |voter| &voter.zone);
    let in_regions = excess_in_groups(voters, tolerable, |voter| voter_region(voter, regions));
    in_zones + in_regions
}

/// Sums up the voters beyond `tolerable` in each group.
fn excess_in_groups<'a>(
    voters: &'a [Voter],
    tolerable: usize,
    group_of: impl Fn(&'a Voter) -> &'a str,
) -> usize {
    let mut group_sizes: BTreeMap<&str, usize> = BTreeMap::new();
    for voter in voters {
        *group_sizes.entry(group_of(voter)).or_default() += 1;
    }
    group_sizes
        .values()
        .map(|size| size.saturating_sub(tolerable))
        .sum()
}

/// Number of voters near a daemon, ordered by those in its region, then by those in its zone.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Crowding {
    in_region: usize,
    in_zone: usize,
}

impl Crowding {
    pub(super) fn around(daemon: &Voter, voters: &[Voter], regions: &Regions) -> Self {
        let region = voter_region(daemon, regions);
        Crowding {
            in_region: voters
                .iter()
                .filter(|voter| voter_region(voter, regions) == region)
                .count(),
            in_zone: voters
                .iter()
                .filter(|voter| voter.zone == daemon.zone)
                .count(),
        }
    }
}
