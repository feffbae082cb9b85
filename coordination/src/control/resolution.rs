//! Where callers are sent.

use super::*;

impl Control {
    /// Addresses of edges for a caller of a host in a place: near ones first, but never only one of many, as that one
    /// may just have gone; beyond its region only where the host's lanes may be carried, if any edge is there. None: this
    /// daemon does not know the fleet yet, or nobody serves.
    pub fn edges_near(&self, host: &str, zone: &str, region: &str, now: Ms) -> Option<Vec<String>> {
        if now.saturating_sub(self.started) < KNOWS_FLEET {
            return None;
        }
        let all: Vec<&Node> = self.mship.live(EDGE).filter(|n| !n.http.is_empty()).collect();
        // Rumours of a large fleet are slow: who asks this daemon itself is known sooner to be gone. Where few do, it
        // is this daemon that is cut off.
        let asks = |n: &&&Node| self.agents.get(&n.name).is_some_and(|a| now.saturating_sub(a.at) <= NODE_GONE);
        let heard: Vec<&Node> = all.iter().filter(asks).copied().collect();
        let all = if heard.len() * 2 > all.len() { heard } else { all };
        let home = |n: &Node| regions::region(&self.p.regions, &n.zone) == region;
        let near: [Vec<&Node>; 2] =
            [all.iter().filter(|n| &*n.zone == zone).copied().collect(), all.iter().filter(|n| home(n)).copied().collect()];
        let some = near.into_iter().find(|v| v.len() > 1).unwrap_or_else(|| {
            // Its body is not carried where it has no home for the sake of a choice.
            let Some(homes) = self.homes(host) else { return all };
            let fits = |n: &&&Node| home(n) || homes.contains(regions::region(&self.p.regions, &n.zone));
            let some: Vec<&Node> = all.iter().filter(fits).copied().collect();
            if some.is_empty() { all } else { some }
        });
        let some = agreed(host, some, |n| &n.name).into_iter().take(ADDRESSES).map(|n| n.http.to_string());
        Some(some.collect()).filter(|v: &Vec<String>| !v.is_empty())
    }

    /// Regions in which every lane of a host may be carried. None: all, as nothing binds or no region suits all lanes.
    fn homes(&self, host: &str) -> Option<BTreeSet<&str>> {
        let host = host_name(host);
        let lanes = self.spec.iter().flat_map(|s| &s.paths).filter(|p| p.host.eq_ignore_ascii_case(host) && !p.homes.is_empty());
        let homes = lanes.map(|p| p.homes.iter().map(String::as_str).collect::<BTreeSet<&str>>());
        homes.reduce(|a, b| a.intersection(&b).copied().collect()).filter(|h| !h.is_empty())
    }
}
