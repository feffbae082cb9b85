//! Schedules of releases that the platform places.

use remote_calls::RolloutPhase;

use super::{
    FROM,
    builder::{ScheduleBuilder, bad, plan, start_time, when},
};
use crate::faults::{Fault, How};

impl ScheduleBuilder {
    /// The platform replaces releases one by one, and replicas crash, come back and are warned.
    pub(super) fn placed(&mut self) {
        self.faults.push((0, Fault::Places));
        self.faults.extend((0..6).map(|i| {
            (
                start_time(&mut self.rng) + i * 6_000,
                Fault::Release {
                    nth: self.rng.usize(..50),
                    version: "v1.1".into(),
                },
            )
        }));
        for i in 0..3 {
            self.faults.push((
                start_time(&mut self.rng) + i * 9_000,
                Fault::ReplicaCrash {
                    nth: self.rng.usize(..50),
                    down: self.rng.u64(300..3_000),
                },
            ));
            self.faults.push((
                start_time(&mut self.rng) + i * 9_000,
                Fault::Warn {
                    nth: self.rng.usize(..50),
                    leaves_in: self.rng.u64(3_000..9_000),
                },
            ));
            self.faults.push((
                start_time(&mut self.rng) + i * 7_000,
                Fault::KillControl {
                    at: self.rng.usize(..self.control_count),
                    down: self.rng.u64(500..3_000),
                },
            ));
        }
    }

    /// A good version where the platform places versions.
    pub(super) fn placed_good(&mut self) {
        self.faults.extend([(0, Fault::Places), (FROM, plan("v2"))]);
    }

    /// A version that fails on one lane only there.
    pub(super) fn placed_lane(&mut self) {
        let lane = self.deployment.mix[0].lane.clone();
        self.placed_bad(Some(lane), How::Fails);
    }

    /// A version that is bad from the start is placed.
    pub(super) fn placed_bad(&mut self, lane: Option<String>, how: How) {
        self.faults.push((0, Fault::Places));
        let percent = 50 + self.rng.u32(..50);
        self.faults.push((
            FROM - 100,
            Fault::Bad {
                version: "v2".into(),
                lane,
                zone: None,
                percent,
                how,
            },
        ));
        self.faults.push((FROM, plan("v2")));
    }

    /// A version that turns bad there, before its time or when it is half out.
    pub(super) fn placed_late(&mut self) {
        self.faults.extend([(0, Fault::Places), (FROM, plan("v2"))]);
        self.faults.push((
            FROM + self.rng.u64(4_000..60_000),
            bad("v2", None, 40 + self.rng.u32(..60)),
        ));
    }

    /// Replicas that report their version very late there.
    pub(super) fn placed_load(&mut self) {
        self.faults.extend([
            (0, Fault::Places),
            (
                FROM - 100,
                Fault::LoadSlow {
                    load: self.rng.u64(10_000..40_000),
                    ms: 60_000,
                },
            ),
        ]);
        self.faults.push((FROM, plan("v2")));
    }

    /// An order there while its leaders are frozen, killed and cut off, and replicas crash.
    pub(super) fn placed_faults(&mut self) {
        self.faults.extend([(0, Fault::Places), (FROM, plan("v2"))]);
        if self.rng.bool() {
            self.faults.push((
                FROM,
                when(
                    RolloutPhase::Shifting,
                    self.rng.u64(..8_000),
                    bad("v2", None, 60),
                ),
            ));
        }
        for i in 0..6 {
            let t = FROM + self.rng.u64(..4_000) + i * 9_000;
            self.faults.push((
                t,
                Fault::FreezeControl {
                    at: self.rng.usize(..self.control_count),
                    ms: self.rng.u64(500..7_000),
                },
            ));
            self.faults.push((
                t + 1_000,
                Fault::ReplicaCrash {
                    nth: self.rng.usize(..50),
                    down: self.rng.u64(300..3_000),
                },
            ));
            self.faults.push((
                t + 4_500,
                Fault::KillControl {
                    at: self.rng.usize(..self.control_count),
                    down: self.rng.u64(500..3_000),
                },
            ));
        }
    }

    /// Orders there that are replaced under way.
    pub(super) fn placed_plans(&mut self) {
        self.faults.extend([(0, Fault::Places), (FROM, plan("v2"))]);
        self.faults
            .push((FROM + self.rng.u64(500..60_000), plan("v3")));
    }
}
