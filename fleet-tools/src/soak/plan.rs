//! What is done to the fleet and when, drawn by a seed.

use fastrand::Rng;

use super::history::Ms;

/// Something that is done to the fleet; machines are named by index.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Edges are stopped one after the other, so many at a time.
    RestartEdges {
        edges: Vec<usize>,
        at_once: usize,
        gap: Ms,
    },
    /// Control machines are stopped one after the other.
    RestartCore {
        gap: Ms,
    },
    KillEdges {
        edges: Vec<usize>,
        down: Ms,
    },
    KillCore {
        machine: usize,
        down: Ms,
    },
    FreezeEdge {
        edge: usize,
        long: Ms,
    },
    FreezeCore {
        machine: usize,
        long: Ms,
    },
    /// Every machine is told several times that its settings have changed.
    Hangups {
        times: u32,
        gap: Ms,
    },
    /// Changes of the configuration, one on the other.
    Storm {
        changes: u32,
        gap: Ms,
    },
    /// Two operators send different changes under one number.
    Race,
    Evacuate {
        zone: usize,
        long: Ms,
    },
    CrashReplicas {
        count: usize,
        down: Ms,
    },
    DrainReplica {
        down: Ms,
    },
    /// A control machine comes back with an empty disk.
    Wipe {
        machine: usize,
    },
    /// Edges are off for longer than any rule gives them; a control machine may be killed and started meanwhile.
    Outage {
        edges: Vec<usize>,
        down: Ms,
        core: Option<usize>,
    },
    /// A new version of the replicas, which may fail every request.
    Release {
        bad: bool,
    },
    /// A control machine is cut off from all other machines.
    CutCore {
        machine: usize,
        direction: Direction,
        long: Ms,
    },
    /// Edges are cut off from all other machines.
    CutEdges {
        edges: Vec<usize>,
        direction: Direction,
        long: Ms,
    },
    /// All machines of a zone are cut off from all others.
    CutZone {
        zone: usize,
        direction: Direction,
        long: Ms,
    },
}

/// Which frames a network partition drops, as the machines see it that are cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    Both,
    /// They are not heard.
    Outbound,
    /// They hear nobody.
    Inbound,
}

/// What there is to act on.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub edges: usize,
    pub core: usize,
    pub zones: usize,
}

/// One action and when it begins.
pub type Step = (Ms, Action);

/// ms. Mean time between two actions: each takes seconds, so that several overlap.
const PACE: Ms = 1_500;
/// ms. Nothing begins so short before the end, so that all ends inside the traffic.
const LAST: Ms = 12_000;

fn some(r: &mut Rng, of: usize, share: f64) -> Vec<usize> {
    let n = ((of as f64 * share).ceil() as usize).clamp(1, of);
    let mut all = r.choose_multiple(0..of, n);
    r.shuffle(&mut all);
    all
}

fn action(r: &mut Rng, s: Size) -> Action {
    match r.u32(0..100) {
        0..22 => {
            let share = r.f64().max(0.3);
            Action::RestartEdges {
                edges: some(r, s.edges, share),
                at_once: r.usize(1..=3),
                gap: r.u64(200..1_600),
            }
        }
        22..28 => Action::RestartCore {
            gap: r.u64(1_000..4_000),
        },
        28..35 => Action::KillEdges {
            edges: some(r, s.edges, 0.3),
            down: r.u64(200..3_000),
        },
        35..40 => Action::KillCore {
            machine: r.usize(0..s.core),
            down: r.u64(200..3_000),
        },
        40..44 => Action::FreezeEdge {
            edge: r.usize(0..s.edges),
            long: r.u64(300..4_000),
        },
        44..48 => Action::FreezeCore {
            machine: r.usize(0..s.core),
            long: r.u64(300..4_000),
        },
        48..55 => Action::Hangups {
            times: r.u32(1..6),
            gap: r.u64(50..700),
        },
        55..65 => Action::Storm {
            changes: r.u32(10..100),
            gap: r.u64(30..200),
        },
        65..71 => Action::Race,
        71..78 => Action::Evacuate {
            zone: r.usize(0..s.zones),
            long: r.u64(1_000..6_000),
        },
        78..83 => Action::CrashReplicas {
            count: r.usize(1..4),
            down: r.u64(300..3_000),
        },
        83..86 => Action::DrainReplica {
            down: r.u64(300..3_000),
        },
        86..90 => Action::Wipe {
            machine: r.usize(0..s.core),
        },
        90..95 => Action::Release { bad: r.bool() },
        _ => {
            let share = 0.2 + 0.7 * r.f64();
            let core = r.bool().then(|| r.usize(0..s.core));
            Action::Outage {
                edges: some(r, s.edges, share),
                down: r.u64(10_000..18_000),
                core,
            }
        }
    }
}

/// ms. Mean time between two partitions, which overlap with everything else.
const PARTITION_PACE: Ms = 5_000;
/// So that partitions do not change what else a seed draws.
const PARTITION_SEED: u64 = 0x5bd1_e995;

fn direction(r: &mut Rng) -> Direction {
    match r.u32(0..4) {
        0 | 1 => Direction::Both,
        2 => Direction::Outbound,
        _ => Direction::Inbound,
    }
}

fn partition(r: &mut Rng, s: Size) -> Action {
    let (direction, long) = (direction(r), r.u64(500..10_000));
    match r.u32(0..10) {
        0..4 => Action::CutCore {
            machine: r.usize(0..s.core),
            direction,
            long,
        },
        4..8 => Action::CutEdges {
            edges: some(r, s.edges, 0.3),
            direction,
            long,
        },
        _ => Action::CutZone {
            zone: r.usize(0..s.zones),
            direction,
            long,
        },
    }
}

/// The partitions of a soak of so long.
fn partitions(seed: u64, long: Ms, size: Size) -> Vec<Step> {
    let mut r = Rng::with_seed(seed ^ PARTITION_SEED);
    let mut steps = vec![];
    let mut at = 0;
    loop {
        at += r.u64(1..2 * PARTITION_PACE);
        if at + LAST > long {
            return steps;
        }
        steps.push((at, partition(&mut r, size)));
    }
}

/// The steps of a soak of so long, by when they begin. A series of stopped edges always comes first.
pub fn draw(seed: u64, long: Ms, size: Size) -> Vec<Step> {
    let mut r = Rng::with_seed(seed);
    let all = (0..size.edges).collect();
    let mut steps = vec![(
        r.u64(500..2_000),
        Action::RestartEdges {
            edges: all,
            at_once: 1,
            gap: r.u64(500..1_600),
        },
    )];
    let mut at = 0;
    loop {
        at += r.u64(1..2 * PACE);
        if at + LAST > long {
            break;
        }
        steps.push((at, action(&mut r, size)));
    }
    steps.extend(partitions(seed, long, size));
    steps.sort_by_key(|s| s.0);
    steps
}
