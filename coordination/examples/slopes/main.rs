//! What fleets of rising size cost, by role: messages, bytes, processor time and state, in virtual time, by the
//! very state machines that the daemons run. Prints a table and its slopes; docs/CAPACITY.md is written from it.
//!
//! With `--day` it plays a day of one fleet, pressed into a minute: machines that fail and start again, specs, and the loss
//! of a rack, a zone and a region's ways.
//!
//!     cargo run --release -p coordination --example slopes -- [--day] [--edges 22,44,88,176,352] [--paths 1500] [--busy 1500]
//!         [--each 10] [--services 9]

mod meter;
mod target;
mod world;

use std::collections::BTreeSet;

use meter::{Meter, ROLES, Role, Way, line};
use world::{CONTROLS, SERVICES, Size, World};

#[global_allocator]
static HEAP: meter::Counting = meter::Counting;

/// s. Until a fleet has found itself and streams are as many as they will be; then each phase.
const SETTLE: u64 = 30;
const PHASE: u64 = 20;

const PHASES: [&str; 7] = [
    "quiet",
    "spec changed",
    "replica gone",
    "replicas flap",
    "control lost",
    "region cut",
    "region back",
];

/// A figure of one fleet.
type Row = (String, f64);

fn numbers(v: &str) -> Vec<usize> {
    v.split(',').filter_map(|n| n.trim().parse().ok()).collect()
}

fn count(r: Role, edges: usize) -> f64 {
    if r == Role::Control {
        CONTROLS as f64
    } else {
        edges as f64
    }
}

/// Figures of a phase, each a second and a daemon of its role.
fn rows(phase: &str, m: &Meter, edges: usize, rows: &mut Vec<Row>) {
    let s = PHASE as f64;
    for r in ROLES {
        let n = count(r, edges);
        let mut push = |what: &str, v: f64| rows.push((format!("{phase}: {r:?} {what}"), v));
        push(
            "cpu us/s",
            m.cpu.get(&r).copied().unwrap_or(0) as f64 / 1_000.0 / s / n,
        );
        push("out B/s", m.out(r) as f64 / s / n);
        push("out to other regions B/s", m.far(r) as f64 / s / n);
        push(
            "in B/s",
            m.came.get(&r).copied().unwrap_or(0) as f64 / s / n,
        );
        if phase == PHASES[0] {
            for ((_, kind, way), (c, b)) in m.sent.iter().filter(|(k, _)| k.0 == r) {
                let place = match way {
                    Way::Loopback => " (loopback)",
                    Way::Region => "",
                    Way::Far => " (far)",
                };
                push(&format!("{kind}{place} msg/s"), *c as f64 / s / n);
                push(&format!("{kind}{place} B/s"), *b as f64 / s / n);
            }
        }
    }
    rows.push((format!("{phase}: longest message B"), m.longest.0 as f64));
    eprintln!(
        "{edges} edges, {phase}: the longest message is of kind {}",
        m.longest.1
    );
}

fn fleet(size: &Size) -> Vec<Row> {
    let mut out: Vec<Row> = vec![];
    let mut w = World::new(size.clone(), 7);
    w.run(4_000);
    let spec = w.write_spec();
    w.run((SETTLE - 4) * 1_000);
    out.push(("spec B".into(), spec as f64));
    out.push(("list B".into(), w.list.len() as f64));
    out.push((
        "ready edges, %".into(),
        w.ready() as f64 * 100.0 / size.edges as f64,
    ));
    out.push(("voters".into(), w.voters() as f64));
    for phase in PHASES {
        w.meter = Meter::default();
        let (before, from) = (w.requests, w.version());
        match phase {
            "spec changed" => {
                w.write_spec();
                let start = w.now;
                while w.reached(from + 1) < size.edges && w.now < start + PHASE * 1_000 {
                    w.run(5);
                }
                out.push((
                    "spec changed: ms to the last edge, without queueing".into(),
                    (w.now - start) as f64,
                ));
                w.run((start + PHASE * 1_000).saturating_sub(w.now));
            }
            "replica gone" => {
                w.set_list(&BTreeSet::from([0]));
                w.run(PHASE * 1_000);
            }
            "replicas flap" => {
                for i in 0..PHASE {
                    w.set_list(&BTreeSet::from([i as usize % 2]));
                    w.run(1_000);
                }
            }
            "control lost" => {
                w.lose(1);
                w.run(PHASE * 1_000);
            }
            "region cut" | "region back" => {
                w.set_cut((phase == "region cut").then_some("r3"));
                w.run(PHASE * 1_000);
            }
            _ => w.run(PHASE * 1_000),
        }
        let m = w.meter.clone();
        rows(phase, &m, size.edges, &mut out);
        out.push((
            format!("{phase}: ready edges at the end, %"),
            w.ready() as f64 * 100.0 / size.edges as f64,
        ));
        out.push((format!("{phase}: edges taken for live, %"), w.seen_live()));
        let (p, no) = (w.requests.0 - before.0, w.requests.2 - before.2);
        out.push((
            format!("{phase}: requests not admitted, %"),
            no as f64 * 100.0 / p.max(1) as f64,
        ));
    }
    out.push(("faults".into(), w.faults as f64));
    out.push(("longest value B".into(), w.longest_value() as f64));
    let state = w.weigh();
    ROLES
        .iter()
        .zip(state)
        .for_each(|(r, b)| out.push((format!("{r:?} state KB"), b as f64 / 1_024.0)));
    out
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let arg = |n: &str| {
        args.iter()
            .position(|a| a == n)
            .and_then(|i| args.get(i + 1))
            .cloned()
    };
    let edges = numbers(&arg("--edges").unwrap_or("22,44,88,176,352".into()));
    let one = |n: &str, d: usize| arg(n).and_then(|v| v.parse().ok()).unwrap_or(d);
    let (paths, busy, services) = (
        one("--paths", 1_500),
        one("--busy", 1_500),
        one("--services", SERVICES),
    );
    let each = arg("--each").and_then(|v| v.parse().ok());
    if args.iter().any(|a| a == "--day") {
        return target::run(&Size {
            edges: edges[0],
            paths,
            busy: busy.min(paths),
            each,
            services,
        });
    }
    let mut all: Vec<Vec<Row>> = vec![];
    for e in &edges {
        let began = std::time::Instant::now();
        all.push(fleet(&Size {
            edges: *e,
            paths,
            busy: busy.min(paths),
            each,
            services,
        }));
        eprintln!("{e} edges took {:.1} s", began.elapsed().as_secs_f64());
    }
    println!(
        "{paths} paths, {busy} busy, {services} services, {each:?} replicas to an edge; a second and a daemon of the role where nothing else is said"
    );
    println!(
        "{:58} {} {:>12} {:>12}",
        "figure",
        edges.iter().map(|e| format!("{e:>11}")).collect::<String>(),
        "slope/edge",
        "at none"
    );
    let mut names: Vec<&String> = vec![];
    all.iter().flatten().for_each(|(n, _)| {
        if !names.contains(&n) {
            names.push(n);
        }
    });
    for n in names {
        let of = |r: &Vec<Row>| r.iter().find(|x| x.0 == *n).map(|x| x.1);
        let points: Vec<(f64, f64)> = edges
            .iter()
            .zip(&all)
            .filter_map(|(e, r)| Some((*e as f64, of(r)?)))
            .collect();
        let cells: String = all
            .iter()
            .map(|r| of(r).map_or(format!("{:>11}", "-"), |v| format!("{v:>11.1}")))
            .collect();
        let (k, c) = line(&points);
        println!("{n:58} {cells} {k:>12.3} {c:>12.1}");
    }
}
