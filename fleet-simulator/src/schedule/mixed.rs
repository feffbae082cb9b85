//! Schedules that draw any fault, or from the other schedules.

use super::{
    FROM, build,
    builder::{ScheduleBuilder, cut, edge_count, plan, start_time, zone_names},
    registry::{NamedSchedule, SCHEDULES},
};
use crate::{deployment::Deployment, faults::Fault, wrong::WRONGS};

/// Schedules that `mix` does not draw from: seeds that once failed keep their days.
const LATER: [&str; 5] = ["grey", "lying", "flapping", "long_spec", "two_losses"];

impl ScheduleBuilder {
    /// Two or three faults of any kind at once.
    pub(super) fn pairs(&mut self, with_rollout: bool) {
        let t = start_time(&mut self.rng);
        let n = 2 + self.rng.usize(..2);
        self.faults.extend((0..n).map(|_| {
            (
                t + self.rng.u64(..4_000),
                any_fault(&mut self.rng, &self.deployment),
            )
        }));
        self.faults.extend((0..n).map(|_| {
            (
                t + 16_000 + self.rng.u64(..4_000),
                any_fault(&mut self.rng, &self.deployment),
            )
        }));
        if with_rollout {
            self.faults.extend((0..n).map(|_| {
                (
                    t + 40_000 + self.rng.u64(..30_000),
                    any_fault(&mut self.rng, &self.deployment),
                )
            }));
        }
        self.faults
            .extend((0..8).map(|i| (t + 500 + i * 3_000, Fault::PutSpec)));
        if with_rollout {
            self.faults.push((FROM - 6_000, plan("v2")));
        }
    }

    /// Anything.
    pub(super) fn mix(&mut self) {
        let others: Vec<&NamedSchedule> = SCHEDULES
            .iter()
            .filter(|schedule| is_drawn_by_mix(schedule.name))
            .collect();
        for _ in 0..3 {
            let other = others[self.rng.usize(..others.len())];
            let seed = self.rng.u64(..);
            self.faults.extend(build(other, seed, &self.deployment));
        }
        self.faults.push((FROM, plan("v2")));
        self.faults.sort_by_key(|fault| fault.0);
    }
}

fn is_drawn_by_mix(name: &str) -> bool {
    let is_of_its_own = ["rollout", "placed", "engine"]
        .iter()
        .any(|prefix| name.starts_with(prefix));
    name != "mix" && !LATER.contains(&name) && !is_of_its_own
}

/// Any fault at all.
fn any_fault(rng: &mut fastrand::Rng, deployment: &Deployment) -> Fault {
    let (controls, edges) = (deployment.control.len(), edge_count(deployment));
    let zones = zone_names(deployment);
    let (c, e, z, nth) = (
        rng.usize(..controls),
        rng.usize(..edges),
        rng.usize(..zones.len()),
        rng.usize(..50),
    );
    let (down, ms) = (rng.u64(100..5_000), rng.u64(1_000..9_000));
    let machine = |rng: &mut fastrand::Rng| {
        if rng.bool() {
            format!("control-{}", rng.usize(..controls) + 1)
        } else {
            format!("edge-{}", rng.usize(..edges) + 1)
        }
    };
    match rng.usize(..33) {
        0 => Fault::KillControl { at: c, down },
        1 => Fault::WipeControl { at: c, down },
        2 => Fault::ReplaceControl { at: c, down },
        3 => Fault::WipeAfterAccept { at: c, down },
        4 => Fault::KillAgent { at: e, down },
        5 => Fault::KillProxy { at: e, down },
        6 => Fault::KillEdge { at: e, down },
        7 => Fault::FreezeControl { at: c, ms },
        8 => Fault::FreezeEdge { at: e, ms },
        9 => cut(
            &[&machine(rng)],
            &zones.iter().map(String::as_str).collect::<Vec<_>>(),
            ms,
            rng.bool(),
        ),
        10 => cut(
            &[&zones[z]],
            &[&zones[(z + 1) % zones.len()]],
            ms,
            rng.bool(),
        ),
        11 => cut(
            &[&machine(rng), &machine(rng)],
            &[&machine(rng), &machine(rng)],
            ms,
            rng.bool(),
        ),
        12 => Fault::DiskSlow {
            at: c,
            sync: rng.u64(20..1_200),
            ms,
        },
        13 => Fault::DiskFull { at: c, ms },
        14 => Fault::ReplicaCrash { nth, down },
        15 => Fault::ReplicaDark { nth, ms },
        16 => Fault::Warn {
            nth,
            leaves_in: rng.u64(500..9_000),
        },
        17 => Fault::TotalLoss {
            down: rng.u64(100..1_500),
        },
        18 => Fault::LoseControl {
            down: rng.u64(100..2_000),
        },
        19 => Fault::LoseEdges {
            down: rng.u64(100..2_000),
        },
        20 => Fault::LoseRegion {
            zone: z,
            ms: Some(ms),
        },
        21 => Fault::ReplaceEdge { at: e, down },
        22 => Fault::Network {
            extra: rng.u64(10..300),
            lost: rng.u32(..12),
            twice: rng.u32(..20),
            ms,
        },
        23 => Fault::Misbehave {
            wrong: WRONGS[rng.usize(..WRONGS.len())],
            percent: 20,
            ms,
        },
        24 => Fault::ReplicaLeaves { nth, gone_in: ms },
        25 => Fault::ReplicaMoves { nth, down },
        26 => Fault::PlatformSilent { ms },
        27 => Fault::PlatformStale { ms },
        28 => Fault::Orders {
            lost: rng.u32(..90),
            late: rng.u64(..5_000),
            ms,
        },
        29 => Fault::LoadSlow {
            load: rng.u64(2_000..12_000),
            ms,
        },
        30 => Fault::RaceZone { zone: z },
        31 => Fault::RaceSpecs,
        _ => Fault::Crowd {
            times: 2 + rng.u32(..8),
            ms,
        },
    }
}
