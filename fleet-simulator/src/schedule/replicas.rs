//! Schedules of replicas and of their platform.

use super::{
    FROM,
    builder::{ScheduleBuilder, cut, plan, start_time},
};
use crate::faults::Fault;

impl ScheduleBuilder {
    /// Replicas crash, go dark and come back cold.
    pub(super) fn replicas(&mut self) {
        for i in 0..6 {
            let t = start_time(&mut self.rng) + i * 5_000;
            self.faults.push((
                t,
                Fault::ReplicaCrash {
                    nth: self.rng.usize(..50),
                    down: self.rng.u64(300..3_000),
                },
            ));
            self.faults.push((
                t + 1_500,
                Fault::ReplicaDark {
                    nth: self.rng.usize(..50),
                    ms: self.rng.u64(500..6_000),
                },
            ));
        }
    }

    /// Half of the replicas crash at once under a crowd, again and again.
    pub(super) fn storm(&mut self) {
        let t = start_time(&mut self.rng);
        self.faults.push((
            t,
            Fault::Crowd {
                times: 8,
                ms: 20_000,
            },
        ));
        for k in 0..5 {
            self.faults.extend((0..9).map(|i| {
                (
                    t + 2_000 + k * 3_500,
                    Fault::ReplicaCrash {
                        nth: (i * 2) as usize,
                        down: 300,
                    },
                )
            }));
        }
    }

    /// Replicas fail part of what they are sent and say that they are well.
    pub(super) fn grey(&mut self) {
        for i in 0..4 {
            let f = Fault::ReplicaGrey {
                nth: self.rng.usize(..90),
                percent: 30 + self.rng.u32(..60),
                ms: self.rng.u64(12_000..18_000),
            };
            self.faults.push((start_time(&mut self.rng) + i * 5_000, f));
        }
    }

    /// The health of replicas says the opposite of how they are.
    pub(super) fn lying(&mut self, all_well: bool) {
        for i in 0..4 {
            let well = i % 2 == 0 || all_well;
            self.faults.push((
                start_time(&mut self.rng) + i * 5_000,
                Fault::HealthLies {
                    nth: self.rng.usize(..90),
                    well,
                    ms: self.rng.u64(8_000..14_000),
                },
            ));
        }
    }

    /// Replicas go down and come back by turns.
    pub(super) fn flapping(&mut self) {
        for i in 0..4 {
            let (down, up) = (self.rng.u64(300..2_500), self.rng.u64(1_500..6_000));
            self.faults.push((
                start_time(&mut self.rng) + i * 3_000,
                Fault::ReplicaFlaps {
                    nth: self.rng.usize(..90),
                    down,
                    up,
                    ms: self.rng.u64(12_000..20_000),
                },
            ));
        }
        self.faults.push((
            start_time(&mut self.rng) + 4_000,
            Fault::KillProxy {
                at: self.rng.usize(..self.edge_count),
                down: self.rng.u64(200..1_200),
            },
        ));
        self.faults.push((
            start_time(&mut self.rng) + 9_000,
            Fault::KillEdge {
                at: self.rng.usize(..self.edge_count),
                down: self.rng.u64(200..1_200),
            },
        ));
    }

    /// Replicas come back cold while a crowd is there.
    pub(super) fn cold_crowd(&mut self) {
        let t = start_time(&mut self.rng);
        self.faults.push((
            t,
            Fault::Crowd {
                times: 6,
                ms: 25_000,
            },
        ));
        self.faults.extend((0..8).map(|i| {
            (
                t + 1_000 + i * 2_500,
                Fault::ReplicaCrash {
                    nth: self.rng.usize(..50),
                    down: self.rng.u64(300..2_000),
                },
            )
        }));
    }

    /// Replicas are warned and taken away one by one.
    pub(super) fn replaced(&mut self) {
        for i in 0..5 {
            self.faults.push((
                start_time(&mut self.rng) + i * 6_000,
                Fault::Warn {
                    nth: self.rng.usize(..50),
                    leaves_in: self.rng.u64(5_000..12_000),
                },
            ));
        }
    }

    /// Replicas say that they leave, are drained by a smaller spec, and are warned.
    pub(super) fn leaving_ways(&mut self) {
        for i in 0..3 {
            let t = start_time(&mut self.rng) + i * 9_000;
            self.faults.push((
                t,
                Fault::ReplicaLeaves {
                    nth: self.rng.usize(..50),
                    gone_in: self.rng.u64(6_000..9_000),
                },
            ));
            self.faults.push((
                t + 2_000,
                Fault::Shrink {
                    zone: self.rng.usize(..3),
                    by: 1,
                },
            ));
            self.faults.push((
                t + 4_000,
                Fault::Warn {
                    nth: self.rng.usize(..50),
                    leaves_in: self.rng.u64(5_000..9_000),
                },
            ));
        }
    }

    /// Replicas are warned a few seconds before they go, in a crowd.
    pub(super) fn short_notice(&mut self) {
        let t = start_time(&mut self.rng);
        self.faults.push((
            t,
            Fault::Crowd {
                times: 5,
                ms: 20_000,
            },
        ));
        self.faults.extend((0..6).map(|i| {
            (
                t + i * 3_000,
                Fault::Warn {
                    nth: self.rng.usize(..50),
                    leaves_in: self.rng.u64(300..4_000),
                },
            )
        }));
    }

    /// Replicas are warned while control is split and its daemons die.
    pub(super) fn leaving_split(&mut self) {
        let t = start_time(&mut self.rng);
        self.faults.push((
            t,
            cut(
                &[&self.control_name(self.victim)],
                &[
                    &self.control_name(self.victim + 1),
                    &self.control_name(self.victim + 2),
                ],
                self.rng.u64(6_000..12_000),
                false,
            ),
        ));
        for i in 0..4 {
            self.faults.push((
                t + 300 + i * 3_000,
                Fault::Warn {
                    nth: self.rng.usize(..50),
                    leaves_in: self.rng.u64(6_000..9_000),
                },
            ));
            self.faults.push((
                t + 250 + i * 3_000,
                Fault::KillControl {
                    at: self.rng.usize(..self.control_count),
                    down: self.rng.u64(500..2_500),
                },
            ));
        }
    }

    /// Replicas go dark, come back cold, and meet proxies that have just started.
    pub(super) fn cold_dark(&mut self) {
        let t = start_time(&mut self.rng);
        self.faults.push((
            t,
            Fault::Crowd {
                times: 5,
                ms: 25_000,
            },
        ));
        for i in 0..6 {
            let nth = self.rng.usize(..50);
            self.faults.push((
                t + 1_000 + i * 3_500,
                Fault::ReplicaDark {
                    nth,
                    ms: self.rng.u64(500..2_500),
                },
            ));
            self.faults.push((
                t + 2_000 + i * 3_500,
                Fault::ReplicaCrash {
                    nth,
                    down: self.rng.u64(50..1_000),
                },
            ));
            self.faults.push((
                t + 3_300 + i * 3_500,
                Fault::KillProxy {
                    at: self.rng.usize(..self.edge_count),
                    down: self.rng.u64(100..600),
                },
            ));
        }
    }

    /// The platform is silent, tells an old list, loses and delays orders; replicas move.
    pub(super) fn platform(&mut self) {
        self.faults.push((
            start_time(&mut self.rng),
            Fault::PlatformStale {
                ms: self.rng.u64(3_000..8_000),
            },
        ));
        self.faults.push((
            start_time(&mut self.rng) + 500,
            Fault::ReplicaMoves {
                nth: self.rng.usize(..50),
                down: self.rng.u64(300..2_000),
            },
        ));
        self.faults.push((
            start_time(&mut self.rng) + 10_000,
            Fault::PlatformSilent {
                ms: self.rng.u64(3_000..9_000),
            },
        ));
        self.faults.push((
            start_time(&mut self.rng) + 11_000,
            Fault::ReplicaMoves {
                nth: self.rng.usize(..50),
                down: self.rng.u64(300..2_000),
            },
        ));
        self.faults.push((
            start_time(&mut self.rng) + 11_500,
            Fault::Warn {
                nth: self.rng.usize(..50),
                leaves_in: self.rng.u64(5_000..9_000),
            },
        ));
        self.faults.push((
            start_time(&mut self.rng) + 20_000,
            Fault::Orders {
                lost: self.rng.u32(..80),
                late: self.rng.u64(..9_000),
                ms: 15_000,
            },
        ));
        self.faults.push((FROM + 6_000, plan("v2")));
    }

    /// Versions load very late while replicas crash and a version is rolled out.
    pub(super) fn load_late(&mut self) {
        self.faults.push((
            FROM,
            Fault::LoadSlow {
                load: self.rng.u64(5_000..25_000),
                ms: 30_000,
            },
        ));
        self.faults.push((FROM + 500, plan("v2")));
        self.faults.extend((0..3).map(|i| {
            (
                start_time(&mut self.rng) + i * 7_000,
                Fault::ReplicaCrash {
                    nth: self.rng.usize(..50),
                    down: self.rng.u64(300..2_000),
                },
            )
        }));
    }
}
