//! Schedules of traffic, regions and callers.

use super::{
    FROM, LENGTH,
    builder::{ScheduleBuilder, start_time},
};
use crate::{
    faults::Fault,
    history::Ms,
    wrong::{WRONGS, Wrong},
};

impl ScheduleBuilder {
    /// Three times as many requests to engines.
    pub(super) fn engine_crowd(&mut self) {
        self.faults.push((
            25_000,
            Fault::Crowd {
                times: 3,
                ms: 12_000,
            },
        ));
    }

    /// A region with its engines is lost for a while.
    pub(super) fn engine_region_lost(&mut self) {
        self.faults.push((
            25_000 + self.rng.u64(..2_000),
            Fault::LoseRegion {
                zone: self.victim,
                ms: Some(6_000),
            },
        ));
    }

    /// A region's processes and engines restart together; the engines are cold and run at once.
    pub(super) fn engine_region_restarts(&mut self) {
        self.faults.extend([
            (0, Fault::Places),
            (
                FROM,
                Fault::LoadSlow {
                    load: 0,
                    ms: LENGTH,
                },
            ),
        ]);
        for time in [20_000, 40_000] {
            self.faults.push((
                time + self.rng.u64(..2_000),
                Fault::RestartRegion {
                    zone: self.rng.usize(..6),
                    down: self.rng.u64(1_000..6_000),
                },
            ));
        }
    }

    /// A crowd comes at once.
    pub(super) fn crowd(&mut self) {
        self.faults.push((
            start_time(&mut self.rng),
            Fault::Crowd {
                times: 8 + self.rng.u32(..8),
                ms: self.rng.u64(5_000..12_000),
            },
        ));
        self.faults.push((
            start_time(&mut self.rng) + 20_000,
            Fault::Crowd {
                times: 20,
                ms: 4_000,
            },
        ));
    }

    /// Callers swing to long answers, and move between zones.
    pub(super) fn swing(&mut self) {
        self.faults.push((
            start_time(&mut self.rng),
            Fault::Swing {
                ms: self.rng.u64(5_000..15_000),
            },
        ));
        self.faults.push((
            start_time(&mut self.rng) + 10_000,
            Fault::Move {
                from: self.victim,
                to: (self.victim + 1) % 3,
                ms: self.rng.u64(5_000..15_000),
            },
        ));
    }

    /// Zones are evacuated and restored.
    pub(super) fn evacuate(&mut self) {
        for i in 0..3 {
            let (t, z) = (start_time(&mut self.rng) + i * 13_000, self.rng.usize(..3));
            self.faults.push((t, Fault::Evacuate { zone: z }));
            self.faults.push((t + 8_000, Fault::Restore { zone: z }));
        }
    }

    /// Zones are evacuated until some callers have no home left.
    pub(super) fn evacuate_all(&mut self) {
        let t = start_time(&mut self.rng);
        self.faults.extend((0..3).map(|i| {
            (
                t + i * 7_000,
                Fault::Evacuate {
                    zone: self.victim + i as usize,
                },
            )
        }));
        self.faults.extend((0..3).map(|i| {
            (
                t + 22_000 + i * 2_000,
                Fault::Restore {
                    zone: self.victim + i as usize,
                },
            )
        }));
    }

    /// Operators evacuate and restore a zone at once.
    pub(super) fn evacuate_race(&mut self) {
        self.faults.extend((0..5).map(|i| {
            (
                start_time(&mut self.rng) + i * 7_000,
                Fault::RaceZone {
                    zone: self.rng.usize(..3),
                },
            )
        }));
    }

    /// A zone is evacuated while a crowd streams and waits there.
    pub(super) fn evacuate_busy(&mut self) {
        let t = start_time(&mut self.rng);
        self.faults.push((
            t,
            Fault::Crowd {
                times: 8,
                ms: 20_000,
            },
        ));
        self.faults.push((t + 1_000, Fault::Swing { ms: 15_000 }));
        self.faults
            .push((t + 4_000, Fault::Evacuate { zone: self.victim }));
        self.faults
            .push((t + 16_000, Fault::Restore { zone: self.victim }));
    }

    /// A total loss in a crowd whose callers all come back when they were told to.
    pub(super) fn retry_storm(&mut self) {
        let t = start_time(&mut self.rng) + 4_000;
        self.faults
            .push((t - 3_000, Fault::ComeBack { ms: 40_000 }));
        self.faults.push((
            t - 2_000,
            Fault::Crowd {
                times: 4 + self.rng.u32(..6),
                ms: 6_000,
            },
        ));
        self.faults.push((
            t,
            Fault::TotalLoss {
                down: self.rng.u64(500..3_000),
            },
        ));
    }

    /// A region is lost with all that is in it, and comes back.
    pub(super) fn lose_region(&mut self) {
        self.faults.push((
            start_time(&mut self.rng),
            Fault::LoseRegion {
                zone: self.victim,
                ms: Some(self.rng.u64(4_000..15_000)),
            },
        ));
    }

    /// A region is lost for good.
    pub(super) fn lose_region_for_good(&mut self) {
        self.faults.push((
            start_time(&mut self.rng),
            Fault::LoseRegion {
                zone: self.victim,
                ms: None,
            },
        ));
        self.faults
            .extend((0..4).map(|i| (FROM + 6_000 + i * 3_000, Fault::PutSpec)));
    }

    /// Two regions are lost and come back.
    pub(super) fn lose_two_regions(&mut self) {
        let t = start_time(&mut self.rng);
        self.faults.push((
            t,
            Fault::LoseRegion {
                zone: self.victim,
                ms: Some(self.rng.u64(6_000..15_000)),
            },
        ));
        self.faults.push((
            t + self.rng.u64(..2_000),
            Fault::LoseRegion {
                zone: self.victim + 1,
                ms: Some(self.rng.u64(6_000..15_000)),
            },
        ));
    }

    pub(super) fn misbehave(&mut self) {
        for (i, wrong) in WRONGS.into_iter().enumerate() {
            self.faults.push((
                FROM + i as Ms * 3_000,
                Fault::Misbehave {
                    wrong,
                    percent: 30,
                    ms: 3_000,
                },
            ));
            self.faults.push((
                FROM + 1_500 + i as Ms * 3_000,
                Fault::KillProxy {
                    at: self.rng.usize(..self.edge_count),
                    down: self.rng.u64(200..1_200),
                },
            ));
        }
    }

    /// Replicas and proxies die under long streams, with replicas that join another run.
    pub(super) fn resume(&mut self) {
        let t = start_time(&mut self.rng);
        self.faults.push((t, Fault::Swing { ms: 30_000 }));
        self.faults.push((
            t,
            Fault::Misbehave {
                wrong: Wrong::Joins,
                percent: 100,
                ms: 30_000,
            },
        ));
        for i in 0..8 {
            self.faults.push((
                t + 2_000 + i * 3_000,
                Fault::KillProxy {
                    at: self.rng.usize(..self.edge_count),
                    down: self.rng.u64(200..1_200),
                },
            ));
            self.faults.push((
                t + 2_030 + i * 3_000,
                Fault::ReplicaCrash {
                    nth: self.rng.usize(..50),
                    down: 10,
                },
            ));
        }
    }
}
