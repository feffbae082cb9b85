//! Where callers are sent.

use super::*;
use crate::timing::NODE_TIMEOUT;

/// ms. A control daemon tells callers of edges only when every agent had three turns to poll it: a short list would
/// send everybody to a few edges.
pub const FLEET_DISCOVERY_TIME: Ms = 1_500;
/// ms. That a region's callers are sent so far beyond it, or nowhere, is logged this often while it lasts.
pub const DISTANT_LOG_INTERVAL: Ms = 60_000;
/// ms. An edge that was not heard of for so long is most likely gone: that the directory names it all the same is logged.
const UNREACHABLE_EDGE_AFTER: Ms = 3_000;
/// ms. It is logged this often while it lasts.
const UNREACHABLE_LOG_INTERVAL: Ms = 2_000;
/// Addresses of edges in one answer to a caller.
const MAX_ADDRESSES: usize = 64;

/// Who asks the directory, and for which host.
#[derive(Clone, Copy, Debug)]
pub struct Caller<'a> {
    pub host: &'a str,
    pub zone: &'a str,
    pub region: &'a str,
}

/// How far from the caller the edges of an answer may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reach {
    Zone,
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
    /// These regions alone: none where its routes have no home in common, or where no spec is known that would tell.
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
    pub addresses: Vec<String>,
    pub reach: Reach,
    unreachable: Unreachable,
}

/// Edges of an answer that were not heard of for `UNREACHABLE_EDGE_AFTER`, and the longest silence of any edge in it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Unreachable {
    edges: usize,
    longest_ms: Ms,
}

impl Unreachable {
    fn among(edges: &[ServingEdge]) -> Self {
        let silent = edges
            .iter()
            .filter(|e| e.unheard_for > UNREACHABLE_EDGE_AFTER)
            .count();
        Unreachable {
            edges: silent,
            longest_ms: edges.iter().map(|e| e.unheard_for).max().unwrap_or(0),
        }
    }
}

/// An edge that serves, and how long ago it was last heard of.
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
    /// Answers that name silent edges, and when that was last logged.
    unreachable: u64,
    unreachable_logged_at: Option<Ms>,
    /// By region of the callers and how far they are sent, `None` for nowhere: when that was last logged.
    distant_logged_at: BTreeMap<(Name, Option<Reach>), Option<Ms>>,
}

/// Whether something is to be logged that was last logged then, and is at most this often.
fn is_due(logged: &mut Option<Ms>, every: Ms, now: Ms) -> bool {
    let due = logged.is_none_or(|at| now.saturating_sub(at) >= every);
    if due {
        *logged = Some(now);
    }
    due
}

impl ResolutionCounts {
    pub(super) fn rows(&self) -> [(&'static str, u64); 6] {
        let of = |reach| self.by_reach.get(&reach).copied().unwrap_or(0);
        [
            ("resolutions_zone", of(Reach::Zone)),
            ("resolutions_region", of(Reach::Region)),
            ("resolutions_homes", of(Reach::Homes)),
            ("resolutions_fleet", of(Reach::Fleet)),
            ("resolutions_none", self.unresolved),
            ("resolutions_silent", self.unreachable),
        ]
    }

    fn count(&mut self, answer: &Result<Resolution, Unresolved>) {
        match answer {
            Ok(r) => {
                *self.by_reach.entry(r.reach).or_default() += 1;
                self.unreachable += u64::from(r.unreachable.edges > 0);
            }
            Err(_) => self.unresolved += 1,
        }
    }

    /// Whether it is to be logged that an answer names silent edges.
    fn unreachable_log_due(&mut self, silent: Unreachable, now: Ms) -> bool {
        silent.edges > 0
            && is_due(
                &mut self.unreachable_logged_at,
                UNREACHABLE_LOG_INTERVAL,
                now,
            )
    }

    /// Whether it is to be logged how far a region's callers are sent: a region with one edge is so for ever.
    fn distant_log_due(&mut self, region: &str, reach: Option<Reach>, now: Ms) -> bool {
        is_due(
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
    pub fn resolve(
        &mut self,
        caller: Caller,
        now: Ms,
    ) -> (Result<Resolution, Unresolved>, Effects) {
        let answer = self.edges_for(caller, now);
        self.resolution_counts.count(&answer);
        let reach = answer.as_ref().ok().map(|r| r.reach);
        let is_far = reach.is_none_or(|r| r > Reach::Region) && answer != Err(Unresolved::Starting);
        // A region that no zone is in is a caller's mistake, of which there may be any number.
        let is_known = self.config.regions.values().any(|r| r == caller.region);
        let log = is_far
            && is_known
            && self
                .resolution_counts
                .distant_log_due(caller.region, reach, now);
        let mut effects = if log {
            vec![self.log_distant(caller, &answer, now)]
        } else {
            vec![]
        };
        let silent = answer
            .as_ref()
            .map_or(Unreachable::default(), |r| r.unreachable);
        if self.resolution_counts.unreachable_log_due(silent, now) {
            effects.push(self.log_unreachable(caller, silent, now));
        }
        (answer, effects)
    }

    fn log_unreachable(&self, caller: Caller, silent: Unreachable, now: Ms) -> Effect {
        let polled = self
            .followers
            .values()
            .filter(|a| now.saturating_sub(a.polled_at) <= NODE_TIMEOUT)
            .count();
        let live = self.membership.live(NodeRole::Edge).count();
        let Unreachable {
            edges,
            longest_ms: longest,
        } = silent;
        let text = format!("edges={edges} longest_ms={longest} polled={polled} live={live}");
        log_event(events::UNREACHABLE_EDGES_LISTED, caller.region, text)
    }

    /// How long ago an edge was last heard of, by its own polls or by gossip.
    fn unheard_for(&self, edge: &Node, now: Ms) -> Ms {
        let by_poll = self
            .followers
            .get(&edge.name)
            .map(|a| now.saturating_sub(a.polled_at));
        let by_gossip = self.membership.unheard_for(&edge.name, now);
        by_poll
            .into_iter()
            .chain(by_gossip)
            .min()
            .unwrap_or(Ms::MAX)
    }

    fn log_distant(
        &self,
        caller: Caller,
        answer: &Result<Resolution, Unresolved>,
        now: Ms,
    ) -> Effect {
        let text = match answer {
            Ok(r) => format!(
                "host={} reach={} edges={}",
                caller.host,
                r.reach.name(),
                r.addresses.len()
            ),
            Err(_) => format!("host={} reach=none", caller.host),
        };
        let mut near: BTreeMap<&str, u32> = BTreeMap::new();
        for edge in self.serving_edges(now) {
            *near.entry(self.region_of(edge)).or_default() += 1;
        }
        let serving: Vec<String> = near
            .iter()
            .map(|(region, n)| format!("{region}:{n}"))
            .collect();
        log_event(
            events::CALLERS_ROUTED_REMOTE,
            caller.region,
            format!("{text} serving={}", serving.join(",")),
        )
    }

    /// Edges that serve, as far as this daemon knows. All live edges poll a daemon that is in touch, so that it takes those
    /// which it does not hear of for gone, whatever part of the fleet they are. Otherwise their silence may be its own cut,
    /// and it goes by gossip, for no longer than it may be out of touch without a rule's leave.
    fn serving_edges(&self, now: Ms) -> Vec<ServingEdge<'_>> {
        let in_touch = self.in_touch(now);
        let most = if in_touch {
            NODE_TIMEOUT
        } else {
            self.config.bounds.contact
        };
        let all = self
            .membership
            .known(NodeRole::Edge)
            .filter(|n| !n.http_addr.is_empty());
        let all = all.filter(|n| in_touch || self.membership.is_live(&n.name));
        all.map(|node| ServingEdge {
            node,
            unheard_for: self.unheard_for(node, now),
        })
        .filter(|e| e.unheard_for <= most)
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
        let edges: Vec<ServingEdge> = rendezvous_order(caller.host, edges, |e| &e.node.name)
            .into_iter()
            .take(MAX_ADDRESSES)
            .collect();
        if edges.is_empty() {
            return Err(Unresolved::NoEdge);
        }
        let silent = Unreachable::among(&edges);
        let addresses = edges.iter().map(|e| e.node.http_addr.to_string()).collect();
        Ok(Resolution {
            addresses,
            reach,
            unreachable: silent,
        })
    }

    fn select_edges<'a>(
        &'a self,
        caller: Caller,
        all: Vec<ServingEdge<'a>>,
    ) -> (Vec<ServingEdge<'a>>, Reach) {
        let zone: Vec<ServingEdge> = all
            .iter()
            .filter(|e| &*e.node.zone == caller.zone)
            .copied()
            .collect();
        if zone.len() > 1 {
            return (zone, Reach::Zone);
        }
        let (own, beyond): (Vec<ServingEdge>, Vec<ServingEdge>) = all
            .into_iter()
            .partition(|e| self.region_of(*e) == caller.region);
        if own.len() > 1 {
            return (own, Reach::Region);
        }
        // A body is not carried where it has no home for the sake of a choice, nor for the want of any edge.
        let homes = self.homes(caller.host);
        let beyond = beyond
            .into_iter()
            .filter(|e| homes.include(self.region_of(*e)));
        let reach = if homes == Homes::Unbound {
            Reach::Fleet
        } else {
            Reach::Homes
        };
        (own.into_iter().chain(beyond).collect(), reach)
    }

    /// Regions in which all routes of a host may be carried. The directory is not asked for one route, so that each binds.
    fn homes(&self, host: &str) -> Homes<'_> {
        let Some(spec) = &self.spec else {
            return Homes::Regions(BTreeSet::new());
        };
        let host = host_name(host);
        let bound = spec
            .paths
            .iter()
            .filter(|p| p.host.eq_ignore_ascii_case(host) && !p.homes.is_empty());
        let homes = bound.map(|p| {
            p.homes
                .iter()
                .map(String::as_str)
                .collect::<BTreeSet<&str>>()
        });
        let common = homes.reduce(|a, b| a.intersection(&b).copied().collect());
        common.map_or(Homes::Unbound, Homes::Regions)
    }
}
