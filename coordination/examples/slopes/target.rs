//! A day of one fleet, pressed into a minute of virtual time.

use std::collections::BTreeSet;

use crate::{
    count,
    meter::{Meter, ROLES},
    world::{Size, World},
};

/// s. Until a fleet has found itself; the day's failures; each of the cuts that follow.
const SETTLE: u64 = 20;
const DAY: u64 = 30;
const LOST: u64 = 6;
const CUT: u64 = 12;
/// A day's machines: those that fail, and those that are started again or replaced.
const FAIL: u64 = 15;
const RESTART: u64 = 180;
/// Specs while that goes on: as many as let each be looked at until it is everywhere.
const SPECS: u64 = 6;
/// ms. A machine that failed stays away so long; one that starts again takes this.
const AWAY: u64 = 5_000;
const STARTS: u64 = 1_000;
/// Edges of a rack.
const RACK: usize = 16;
/// ms between two looks.
const LOOK: u64 = 20;

struct Day {
    w: World,
    /// Edges that are down, and when they start again.
    down: Vec<(u64, usize)>,
    /// A spec that is not everywhere yet: its version, when it was written.
    spec: Option<(u64, u64)>,
    took: Vec<u64>,
    started: Vec<u64>,
    /// Edges that started and do not serve yet: since when.
    starting: Vec<(u64, usize)>,
}

impl Day {
    fn end(&mut self, i: usize, away: u64) {
        if !self.down.iter().any(|d| d.1 == i) {
            self.w.end_edge(i);
            self.starting.retain(|s| s.1 != i);
            self.down.push((self.w.now + away, i));
        }
    }
    fn write(&mut self) {
        let from = self.w.version();
        self.w.write_spec();
        self.spec = Some((from + 1, self.w.now));
    }
    fn look(&mut self) {
        self.w.run(LOOK);
        let now = self.w.now;
        let (up, down): (Vec<_>, Vec<_>) = self.down.iter().copied().partition(|d| d.0 <= now);
        self.down = down;
        for (_, i) in up {
            self.w.start_edge(i);
            self.starting.push((now, i));
        }
        let (ready, rest): (Vec<_>, Vec<_>) = self
            .starting
            .iter()
            .copied()
            .partition(|s| self.w.serves(s.1));
        self.starting = rest;
        self.started.extend(ready.iter().map(|s| now - s.0));
        // One that has just started is not late: it serves nobody before it has the newest.
        if let Some((v, at)) = self.spec {
            let (live, with) = self.w.honour(v);
            if with + self.starting.len() >= live {
                self.took.push(now - at);
                self.spec = None;
            }
        }
    }
    fn until(&mut self, ms: u64) {
        while self.w.now < ms {
            self.look();
        }
    }
}

fn most(v: &[u64]) -> u64 {
    v.iter().copied().max().unwrap_or(0)
}

pub fn run(size: &Size) {
    let mut d = Day {
        w: World::new(size.clone(), 7),
        down: vec![],
        spec: None,
        took: vec![],
        started: vec![],
        starting: vec![],
    };
    d.w.run(4_000);
    let spec = d.w.write_spec();
    d.w.run(SETTLE * 1_000 - 4_000);
    println!(
        "{} edges, {} paths, spec {spec} B, serving {}",
        size.edges,
        size.paths,
        d.w.ready()
    );
    let mut rng = fastrand::Rng::with_seed(11);
    for phase in ["quiet", "day", "rack", "zone", "region cut", "region back"] {
        let (from, before) = (d.w.now, d.w.requests);
        d.w.meter = Meter::default();
        (d.took, d.started) = (vec![], vec![]);
        let s = match phase {
            "day" => DAY,
            "region cut" => CUT,
            _ => LOST,
        };
        let end = from + s * 1_000;
        match phase {
            "quiet" => d.until(end),
            "day" => {
                let acts = FAIL + RESTART;
                for n in 0..acts {
                    d.until(from + n * s * 1_000 / acts);
                    let i = rng.usize(..size.edges);
                    d.end(i, if n % (acts / FAIL) == 0 { AWAY } else { STARTS });
                    if n % (acts / SPECS) == 0 {
                        d.write();
                    }
                    // The platform's list without a replica that failed with its machine.
                    if n % (acts / FAIL) == 0 {
                        d.w.set_list(&BTreeSet::from([rng.usize(..size.replicas())]));
                    }
                }
                d.until(end);
            }
            "rack" | "zone" => {
                let of = d.w.edges_of(if phase == "rack" { 0 } else { 4 });
                let n = if phase == "rack" {
                    RACK.min(of.len())
                } else {
                    of.len()
                };
                of[..n].iter().for_each(|i| d.end(*i, s * 500));
                d.write();
                d.until(end);
            }
            _ => {
                d.w.set_cut((phase == "region cut").then_some("r3"));
                d.write();
                d.until(end);
            }
        }
        let (r, m) = (d.w.requests, &d.w.meter);
        let (asked, no) = (r.0 - before.0, r.2 - before.2);
        println!(
            "{phase}: {s} s; specs everywhere after ms {:?}{}; {} started, serving after most {} ms; {} of {} edges serve; \
             {no} of {asked} requests not admitted; longest message {:?}",
            d.took,
            if d.spec.is_some() {
                ", one not yet"
            } else {
                ""
            },
            d.started.len(),
            most(&d.started),
            d.w.ready(),
            size.edges,
            m.longest
        );
        for r in ROLES {
            let n = count(r, size.edges) * s as f64;
            let (cpu, came) = (
                m.cpu.get(&r).copied().unwrap_or(0) as f64 / 1_000.0,
                m.came.get(&r).copied().unwrap_or(0),
            );
            println!(
                "  {r:?}: cpu {:.0} us/s, out {:.0} B/s, in {:.0} B/s",
                cpu / n,
                m.out(r) as f64 / n,
                came as f64 / n
            );
        }
    }
    let (faults, state) = (d.w.faults, d.w.weigh().map(|b| b / 1_024));
    println!("faults {faults}; state KB of a control daemon, agent, proxy: {state:?}");
}
