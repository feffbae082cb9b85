//! Simulated edges that count requests by tenant and report them to the daemons of a fleet, with the true counts.

use std::collections::{BTreeMap, BTreeSet};

use coordination::Ms;
use wire_messages::{List, Name, Node, Poll, ProxyUsage, TenantUsage};

use super::{Fleet, WALL_START};

/// Interval between polls of an edge, in ms.
const POLL_INTERVAL: Ms = 500;
/// Interval between request starts at each edge, in ms.
const REQUEST_INTERVAL: Ms = 50;
pub const TENANTS: [&str; 2] = ["large", "small"];

/// Request counts by window and tenant.
pub type Usage = BTreeMap<(u64, Name), u64>;

struct Edge {
    name: String,
    counted: Usage,
}

pub struct UsageEdges {
    window: Ms,
    edges: Vec<Edge>,
    /// Edges that reach no daemon but continue to count.
    pub cut_off: BTreeSet<usize>,
    /// Requests started at all edges.
    pub truth: Usage,
}

/// Returns the gossip entry of an edge.
fn node(name: &str, index: usize, now: Ms) -> Node {
    Node {
        name: name.into(),
        role: 2,
        zone: format!("z{index}").as_str().into(),
        addr: name.into(),
        http_addr: "h".into(),
        incarnation: 1,
        heartbeat: now as u32,
        heartbeat_age: 0,
    }
}

impl UsageEdges {
    pub fn new(count: usize, window: Ms) -> Self {
        let edge = |index| Edge {
            name: format!("e{index}"),
            counted: Usage::new(),
        };
        UsageEdges {
            window,
            edges: (0..count).map(edge).collect(),
            cut_off: BTreeSet::new(),
            truth: Usage::new(),
        }
    }

    /// Counts the requests that start now and sends the polls that are due.
    pub fn step(&mut self, fleet: &mut Fleet) {
        let now = fleet.now;
        let window = (WALL_START + now) / self.window;
        for (index, edge) in self.edges.iter_mut().enumerate() {
            if now.is_multiple_of(REQUEST_INTERVAL) {
                // Three quarters of the requests are of the large tenant.
                let is_small = (now / REQUEST_INTERVAL + index as Ms).is_multiple_of(4);
                let cell = (window, TENANTS[usize::from(is_small)].into());
                *edge.counted.entry(cell.clone()).or_default() += 1;
                *self.truth.entry(cell).or_default() += 1;
            }
            let is_poll_due = (now + 97 * index as Ms).is_multiple_of(POLL_INTERVAL);
            if is_poll_due && !self.cut_off.contains(&index) {
                poll(fleet, edge, index);
            }
        }
    }

    /// Returns the true request counts of a window by tenant.
    pub fn truth_of(&self, window: u64) -> BTreeMap<String, u64> {
        let cells = self
            .truth
            .iter()
            .filter(|((started_in, _), _)| *started_in == window);
        cells
            .map(|((_, tenant), count)| (tenant.to_string(), *count))
            .collect()
    }
}

/// Sends a poll of an edge to all daemons that it reaches.
fn poll(fleet: &mut Fleet, edge: &Edge, edge_index: usize) {
    let now = fleet.now;
    let name: Name = edge.name.as_str().into();
    for index in 0..fleet.daemons.len() {
        let daemon = &mut fleet.daemons[index];
        let is_reachable =
            daemon.suspended_until <= now && !fleet.partitioned.contains(&daemon.config.addr);
        let Some(control) = daemon.control.as_mut().filter(|_| is_reachable) else {
            continue;
        };
        let counts = edge
            .counted
            .iter()
            .map(|((window, tenant), count)| TenantUsage {
                window: *window,
                tenant: tenant.clone(),
                count: *count,
            });
        let usage = ProxyUsage {
            proxy_incarnation: 1,
            usage: counts.collect(),
        };
        let poll = Poll {
            node: node(&edge.name, edge_index, now),
            proxy_incarnation: 1,
            sent_at: now,
            counters_through: 1,
            has_versions: 1,
            usage: List(vec![usage]),
            ..Poll::default()
        };
        let effects = control.on_message(&name, &name, poll.into(), now);
        fleet.carry_out(index, effects);
    }
}
