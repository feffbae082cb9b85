//! Schedules that stop, replace and race daemons.

use super::{
    FROM,
    builder::{ScheduleBuilder, cut, start_time},
};
use crate::{faults::Fault, history::Ms};

impl ScheduleBuilder {
    /// Specs, and in the midst of them two control daemons lose their disks at once; gives the other one.
    fn lose_two_disks(&mut self, t: Ms) -> usize {
        self.faults
            .extend((0..6).map(|i| (t - 600 + i * 200, Fault::PutSpec)));
        let other = (self.victim + self.rng.usize(1..self.control_count)) % self.control_count;
        for at in [self.victim, other] {
            let down = self.rng.u64(200..3_000);
            self.faults.push((
                t,
                if self.rng.bool() {
                    Fault::WipeControl { at, down }
                } else {
                    Fault::ReplaceControl { at, down }
                },
            ));
        }
        other
    }

    /// The control daemons that found the system are killed in the middle of it.
    pub(super) fn founding(&mut self) {
        self.faults.push((
            self.rng.u64(20..900),
            Fault::KillControl {
                at: self.victim,
                down: self.rng.u64(100..900),
            },
        ));
        self.faults.push((
            self.rng.u64(20..900),
            Fault::KillControl {
                at: self.rng.usize(..self.control_count),
                down: self.rng.u64(100..900),
            },
        ));
        self.faults
            .extend((1..6).map(|i| (start_time(&mut self.rng) + i * 900, Fault::PutSpec)));
    }

    /// Six control daemons, of which two lose their disks at once, and others are killed later.
    pub(super) fn five_voters(&mut self) {
        let t = start_time(&mut self.rng);
        self.lose_two_disks(t);
        // Back and whole: the next losses are borne as well.
        self.faults.push((
            t + 9_000,
            Fault::WipeAfterAccept {
                at: self.rng.usize(..self.control_count),
                down: self.rng.u64(200..2_000),
            },
        ));
        self.faults.push((
            t + 9_000 + self.rng.u64(..500),
            Fault::KillControl {
                at: self.rng.usize(..self.control_count),
                down: self.rng.u64(500..4_000),
            },
        ));
        self.faults.push((
            t + 20_000,
            Fault::LoseControl {
                down: self.rng.u64(100..1_000),
            },
        ));
        self.faults
            .extend((0..12).map(|i| (t + 2_000 + i * 2_000, Fault::PutSpec)));
    }

    /// One control daemon is killed and comes back.
    pub(super) fn kill_one(&mut self) {
        let t = start_time(&mut self.rng);
        self.faults.push((t, Fault::PutSpec));
        self.faults.push((
            t + self.rng.u64(..200),
            Fault::KillControl {
                at: self.victim,
                down: self.rng.u64(500..6_000),
            },
        ));
        self.faults
            .extend((1..6).map(|i| (t + i * 900, Fault::PutSpec)));
    }

    /// Two of three control daemons are killed together.
    pub(super) fn kill_many(&mut self) {
        let t = start_time(&mut self.rng);
        for i in [self.victim, self.victim + 1] {
            self.faults.push((
                t,
                Fault::KillControl {
                    at: i % self.control_count,
                    down: self.rng.u64(3_000..9_000),
                },
            ));
        }
        self.faults
            .extend((0..10).map(|i| (t - 1_000 + i * 700, Fault::PutSpec)));
    }

    /// Agents and proxies are killed.
    pub(super) fn kill_edges(&mut self) {
        for i in 0..4 {
            let t = start_time(&mut self.rng) + i * 4_000;
            let (at, down) = (self.rng.usize(..self.edge_count), self.rng.u64(200..4_000));
            self.faults.push((
                t,
                if self.rng.bool() {
                    Fault::KillProxy { at, down }
                } else {
                    Fault::KillAgent { at, down }
                },
            ));
            self.faults.push((
                t + 900,
                Fault::KillEdge {
                    at: self.rng.usize(..self.edge_count),
                    down: self.rng.u64(200..4_000),
                },
            ));
        }
    }

    /// Every daemon is killed together, with specs put just before.
    pub(super) fn total_loss(&mut self) {
        let t = start_time(&mut self.rng) + 4_000;
        self.faults
            .extend((0..8).map(|i| (t - i * 60, Fault::PutSpec)));
        self.faults.push((
            t + self.rng.u64(..120),
            Fault::TotalLoss {
                down: self.rng.u64(100..1_500),
            },
        ));
    }

    /// Control daemons and edges stop and go on, with specs and evacuations meanwhile.
    pub(super) fn freeze(&mut self) {
        for i in 0..4 {
            let t = start_time(&mut self.rng) + i * 7_000;
            self.faults.push((
                t,
                Fault::FreezeControl {
                    at: self.rng.usize(..self.control_count),
                    ms: self.rng.u64(500..9_000),
                },
            ));
            self.faults.push((
                t,
                Fault::FreezeEdge {
                    at: self.rng.usize(..self.edge_count),
                    ms: self.rng.u64(500..9_000),
                },
            ));
            self.faults.push((t + 300, Fault::PutSpec));
            self.faults.push((
                t + 600,
                if i % 2 == 0 {
                    Fault::Evacuate { zone: self.victim }
                } else {
                    Fault::Restore { zone: self.victim }
                },
            ));
        }
    }

    /// A control daemon loses its disk.
    pub(super) fn wipe(&mut self) {
        let t = start_time(&mut self.rng);
        self.faults
            .extend((0..6).map(|i| (t - 600 + i * 300, Fault::PutSpec)));
        self.faults.push((
            t,
            Fault::WipeControl {
                at: self.victim,
                down: self.rng.u64(200..3_000),
            },
        ));
    }

    /// A disk is lost just after it confirmed a spec.
    pub(super) fn wipe_after_accept(&mut self) {
        let t = start_time(&mut self.rng);
        self.faults.push((
            t,
            Fault::WipeAfterAccept {
                at: self.victim,
                down: self.rng.u64(200..2_000),
            },
        ));
        self.faults.push((
            t + self.rng.u64(100..3_000),
            Fault::KillControl {
                at: (self.victim + 1) % self.control_count,
                down: self.rng.u64(500..4_000),
            },
        ));
        self.faults
            .extend((1..5).map(|i| (t + i * 2_000, Fault::PutSpec)));
    }

    /// Control machines are replaced by empty ones at new addresses, one after the other.
    pub(super) fn replace(&mut self) {
        for i in 0..3 {
            let t = start_time(&mut self.rng) + i * 12_000;
            self.faults.push((
                t,
                Fault::ReplaceControl {
                    at: (self.victim + i as usize) % self.control_count,
                    down: self.rng.u64(200..2_000),
                },
            ));
            self.faults
                .extend((0..4).map(|k| (t + k * 1_500, Fault::PutSpec)));
        }
    }

    /// A blank disk while another voter lags behind a cut.
    pub(super) fn blank_and_lagging(&mut self) {
        let t = start_time(&mut self.rng);
        let (a, b) = (
            self.control_name(self.victim),
            self.control_name(self.victim + 1),
        );
        // The second lags behind a cut while the others confirm; then the first's disk is lost, the third
        // goes away and the cut ends: the two that are left must not count as a majority.
        self.faults.push((
            t,
            cut(
                &[&b],
                &[&a, &self.control_name(self.victim + 2)],
                4_000,
                false,
            ),
        ));
        self.faults
            .extend((1..5).map(|i| (t + 1_500 + i * 300, Fault::PutSpec)));
        self.faults.push((
            t + 3_400,
            Fault::WipeControl {
                at: self.victim,
                down: self.rng.u64(100..500),
            },
        ));
        self.faults.push((
            t + 3_500,
            Fault::KillControl {
                at: (self.victim + 2) % self.control_count,
                down: self.rng.u64(6_000..9_000),
            },
        ));
        self.faults
            .extend((0..8).map(|i| (t + 5_500 + i * 1_000, Fault::PutSpec)));
    }

    /// Six control daemons: two lose their disks at once, two more are lost, and then a region.
    pub(super) fn two_losses(&mut self) {
        let t = start_time(&mut self.rng);
        let other = self.lose_two_disks(t);
        if self.rng.bool() {
            // Two lag behind a cut while the others confirm, and those two that do not lag and kept their disks go
            // away: those who lag and those who are blank must not count as a majority.
            let rest: Vec<usize> = (0..self.control_count)
                .filter(|i| *i != self.victim && *i != other)
                .collect();
            let (lag, kept) = rest.split_at(2);
            let lag: Vec<String> = lag.iter().map(|i| self.control_name(*i)).collect();
            let ahead: Vec<String> = kept
                .iter()
                .chain([&self.victim, &other])
                .map(|i| self.control_name(*i))
                .collect();
            self.faults.push((
                t - 3_400,
                Fault::Cut {
                    a: lag,
                    b: ahead,
                    ms: 4_000,
                    one_way: false,
                },
            ));
            self.faults.extend(kept.iter().map(|at| {
                (
                    t + 100,
                    Fault::KillControl {
                        at: *at,
                        down: self.rng.u64(4_000..6_000),
                    },
                )
            }));
        }
        // Whole again: the next two are borne as well, one of them just after it confirmed a spec.
        let (a, b) = (
            self.rng.usize(..self.control_count),
            self.rng.usize(1..self.control_count),
        );
        self.faults.push((
            t + 12_000,
            Fault::WipeAfterAccept {
                at: a,
                down: self.rng.u64(200..2_000),
            },
        ));
        self.faults.push((
            t + 12_000 + self.rng.u64(..60),
            Fault::KillControl {
                at: (a + b) % self.control_count,
                down: self.rng.u64(500..4_000),
            },
        ));
        // And then a region with all that is in it.
        let lost = self.zones[self.rng.usize(..self.zones.len())].clone();
        let ms = self.rng.u64(4_000..9_000);
        for z in self.deployment.beside(&lost) {
            let zone = self.zones.iter().position(|x| *x == z).unwrap_or(0);
            self.faults
                .push((t + 24_000, Fault::LoseRegion { zone, ms: Some(ms) }));
        }
        self.faults
            .extend((0..14).map(|i| (t + 2_000 + i * 2_000, Fault::PutSpec)));
    }

    /// Every control daemon is lost and comes back.
    pub(super) fn lose_control(&mut self) {
        self.faults.push((
            start_time(&mut self.rng) + 4_000,
            Fault::LoseControl {
                down: self.rng.u64(500..4_000),
            },
        ));
    }

    /// Every edge is lost and comes back.
    pub(super) fn lose_edges(&mut self) {
        self.faults.push((
            start_time(&mut self.rng) + 4_000,
            Fault::LoseEdges {
                down: self.rng.u64(500..4_000),
            },
        ));
    }

    /// A total loss, and another while the fleet comes back.
    pub(super) fn loss_again(&mut self) {
        let t = start_time(&mut self.rng) + 4_000;
        self.faults
            .extend((0..6).map(|i| (t - i * 80, Fault::PutSpec)));
        self.faults.push((
            t,
            Fault::TotalLoss {
                down: self.rng.u64(100..1_000),
            },
        ));
        self.faults.push((
            t + 1_000 + self.rng.u64(..2_500),
            Fault::TotalLoss {
                down: self.rng.u64(100..1_000),
            },
        ));
    }

    /// Edge machines are replaced by empty ones at new addresses.
    pub(super) fn edges_replaced(&mut self) {
        for i in 0..5 {
            self.faults.push((
                start_time(&mut self.rng) + i * 5_000,
                Fault::ReplaceEdge {
                    at: self.rng.usize(..self.edge_count),
                    down: self.rng.u64(200..2_000),
                },
            ));
            self.faults
                .push((start_time(&mut self.rng) + i * 5_000 + 700, Fault::PutSpec));
        }
    }

    /// Every daemon is restarted, one after the other, as for an upgrade.
    pub(super) fn rolling(&mut self) {
        for i in 0..self.control_count {
            self.faults.push((
                FROM + i as Ms * 6_000,
                Fault::KillControl {
                    at: i,
                    down: self.rng.u64(200..1_000),
                },
            ));
            self.faults
                .push((FROM + i as Ms * 6_000 + 500, Fault::PutSpec));
        }
        for i in 0..self.edge_count {
            self.faults.push((
                FROM + 20_000 + i as Ms * 2_500,
                Fault::KillEdge {
                    at: i,
                    down: self.rng.u64(200..1_000),
                },
            ));
        }
    }

    /// Every machine of the fleet is replaced, one after the other.
    pub(super) fn all_replaced(&mut self) {
        let n = (self.edge_count + self.control_count) as Ms;
        for i in 0..self.edge_count {
            self.faults.push((
                FROM + i as Ms * (36_000 / n),
                Fault::ReplaceEdge {
                    at: i,
                    down: self.rng.u64(200..800),
                },
            ));
        }
        for i in 0..self.control_count {
            let t = FROM + (self.edge_count + 3 * i) as Ms * (36_000 / n) / 2;
            self.faults.push((
                t,
                Fault::ReplaceControl {
                    at: i,
                    down: self.rng.u64(200..800),
                },
            ));
            self.faults.push((t + 3_000, Fault::PutSpec));
        }
    }

    /// Operators race, and put specs in quick succession.
    pub(super) fn race(&mut self) {
        for i in 0..8 {
            self.faults
                .push((start_time(&mut self.rng) + i * 2_000, Fault::RaceSpecs));
            self.faults
                .push((start_time(&mut self.rng) + i * 2_000, Fault::PutSpec));
        }
    }

    /// The spec grows by many lanes on slow links, and goes on changing.
    pub(super) fn long_spec(&mut self) {
        self.faults.push((
            FROM,
            Fault::LongSpec {
                lanes: 3_000 + self.rng.usize(..1_000),
                links: (1_250, 15_000),
            },
        ));
        self.faults
            .extend((0..5).map(|i| (FROM + 5_000 + i * 4_000, Fault::PutSpec)));
        self.faults.push((
            start_time(&mut self.rng) + 6_000,
            Fault::KillControl {
                at: self.victim,
                down: self.rng.u64(500..3_000),
            },
        ));
        self.faults.push((
            start_time(&mut self.rng) + 9_000,
            Fault::KillEdge {
                at: self.rng.usize(..self.edge_count),
                down: self.rng.u64(200..2_000),
            },
        ));
        self.faults.push((
            start_time(&mut self.rng) + 13_000,
            Fault::Evacuate { zone: self.victim },
        ));
        self.faults.push((
            start_time(&mut self.rng) + 22_000,
            Fault::Restore { zone: self.victim },
        ));
    }
}
