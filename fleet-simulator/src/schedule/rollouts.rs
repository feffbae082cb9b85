//! Schedules of releases that the daemons load.

use remote_calls::RolloutPhase;

use super::{
    FROM,
    builder::{ScheduleBuilder, bad, plan, start_time, when},
};
use crate::faults::{Fault, How};

impl ScheduleBuilder {
    /// A good version is rolled out.
    pub(super) fn rollout(&mut self) {
        self.faults.push((FROM, plan("v2")));
    }

    /// A version that fails from the start is rolled out.
    pub(super) fn rollout_bad(&mut self) {
        self.faults
            .push((FROM - 100, bad("v2", None, 40 + self.rng.u32(..60))));
        self.faults.push((FROM, plan("v2")));
    }

    /// A version turns bad when it is half out.
    pub(super) fn rollout_late(&mut self) {
        self.faults.push((FROM - 6_000, plan("v2")));
        self.faults.push((
            FROM,
            when(
                RolloutPhase::Shifting,
                self.rng.u64(..20_000),
                bad("v2", None, 40 + self.rng.u32(..60)),
            ),
        ));
    }

    /// A version fails on one lane only.
    pub(super) fn rollout_lane(&mut self) {
        let lane = self.deployment.mix[0].lane.clone();
        self.faults.push((FROM - 100, bad("v2", Some(lane), 60)));
        self.faults.push((FROM, plan("v2")));
    }

    /// A rollout while its leaders are frozen, killed and cut off, and replicas crash.
    pub(super) fn rollout_faults(&mut self) {
        self.faults.push((FROM - 4_000, plan("v2")));
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
        for i in 0..5 {
            let t = start_time(&mut self.rng) + i * 14_000;
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
                t + 2_500,
                Fault::KillControl {
                    at: self.rng.usize(..self.control_count),
                    down: self.rng.u64(500..3_000),
                },
            ));
            self.faults.push((
                t + 3_000,
                Fault::KillProxy {
                    at: self.rng.usize(..self.edge_count),
                    down: self.rng.u64(500..3_000),
                },
            ));
        }
    }

    /// A version that fails in one zone only.
    pub(super) fn rollout_zone(&mut self) {
        let zone = self.zones[self.victim].clone();
        self.rollout_bad_part(None, Some(zone), How::Fails);
    }

    /// A version that fails on the rarer lane only.
    pub(super) fn rollout_long_lane(&mut self) {
        let lane = self.deployment.mix.last().map(|part| part.lane.clone());
        self.rollout_bad_part(lane, None, How::Fails);
    }

    /// A version that is bad on a lane, in a zone or everywhere from the start is rolled out.
    pub(super) fn rollout_bad_part(
        &mut self,
        lane: Option<String>,
        zone: Option<String>,
        how: How,
    ) {
        self.faults.push((
            FROM - 100,
            Fault::Bad {
                version: "v2".into(),
                lane,
                zone,
                percent: 60 + self.rng.u32(..40),
                how,
            },
        ));
        self.faults.push((FROM, plan("v2")));
    }

    /// A version that fails under load, and a crowd when it is half out.
    pub(super) fn rollout_load(&mut self) {
        let how = How::FailsBusy;
        self.faults.push((
            FROM - 6_100,
            Fault::Bad {
                version: "v2".into(),
                lane: None,
                zone: None,
                percent: 80,
                how,
            },
        ));
        self.faults.push((FROM - 6_000, plan("v2")));
        self.faults.push((
            FROM,
            when(
                RolloutPhase::Shifting,
                self.rng.u64(..20_000),
                Fault::Crowd {
                    times: 8,
                    ms: 10_000,
                },
            ),
        ));
    }

    /// A version that turns bad about when it is all out.
    pub(super) fn rollout_baking(&mut self) {
        self.faults.push((FROM - 6_000, plan("v2")));
        let phase = if self.rng.bool() {
            RolloutPhase::Baking
        } else {
            RolloutPhase::Unloading
        };
        self.faults.push((
            FROM,
            when(
                phase,
                self.rng.u64(..4_000),
                bad("v2", None, 40 + self.rng.u32(..60)),
            ),
        ));
    }

    /// A version that turns bad when the old one is gone.
    pub(super) fn rollout_done(&mut self) {
        self.faults.push((FROM - 6_000, plan("v2")));
        self.faults.push((
            FROM,
            when(
                RolloutPhase::Unloading,
                15_000,
                bad("v2", None, 40 + self.rng.u32(..60)),
            ),
        ));
    }

    /// A zone is evacuated and restored while a version shifts.
    pub(super) fn rollout_evacuate(&mut self) {
        self.faults.push((FROM - 6_000, plan("v2")));
        self.faults.push((
            FROM,
            when(
                RolloutPhase::Shifting,
                self.rng.u64(..15_000),
                Fault::Evacuate { zone: self.victim },
            ),
        ));
        self.faults.push((
            FROM,
            when(
                RolloutPhase::Shifting,
                25_000,
                Fault::Restore { zone: self.victim },
            ),
        ));
    }

    /// Plans are replaced and turned back in every phase, also by two operators at once.
    pub(super) fn rollout_plans(&mut self) {
        let mut t = FROM - 6_000;
        for i in 0..4 {
            self.faults.push((t, plan(["v2", "v3", "v1", "v2"][i])));
            t += self.rng.u64(2_000..60_000);
        }
        self.faults.push((
            t,
            Fault::RacePlans {
                targets: ["v3".into(), "v1".into()],
            },
        ));
    }

    /// The kill switch is put on and off in the middle of a step.
    pub(super) fn rollout_kill_switch(&mut self) {
        self.faults.push((FROM - 6_000, plan("v2")));
        let phase = [
            RolloutPhase::Canary,
            RolloutPhase::Shifting,
            RolloutPhase::Unloading,
        ][self.victim % 3];
        let t = self.rng.u64(..10_000);
        self.faults
            .push((FROM, when(phase, t, Fault::KillSwitch { on: true })));
        self.faults.push((
            FROM,
            when(
                phase,
                t + self.rng.u64(3_000..12_000),
                Fault::KillSwitch { on: false },
            ),
        ));
    }
}
