//! The directory: which edges a caller is sent to.

use std::collections::{BTreeMap, BTreeSet};

use wire_messages::{Name, Node};

use super::Control;
use crate::{
    Effect, Effects, Ms, effect::log_event, events, exchange::host_name, membership::NodeRole,
    regions, rendezvous::rendezvous_order, timing::NODE_TIMEOUT,
};

/// ms. A control daemon names edges to callers only when every agent had time for three polls: a short list would send
/// everybody to a few edges.
pub const FLEET_DISCOVERY_TIME: Ms = 1_500;
/// ms. That a region's callers are sent so far beyond it, or nowhere, is logged this often while it lasts.
pub const DISTANT_LOG_INTERVAL: Ms = 60_000;
/// ms. An edge that was not heard from for so long is most likely gone: that the directory names it all the same is logged.
const UNREACHABLE_EDGE_AFTER: Ms = 3_000;
/// ms. It is logged this often while it lasts.
const UNREACHABLE_LOG_INTERVAL: Ms = 2_000;
/// Addresses of edges in one answer to a caller.
const MAX_ADDRESSES: usize = 64;

/// Who asks the directory, and for which host.
#[derive(Clone, Copy, Debug)]
pub struct Caller<'a> {
    /// The host whose requests the caller has, as its URLs spell it.
    pub host: &'a str,
    /// The caller's zone.
    pub zone: &'a str,
    /// The caller's region.
    pub region: &'a str,
}

/// How far from the caller the edges of an answer may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reach {
    /// The caller's zone.
    Zone,
    /// The caller's region.
    Region,
    /// The caller's region and the homes of the host's routes.
    Homes,
    /// Every edge, whatever its region.
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

/// Where a host's requests may be carried, besides the caller's own region.
#[derive(PartialEq)]
enum Homes<'a> {
    /// None of its routes has homes.
    Unbound,
    /// These regions alone: none where its routes have no home in common, or where no spec is known.
    Regions(BTreeSet<&'a str>),
}

impl Homes<'_> {
    fn include(&self, region: &str) -> bool {
        match self {
            Homes::Unbound => true,
            Homes::Regions(homes) => homes.contains(region),
        }
    }
}

/// An answer of the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Resolution {
    /// Addresses of edges, the first to be tried first.
    pub addresses: Vec<String>,
    /// How far from the caller they may be.
    pub reach: Reach,
    unreachable: Unreachable,
}

/// Edges of an answer that were not heard from for `UNREACHABLE_EDGE_AFTER`, and the longest time that any edge in it was
/// not heard from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Unreachable {
    edges: usize,
    longest_ms: Ms,
}

impl Unreachable {
    fn among(edges: &[ServingEdge]) -> Self {
        let unreachable = edges
            .iter()
            .filter(|edge| edge.unheard_for > UNREACHABLE_EDGE_AFTER);
        let longest = edges.iter().map(|edge| edge.unheard_for).max();
        Unreachable {
            edges: unreachable.count(),
            longest_ms: longest.unwrap_or(0),
        }
    }
}

/// An edge that serves, and how long ago it was last heard from.
#[derive(Clone, Copy)]
struct ServingEdge<'a> {
    node: &'a Node,
    unheard_for: Ms,
}

/// Why the directory names no edge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unresolved {
    /// This daemon has not heard from the fleet for long enough yet.
    Starting,
    /// No edge serves where the host's requests may be carried.
    NoEdge,
}

/// Answers of the directory by how they were chosen, since this daemon started.
#[derive(Clone, Debug, Default)]
pub(super) struct ResolutionCounts {
    by_reach: BTreeMap<Reach, u64>,
    unresolved: u64,
    /// Answers that name unreachable edges.
    unreachable: u64,
    /// When such an answer was last logged.
    unreachable_logged_at: Option<Ms>,
    /// When it was last logged how far a region's callers are sent, `None` for nowhere.
    distant_logged_at: BTreeMap<(Name, Option<Reach>), Option<Ms>>,
}

/// Whether something that is logged once an interval is to be logged now; if so, `logged_at` becomes `now`.
fn is_log_due(logged_at: &mut Option<Ms>, interval: Ms, now: Ms) -> bool {
    let is_due = logged_at.is_none_or(|at| now.saturating_sub(at) >= interval);
    if is_due {
        *logged_at = Some(now);
    }
    is_due
}

impl ResolutionCounts {
    /// The counts by the names under which monitoring knows them.
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

    fn count(&mut self, answer: &Result<Resolution, Unresolved>) {
        match answer {
            Ok(resolution) => {
                *self.by_reach.entry(resolution.reach).or_default() += 1;
                self.unreachable += u64::from(resolution.unreachable.edges > 0);
            }
            Err(_) => self.unresolved += 1,
        }
    }

    /// Whether it is to be logged that an answer names unreachable edges.
    fn unreachable_log_due(&mut self, unreachable: Unreachable, now: Ms) -> bool {
        unreachable.edges > 0
            && is_log_due(
                &mut self.unreachable_logged_at,
                UNREACHABLE_LOG_INTERVAL,
                now,
            )
    }

    /// Whether it is to be logged how far a region's callers are sent: a region with one edge is so for ever.
    fn distant_log_due(&mut self, region: &str, reach: Option<Reach>, now: Ms) -> bool {
        is_log_due(
            self.distant_logged_at
                .entry((region.into(), reach))
                .or_default(),
            DISTANT_LOG_INTERVAL,
            now,
        )
    }
}

impl Control {
    /// Addresses of edges for a caller: near ones first, but never only one of many, as that one may just have gone.
    /// Beyond its region only where the host's routes may be carried, however few edges serve.
    ///
    /// # Errors
    /// Where this daemon does not know the fleet yet, and where no edge serves that the caller may use.
    pub fn resolve(
        &mut self,
        caller: Caller,
        now: Ms,
    ) -> (Result<Resolution, Unresolved>, Effects) {
        let answer = self.edges_for(caller, now);
        self.resolution_counts.count(&answer);
        let mut effects = vec![];
        if self.is_distant_log_due(caller, &answer, now) {
            effects.push(self.log_distant(caller, &answer, now));
        }
        let unreachable = answer
            .as_ref()
            .map_or(Unreachable::default(), |resolution| resolution.unreachable);
        if self.resolution_counts.unreachable_log_due(unreachable, now) {
            effects.push(self.log_unreachable(caller, unreachable, now));
        }
        (answer, effects)
    }

    /// Whether it is to be logged that a caller is sent beyond its region, or nowhere.
    fn is_distant_log_due(
        &mut self,
        caller: Caller,
        answer: &Result<Resolution, Unresolved>,
        now: Ms,
    ) -> bool {
        let reach = match answer {
            Ok(resolution) if resolution.reach <= Reach::Region => return false,
            Err(Unresolved::Starting) => return false,
            Ok(resolution) => Some(resolution.reach),
            Err(Unresolved::NoEdge) => None,
        };
        // A region that no zone is in is a caller's mistake, of which there may be any number.
        let mut regions = self.config.regions.values();
        regions.any(|region| region == caller.region)
            && self
                .resolution_counts
                .distant_log_due(caller.region, reach, now)
    }

    fn log_unreachable(&self, caller: Caller, unreachable: Unreachable, now: Ms) -> Effect {
        let polled = self.followers.polled_within(NODE_TIMEOUT, now).count();
        let live = self.membership.live(NodeRole::Edge).count();
        let Unreachable { edges, longest_ms } = unreachable;
        let text = format!("edges={edges} longest_ms={longest_ms} polled={polled} live={live}");
        log_event(events::UNREACHABLE_EDGES_LISTED, caller.region, text)
    }

    /// How long ago an edge was last heard from at least, by its own polls or by gossip.
    pub(super) fn unheard_for(&self, edge: &Node, now: Ms) -> Ms {
        let by_poll = self
            .followers
            .get(&edge.name)
            .map(|follower| now.saturating_sub(follower.polled_at));
        let by_gossip = self.membership.time_since_heartbeat(&edge.name, now);
        let unheard_for = by_poll.into_iter().chain(by_gossip).min();
        unheard_for.map_or(Ms::MAX, |unheard_for| {
            let heard_at = now.saturating_sub(unheard_for);
            now - self.suspension.earliest_sent(heard_at)
        })
    }

    fn log_distant(
        &self,
        caller: Caller,
        answer: &Result<Resolution, Unresolved>,
        now: Ms,
    ) -> Effect {
        let text = match answer {
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

    /// Edges that serve, as far as this daemon knows. All live edges poll a daemon that is in contact, so that it takes
    /// those which it does not hear from for gone, whatever part of the fleet they are. Otherwise it may be this daemon
    /// that is cut off, and it goes by gossip, for no longer than an edge may serve out of contact without its serving
    /// rule's permission.
    fn serving_edges(&self, now: Ms) -> Vec<ServingEdge<'_>> {
        let in_touch = self.is_in_contact(now);
        let longest_unheard = if in_touch {
            NODE_TIMEOUT
        } else {
            self.config.bounds.contact
        };
        self.membership
            .known(NodeRole::Edge)
            .filter(|node| !node.http_addr.is_empty())
            .filter(|node| in_touch || self.membership.is_live(&node.name))
            .map(|node| ServingEdge {
                node,
                unheard_for: self.unheard_for(node, now),
            })
            .filter(|edge| edge.unheard_for <= longest_unheard)
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

    /// The edges to choose from for a caller, and how far they may be.
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
        // A body is not carried where it has no home for the sake of a choice, nor for the want of any edge.
        let homes = self.homes(caller.host);
        let remote = remote
            .into_iter()
            .filter(|edge| homes.include(self.region_of(*edge)));
        let reach = if homes == Homes::Unbound {
            Reach::Fleet
        } else {
            Reach::Homes
        };
        (same_region.into_iter().chain(remote).collect(), reach)
    }

    /// Regions in which all routes of a host may be carried. The directory is not asked for one route, so that each binds.
    fn homes(&self, host: &str) -> Homes<'_> {
        let Some(spec) = self.parsed.spec() else {
            return Homes::Regions(BTreeSet::new());
        };
        let host = host_name(host);
        spec.paths
            .iter()
            .filter(|path| path.host.eq_ignore_ascii_case(host) && !path.homes.is_empty())
            .map(|path| path.homes.iter().map(String::as_str).collect())
            .reduce(|common: BTreeSet<&str>, homes| common.intersection(&homes).copied().collect())
            .map_or(Homes::Unbound, Homes::Regions)
    }
}
