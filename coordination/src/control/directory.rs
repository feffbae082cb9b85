//! The directory: selects the edges to which a caller sends its requests.

use std::collections::{BTreeMap, BTreeSet};

use wire_messages::{Name, Node};

use super::Control;
use crate::{
    Effect, Effects, Ms, effect::log_event, events, exchange::host_name, membership::NodeRole,
    regions, rendezvous::rendezvous_order, timing::NODE_TIMEOUT,
};

/// Time after its start for which a control daemon resolves no hosts, in ms. Every agent has time for three polls: an
/// incomplete list would send all callers to a few edges.
pub const FLEET_DISCOVERY_TIME: Ms = 1_500;
/// Interval between log entries, in ms, while a region's callers are sent to other regions or nowhere.
pub const REMOTE_ROUTING_LOG_INTERVAL: Ms = 60_000;
/// Time without a message from an edge, in ms, after which the edge is most likely down; listing it is then logged.
const UNREACHABLE_EDGE_AFTER: Ms = 3_000;
/// Interval between log entries, in ms, while unreachable edges are listed.
const UNREACHABLE_LOG_INTERVAL: Ms = 2_000;
/// Maximum number of edge addresses in one response.
const MAX_ADDRESSES: usize = 64;

/// A caller that queries the directory for a host.
#[derive(Clone, Copy, Debug)]
pub struct Caller<'a> {
    /// The host to which the caller sends requests, as spelled in its URLs.
    pub host: &'a str,
    /// The caller's zone.
    pub zone: &'a str,
    /// The caller's region.
    pub region: &'a str,
}

/// How far from the caller the edges of a resolution may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reach {
    /// The caller's zone.
    Zone,
    /// The caller's region.
    Region,
    /// The caller's region and the home regions of the host's routes.
    Homes,
    /// All edges, whatever their region.
    Fleet,
}

impl Reach {
    fn name(self) -> &'static str {
        match self {
            Reach::Zone => "zone",
            Reach::Region => "region",
            Reach::Homes => "homes",
            Reach::Fleet => "fleet",
        }
    }
}

/// Regions, in addition to the caller's own, to which a host's requests may be sent.
#[derive(PartialEq)]
enum HomeRegions<'a> {
    /// No route of the host has home regions.
    Unrestricted,
    /// Only these regions: none if the host's routes have no home region in common, or if no spec is known.
    Regions(BTreeSet<&'a str>),
}

impl HomeRegions<'_> {
    fn allows(&self, region: &str) -> bool {
        match self {
            HomeRegions::Unrestricted => true,
            HomeRegions::Regions(homes) => homes.contains(region),
        }
    }
}

/// The edges selected for a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Resolution {
    /// Addresses of edges, in the order in which the caller should try them.
    pub addresses: Vec<String>,
    /// How far from the caller the edges may be.
    pub reach: Reach,
    unreachable: Unreachable,
}

/// The number of edges in a resolution from which nothing was received for `UNREACHABLE_EDGE_AFTER`, and the longest
/// time for which nothing was received from any of its edges.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Unreachable {
    edges: usize,
    longest_ms: Ms,
}

impl Unreachable {
    fn among(edges: &[ServingEdge]) -> Self {
        let unreachable = edges
            .iter()
            .filter(|edge| edge.time_since_received > UNREACHABLE_EDGE_AFTER);
        let longest = edges.iter().map(|edge| edge.time_since_received).max();
        Unreachable {
            edges: unreachable.count(),
            longest_ms: longest.unwrap_or(0),
        }
    }
}

/// An edge that serves, and the time since a message from it was last received.
#[derive(Clone, Copy)]
struct ServingEdge<'a> {
    node: &'a Node,
    time_since_received: Ms,
}

/// Why a host was not resolved to any edge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unresolved {
    /// This daemon has not been up for long enough to know the fleet.
    Starting,
    /// No edge serves in the regions to which the host's requests may be sent.
    NoEdge,
}

/// Resolutions by reach since this daemon started.
#[derive(Clone, Debug, Default)]
pub(super) struct ResolutionCounts {
    by_reach: BTreeMap<Reach, u64>,
    unresolved: u64,
    /// Resolutions that list unreachable edges.
    unreachable: u64,
    /// When a resolution with unreachable edges was last logged.
    unreachable_logged_at: Option<Ms>,
    /// When it was last logged how far a region's callers are sent; `None` as reach stands for nowhere.
    remote_routing_logged_at: BTreeMap<(Name, Option<Reach>), Option<Ms>>,
}

/// Returns whether an entry that is logged once per interval is due; if so, sets `logged_at` to `now`.
fn is_log_due(logged_at: &mut Option<Ms>, interval: Ms, now: Ms) -> bool {
    let is_due = logged_at.is_none_or(|at| now.saturating_sub(at) >= interval);
    if is_due {
        *logged_at = Some(now);
    }
    is_due
}

impl ResolutionCounts {
    /// Returns the counts with the names under which they are exported to monitoring.
    pub(super) fn rows(&self) -> [(&'static str, u64); 6] {
        let count = |reach| self.by_reach.get(&reach).copied().unwrap_or(0);
        [
            ("resolutions_zone", count(Reach::Zone)),
            ("resolutions_region", count(Reach::Region)),
            ("resolutions_homes", count(Reach::Homes)),
            ("resolutions_fleet", count(Reach::Fleet)),
            ("resolutions_none", self.unresolved),
            ("resolutions_silent", self.unreachable),
        ]
    }

    fn count(&mut self, result: &Result<Resolution, Unresolved>) {
        match result {
            Ok(resolution) => {
                *self.by_reach.entry(resolution.reach).or_default() += 1;
                self.unreachable += u64::from(resolution.unreachable.edges > 0);
            }
            Err(_) => self.unresolved += 1,
        }
    }

    /// Returns whether to log that a resolution lists unreachable edges.
    fn unreachable_log_due(&mut self, unreachable: Unreachable, now: Ms) -> bool {
        unreachable.edges > 0
            && is_log_due(
                &mut self.unreachable_logged_at,
                UNREACHABLE_LOG_INTERVAL,
                now,
            )
    }

    /// Returns whether to log how far a region's callers are sent. Entries are rate-limited, since a region with one
    /// edge is always in this state.
    fn remote_routing_log_due(&mut self, region: &str, reach: Option<Reach>, now: Ms) -> bool {
        is_log_due(
            self.remote_routing_logged_at
                .entry((region.into(), reach))
                .or_default(),
            REMOTE_ROUTING_LOG_INTERVAL,
            now,
        )
    }
}

impl Control {
    /// Returns addresses of edges for a caller, near ones first, but never just one of many, as that one may just have
    /// failed. Remote edges are returned only in regions to which the host's requests may be sent, however few edges
    /// serve.
    pub fn resolve(
        &mut self,
        caller: Caller,
        now: Ms,
    ) -> (Result<Resolution, Unresolved>, Effects) {
        let result = self.edges_for(caller, now);
        self.resolution_counts.count(&result);
        let mut effects = vec![];
        if self.is_remote_routing_log_due(caller, &result, now) {
            effects.push(self.log_remote_routing(caller, &result, now));
        }
        let unreachable = result
            .as_ref()
            .map_or(Unreachable::default(), |resolution| resolution.unreachable);
        if self.resolution_counts.unreachable_log_due(unreachable, now) {
            effects.push(self.log_unreachable(caller, unreachable, now));
        }
        (result, effects)
    }

    /// Returns whether to log that a caller is sent to another region, or nowhere.
    fn is_remote_routing_log_due(
        &mut self,
        caller: Caller,
        result: &Result<Resolution, Unresolved>,
        now: Ms,
    ) -> bool {
        let reach = match result {
            Ok(resolution) if resolution.reach <= Reach::Region => return false,
            Err(Unresolved::Starting) => return false,
            Ok(resolution) => Some(resolution.reach),
            Err(Unresolved::NoEdge) => None,
        };
        // A region without zones is a mistake of the caller, and there may be any number of such names.
        let mut regions = self.config.regions.values();
        regions.any(|region| region == caller.region)
            && self
                .resolution_counts
                .remote_routing_log_due(caller.region, reach, now)
    }

    fn log_unreachable(&self, caller: Caller, unreachable: Unreachable, now: Ms) -> Effect {
        let polled = self.followers.polled_within(NODE_TIMEOUT, now).count();
        let live = self.membership.live(NodeRole::Edge).count();
        let Unreachable { edges, longest_ms } = unreachable;
        let text = format!("edges={edges} longest_ms={longest_ms} polled={polled} live={live}");
        log_event(events::UNREACHABLE_EDGES_LISTED, caller.region, text)
    }

    /// Returns the time since an edge last polled or made its newest known heartbeat, whichever is more recent. A
    /// message that may have waited while this process was suspended counts from the start of the suspension.
    pub(super) fn time_since_received(&self, edge: &Node, now: Ms) -> Ms {
        let by_poll = self
            .followers
            .get(&edge.name)
            .map(|follower| now.saturating_sub(follower.polled_at));
        let by_gossip = self.membership.time_since_heartbeat(&edge.name, now);
        let time_since_received = by_poll.into_iter().chain(by_gossip).min();
        time_since_received.map_or(Ms::MAX, |time_since_received| {
            let received_at = now.saturating_sub(time_since_received);
            now - self.suspension.earliest_sent(received_at)
        })
    }

    fn log_remote_routing(
        &self,
        caller: Caller,
        result: &Result<Resolution, Unresolved>,
        now: Ms,
    ) -> Effect {
        let text = match result {
            Ok(resolution) => format!(
                "host={} reach={} edges={}",
                caller.host,
                resolution.reach.name(),
                resolution.addresses.len()
            ),
            Err(_) => format!("host={} reach=none", caller.host),
        };
        let mut by_region: BTreeMap<&str, u32> = BTreeMap::new();
        for edge in self.serving_edges(now) {
            *by_region.entry(self.region_of(edge)).or_default() += 1;
        }
        let serving: Vec<String> = by_region
            .iter()
            .map(|(region, edges)| format!("{region}:{edges}"))
            .collect();
        log_event(
            events::CALLERS_ROUTED_REMOTE,
            caller.region,
            format!("{text} serving={}", serving.join(",")),
        )
    }

    /// Returns the edges that serve, as far as this daemon knows. All live edges poll a daemon that is in contact, so
    /// it considers edges from which it receives nothing to be down, whatever part of the fleet they are. Otherwise
    /// this daemon may itself be partitioned, and it relies on gossip, for no longer than an edge may serve out of
    /// contact without permission under its serving rule.
    fn serving_edges(&self, now: Ms) -> Vec<ServingEdge<'_>> {
        let is_in_contact = self.is_in_contact(now);
        let max_time_since_received = if is_in_contact {
            NODE_TIMEOUT
        } else {
            self.config.bounds.contact
        };
        self.membership
            .known(NodeRole::Edge)
            .filter(|node| !node.http_addr.is_empty())
            .filter(|node| is_in_contact || self.membership.is_live(&node.name))
            .map(|node| ServingEdge {
                node,
                time_since_received: self.time_since_received(node, now),
            })
            .filter(|edge| edge.time_since_received <= max_time_since_received)
            .collect()
    }

    fn region_of<'a>(&'a self, edge: ServingEdge<'a>) -> &'a str {
        regions::region_of(&self.config.regions, &edge.node.zone)
    }

    fn edges_for(&self, caller: Caller, now: Ms) -> Result<Resolution, Unresolved> {
        if now.saturating_sub(self.started_at) < FLEET_DISCOVERY_TIME {
            return Err(Unresolved::Starting);
        }
        let (edges, reach) = self.select_edges(caller, self.serving_edges(now));
        let edges: Vec<ServingEdge> = rendezvous_order(caller.host, edges, |edge| &edge.node.name)
            .into_iter()
            .take(MAX_ADDRESSES)
            .collect();
        if edges.is_empty() {
            return Err(Unresolved::NoEdge);
        }
        let addresses = edges.iter().map(|edge| edge.node.http_addr.to_string());
        Ok(Resolution {
            addresses: addresses.collect(),
            reach,
            unreachable: Unreachable::among(&edges),
        })
    }

    /// Returns the candidate edges for a caller, and how far from it they may be.
    fn select_edges<'a>(
        &'a self,
        caller: Caller,
        serving: Vec<ServingEdge<'a>>,
    ) -> (Vec<ServingEdge<'a>>, Reach) {
        let same_zone: Vec<ServingEdge> = serving
            .iter()
            .filter(|edge| &*edge.node.zone == caller.zone)
            .copied()
            .collect();
        if same_zone.len() > 1 {
            return (same_zone, Reach::Zone);
        }
        let (same_region, remote): (Vec<ServingEdge>, Vec<ServingEdge>) = serving
            .into_iter()
            .partition(|edge| self.region_of(*edge) == caller.region);
        if same_region.len() > 1 {
            return (same_region, Reach::Region);
        }
        // Request bodies are not sent outside the home regions, neither to offer a choice of edges nor if no edge
        // serves there.
        let homes = self.home_regions(caller.host);
        let remote = remote
            .into_iter()
            .filter(|edge| homes.allows(self.region_of(*edge)));
        let reach = if homes == HomeRegions::Unrestricted {
            Reach::Fleet
        } else {
            Reach::Homes
        };
        (same_region.into_iter().chain(remote).collect(), reach)
    }

    /// Returns the regions to which requests of all routes of a host may be sent. A directory query names no route, so
    /// every route's home regions apply.
    fn home_regions(&self, host: &str) -> HomeRegions<'_> {
        let Some(spec) = self.parsed.spec() else {
            return HomeRegions::Regions(BTreeSet::new());
        };
        let host = host_name(host);
        spec.paths
            .iter()
            .filter(|path| path.host.eq_ignore_ascii_case(host) && !path.homes.is_empty())
            .map(|path| path.homes.iter().map(String::as_str).collect())
            .reduce(|common: BTreeSet<&str>, homes| common.intersection(&homes).copied().collect())
            .map_or(HomeRegions::Unrestricted, HomeRegions::Regions)
    }
}
