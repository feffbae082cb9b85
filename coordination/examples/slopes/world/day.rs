//! What a day does to a fleet: edge machines that end and start again, as empty processes at their addresses.

use super::*;

impl World {
    /// An edge machine's processes are gone.
    pub fn end_edge(&mut self, i: usize) {
        self.agents[i].brain = None;
        self.proxies[i].brain = None;
    }
    pub fn start_edge(&mut self, i: usize) {
        let regions: BTreeMap<String, String> = ZONES
            .iter()
            .enumerate()
            .map(|(i, z)| (format!("zone-{i}"), z.0.into()))
            .collect();
        let seeds: Vec<Name> = (0..3).map(|i| format!("10.1.{i}.9:7300").into()).collect();
        let (name, zone): (Name, Name) = (
            self.agents[i].name.clone(),
            format!("zone-{}", self.agents[i].zone).into(),
        );
        // Each life of a process is newer than the one before.
        let born = 2_000 + self.now;
        let me = Node {
            name: name.clone(),
            zone: zone.clone(),
            addr: self.agents[i].addr.clone(),
            incarnation: born,
            ..Node::default()
        };
        let mut a = EdgeAgent::new(me, seeds, self.rng.u64(..), self.now);
        a.set_regions(regions.clone());
        let mut p = Proxy::new(
            format!("{name}/proxy").into(),
            zone,
            format!("10.2.{i}.1:8263").into(),
            born,
            self.rng.u64(..),
        );
        p.set_spec_parser(unpack);
        p.set_bounds(Bounds::default(), regions);
        (self.agents[i].brain, self.proxies[i].brain) = (Some(a), Some(p));
    }
    pub fn serves(&self, i: usize) -> bool {
        self.proxies[i]
            .brain
            .as_ref()
            .is_some_and(|p| p.is_ready(self.now))
    }
    /// Edges of a zone, by number.
    pub fn edges_of(&self, zone: usize) -> Vec<usize> {
        (0..self.agents.len())
            .filter(|i| self.agents[*i].zone == zone)
            .collect()
    }
    /// Edges that run and are in reach of most control daemons, and of them those that serve by a spec at least that new.
    pub fn honour(&self, version: u64) -> (usize, usize) {
        let region = |z: usize| ZONES[z].0;
        let live = self
            .proxies
            .iter()
            .filter(|d| d.brain.is_some() && self.cut.is_none_or(|c| region(d.zone) != c));
        live.filter_map(|d| d.brain.as_ref()).fold((0, 0), |n, p| {
            (n.0 + 1, n.1 + usize::from(p.spec_version() >= version))
        })
    }
}
