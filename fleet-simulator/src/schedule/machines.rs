//! Schedules of disks, links and clocks.

use super::{
    FROM,
    builder::{ScheduleBuilder, cut, start_time},
};
use crate::faults::Fault;

impl ScheduleBuilder {
    /// Disks slow down.
    pub(super) fn disk_slow(&mut self) {
        for i in 0..self.control_count {
            self.faults.push((
                start_time(&mut self.rng),
                Fault::DiskSlow {
                    at: i,
                    sync: self.rng.u64(50..1_500),
                    ms: self.rng.u64(3_000..15_000),
                },
            ));
        }
        self.faults
            .extend((0..12).map(|i| (FROM + i * 1_500, Fault::PutSpec)));
    }

    /// Disks fill up and get room again.
    pub(super) fn disk_full(&mut self) {
        for i in 0..2 {
            self.faults.push((
                start_time(&mut self.rng),
                Fault::DiskFull {
                    at: (self.victim + i) % self.control_count,
                    ms: self.rng.u64(3_000..12_000),
                },
            ));
        }
        self.faults
            .extend((0..12).map(|i| (FROM + i * 1_700, Fault::PutSpec)));
    }

    /// Control machines are split apart, with operators racing on both sides.
    pub(super) fn split(&mut self) {
        let t = start_time(&mut self.rng);
        self.faults.push((
            t,
            cut(
                &[&self.control_name(self.victim)],
                &[
                    &self.control_name(self.victim + 1),
                    &self.control_name(self.victim + 2),
                ],
                self.rng.u64(3_000..12_000),
                self.rng.bool(),
            ),
        ));
        for i in 0..8 {
            self.faults.push((
                t + i * 1_000,
                if i % 2 == 0 {
                    Fault::RaceSpecs
                } else {
                    Fault::PutSpec
                },
            ));
        }
    }

    /// Single machines are cut off, also one way only.
    pub(super) fn cut_one(&mut self) {
        for i in 0..3 {
            let t = start_time(&mut self.rng) + i * 8_000;
            let e = format!("edge-{}", self.rng.usize(..self.edge_count) + 1);
            let all: Vec<&str> = self.zones.iter().map(|z| z.as_str()).collect();
            self.faults.push((
                t,
                cut(&[&e], &all, self.rng.u64(2_000..9_000), self.rng.bool()),
            ));
            self.faults.push((t + 500, Fault::PutSpec));
            self.faults.push((
                t + 900,
                if i % 2 == 0 {
                    Fault::Evacuate { zone: self.victim }
                } else {
                    Fault::Restore { zone: self.victim }
                },
            ));
            self.faults.push((
                t + 2_000,
                cut(
                    &[&self.control_name(self.victim)],
                    &all,
                    self.rng.u64(1_000..4_000),
                    self.rng.bool(),
                ),
            ));
        }
    }

    /// One control machine after the other hears nobody, while what it sends arrives.
    pub(super) fn cut_inbound(&mut self) {
        let start = start_time(&mut self.rng);
        let zones = self.zones.clone();
        let all: Vec<&str> = zones.iter().map(|zone| zone.as_str()).collect();
        for turn in 0..3 {
            let cut_at = start + turn * 10_000;
            let deaf = self.control_name(self.victim + turn as usize);
            let duration = self.rng.u64(7_000..9_000);
            self.faults
                .push((cut_at, cut(&all, &[&deaf], duration, true)));
            let warning = Fault::Warn {
                nth: self.rng.usize(..50),
                leaves_in: self.rng.u64(6_000..9_000),
            };
            self.faults.push((cut_at + 2_500, warning));
            let evacuation = if turn % 2 == 0 {
                Fault::Evacuate { zone: self.victim }
            } else {
                Fault::Restore { zone: self.victim }
            };
            self.faults.push((cut_at + 3_000, evacuation));
            for _ in 0..3 {
                let put_at = cut_at + self.rng.u64(500..6_000);
                self.faults.push((put_at, Fault::PutSpec));
            }
        }
    }

    /// A region is cut off.
    pub(super) fn cut_region(&mut self) {
        let t = start_time(&mut self.rng);
        let z = self.zones[self.rng.usize(..self.zones.len())].clone();
        let rest: Vec<&str> = self
            .zones
            .iter()
            .filter(|x| **x != z)
            .map(|x| x.as_str())
            .collect();
        self.faults
            .push((t, cut(&[&z], &rest, self.rng.u64(5_000..20_000), false)));
        self.faults
            .extend((0..6).map(|i| (t + 300 + i * 1_500, Fault::PutSpec)));
        self.faults
            .push((t + 1_000, Fault::Evacuate { zone: self.victim }));
        self.faults
            .push((t + 16_000, Fault::Restore { zone: self.victim }));
    }

    /// The edges are cut from all control machines.
    pub(super) fn cut_control(&mut self) {
        let t = start_time(&mut self.rng);
        let names: Vec<String> = (0..self.control_count)
            .map(|i| self.control_name(i))
            .collect();
        let all: Vec<&str> = names.iter().map(|n| n.as_str()).collect();
        let e: Vec<String> = (0..self.edge_count)
            .map(|i| format!("edge-{}", i + 1))
            .collect();
        let e: Vec<&str> = e.iter().map(|n| n.as_str()).collect();
        self.faults
            .push((t, cut(&e, &all, self.rng.u64(4_000..15_000), false)));
    }

    /// Messages come late, twice or not at all.
    pub(super) fn network(&mut self) {
        for i in 0..3 {
            let f = Fault::Network {
                extra: self.rng.u64(20..400),
                lost: self.rng.u32(..15),
                twice: self.rng.u32(..30),
                ms: self.rng.u64(4_000..9_000),
            };
            self.faults
                .push((start_time(&mut self.rng) + i * 11_000, f));
        }
        self.faults.extend((0..10).map(|i| {
            (
                FROM + 500 + i * 3_100,
                if i % 3 == 0 {
                    Fault::RaceSpecs
                } else {
                    Fault::PutSpec
                },
            )
        }));
        self.faults
            .push((FROM + 5_000, Fault::Evacuate { zone: self.victim }));
        self.faults
            .push((FROM + 20_000, Fault::Restore { zone: self.victim }));
    }

    /// Clocks run up to a twentieth apart, with control daemons killed and cut off.
    pub(super) fn clocks(&mut self) {
        // From the start on, so that the fleet has lived with them when its daemons change.
        let controls = (0..self.control_count).map(|index| self.control_name(index));
        let edges = (0..self.edge_count).map(|index| format!("edge-{}", index + 1));
        let daemons: Vec<String> = controls.chain(edges).collect();
        for name in daemons {
            self.faults.push((
                2_000,
                Fault::Clock {
                    name,
                    thousandths: self.rng.i64(-25..=25),
                },
            ));
        }
        for i in 0..5 {
            let t = start_time(&mut self.rng) + i * 6_000;
            self.faults.push((
                t,
                Fault::FreezeControl {
                    at: self.rng.usize(..self.control_count),
                    ms: self.rng.u64(500..5_000),
                },
            ));
            let isolated = self.rng.usize(..3);
            let isolated = self.control_name(isolated);
            self.faults.push((
                t + 2_000,
                cut(
                    &[&isolated],
                    &[
                        &self.control_name(0),
                        &self.control_name(1),
                        &self.control_name(2),
                    ],
                    self.rng.u64(1_000..5_000),
                    self.rng.bool(),
                ),
            ));
            self.faults.push((t + 3_000, Fault::PutSpec));
        }
        // Duties change hands at the moment their leases end, at the largest drift that these allow for.
        for i in 0..4 {
            self.faults.push((
                start_time(&mut self.rng) + i * 11_000,
                Fault::CutHolder {
                    ms: self.rng.u64(4_500..7_000),
                    thousandths: 25,
                },
            ));
        }
    }
}
