//! Limits that the edges share hold for the whole fleet: the sum over all proxies, whatever each of them knows about the
//! others.

mod support;

use coordination::{Ms, bounds::Bounds, proxy::Proxy};
use googletest::prelude::*;
use support::edge_fleet::{CONNECTIONS, EDGES, START, record, roster};

/// Retries that the largest deployment allows in each window beyond a share of first attempts.
const RETRY_SLACK: f64 = 628.0;
const SERVICE: &str = "s";

/// What edges know of the fleet.
#[derive(Clone, Copy, Debug)]
enum Knowledge {
    /// The roster, and all live edges.
    Everything,
    /// The roster, and four live edges: they have just started.
    FewLiveEdges,
    /// A roster without this edge: it has just joined.
    OtherRoster,
    /// No roster, and four live edges: the fleet has none yet.
    NoRoster,
}

const ALL: [Knowledge; 4] = [
    Knowledge::Everything,
    Knowledge::FewLiveEdges,
    Knowledge::OtherRoster,
    Knowledge::NoRoster,
];

fn fleet(knowledge: Knowledge) -> Vec<Proxy> {
    let roster = match knowledge {
        Knowledge::Everything | Knowledge::FewLiveEdges => roster(0..EDGES),
        Knowledge::OtherRoster => roster(EDGES..EDGES + 4),
        Knowledge::NoRoster => roster(0..0),
    };
    let known_count = match knowledge {
        Knowledge::Everything => EDGES,
        _ => 4,
    };
    let bounds = || Bounds {
        retry_slack: RETRY_SLACK,
        ..Bounds::default()
    };
    let known = |index: usize| (index..index + known_count).map(|other| other % EDGES);
    (0..EDGES)
        .map(|index| {
            support::edge_fleet::proxy(index, known(index), &roster, &record(true), bounds())
        })
        .collect()
}

/// Returns how many retries a proxy that sends nothing else can draw within one window.
fn drawn_retries(proxy: &mut Proxy, window: Ms) -> usize {
    (START..START + window)
        .filter(|now| proxy.try_draw_retry(SERVICE, *now))
        .count()
}

// Guards against the free retries being granted in full to each edge that doesn't know the others.
#[gtest]
fn free_retries_of_all_edges_together_stay_within_the_slack() {
    for knowledge in ALL {
        let window = Bounds::default().retry_window;
        let drawn: usize = fleet(knowledge)
            .iter_mut()
            .map(|proxy| drawn_retries(proxy, window))
            .sum();
        expect_that!(drawn as f64, le(RETRY_SLACK), "{knowledge:?}");
    }
}

// Guards against a replica's connections being granted in full to each edge that doesn't know the others.
#[gtest]
fn connections_of_all_edges_together_stay_within_what_a_replica_accepts() {
    for knowledge in ALL {
        let opened: usize = fleet(knowledge)
            .iter()
            .map(|proxy| proxy.max_connections(SERVICE))
            .sum();
        expect_that!(opened, le(CONNECTIONS), "{knowledge:?}");
        expect_that!(opened, ge(EDGES), "{knowledge:?}");
    }
}
