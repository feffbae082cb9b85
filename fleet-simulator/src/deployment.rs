//! A deployment: its machines, spec and callers' mix.

use std::collections::BTreeMap;

use remote_calls::{Spec, ZoneCount};
use serde::Deserialize;

use crate::world::EngineParams;

#[derive(Clone, Debug, Deserialize)]
pub struct EdgeCount {
    pub zone: String,
    pub count: usize,
}

#[derive(Clone, Debug, Deserialize)]
pub struct MixPart {
    pub lane: String,
    pub parts: u64,
    pub time_left_ms: u64,
    /// Different shared prefixes callers of this lane have; 0 for none.
    pub prefixes: u64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Deployment {
    pub name: String,
    pub edges: Vec<EdgeCount>,
    /// The zone of each control daemon.
    pub control: Vec<String>,
    /// The region of each zone; none where each zone is one.
    #[serde(default)]
    pub regions: BTreeMap<String, String>,
    pub mix: Vec<MixPart>,
    pub rate_per_s: u64,
    pub spec: Spec,
    /// Replicas are engines, and requests come by host and path.
    #[serde(default)]
    pub engine: Option<EngineSection>,
}

/// What the engines of a deployment are and what is asked of them.
#[derive(Clone, Debug, Deserialize)]
pub struct EngineSection {
    pub params: EngineParams,
    pub cold_ms: u64,
    pub cold_rate: f64,
    /// ms one way between regions and to clients.
    pub region_ms: u64,
    pub client_ms: u64,
    pub zones: Vec<ZoneCount>,
    pub classes: Vec<Class>,
}

/// A kind of request: requests a second over all regions, and what they hold.
#[derive(Clone, Debug, Deserialize)]
pub struct Class {
    pub lane: String,
    pub per_s: f64,
    pub kind: String,
    pub rank: u32,
    pub rounds: u32,
    pub aim_ms: u64,
    pub time_limit_ms: u64,
    pub homes: Vec<String>,
    pub shared: Vec<Shared>,
    pub own_tokens: f64,
    pub own_spread: f64,
    pub events: f64,
    pub event_spread: f64,
}

/// A shared part: so many different ones, some asked for more often.
#[derive(Clone, Debug, Deserialize)]
pub struct Shared {
    pub tokens: f64,
    pub spread: f64,
    pub things: u64,
    pub skew: f64,
}

const DENTAPLAN: &str = include_str!("../deployments/dentaplan.json");
const REGISTRY: &str = include_str!("../deployments/registry.json");
const GROWN: &str = include_str!("../deployments/grown.json");

impl Deployment {
    /// The same with so many times the edges, replicas and callers; control machines stay three.
    pub fn scaled(mut self, n: usize) -> Self {
        self.edges.iter_mut().for_each(|e| e.count *= n);
        self.rate_per_s *= n as u64;
        let zones = self.spec.services.iter_mut().flat_map(|s| &mut s.zones);
        zones.for_each(|z| (z.replicas, z.floor) = (z.replicas * n as u32, z.floor * n as u32));
        self
    }

    /// The deployment as a schedule wants it.
    pub fn under(mut self, schedule: &str) -> Self {
        if !schedule.starts_with("engine") {
            self.engine = None;
        }
        // Six control daemons, where there are only three.
        if matches!(schedule, "five_voters" | "two_losses") && self.control.len() < 6 {
            self.control.extend(self.control.clone());
        }
        self
    }

    /// The region of a zone.
    pub fn region<'a>(&'a self, zone: &'a str) -> &'a str {
        self.regions.get(zone).map_or(zone, String::as_str)
    }
    /// The zones of a zone's region.
    pub fn beside(&self, zone: &str) -> Vec<String> {
        let zones = self.spec.zones.iter().map(|z| z.name.clone());
        zones
            .filter(|z| self.region(z) == self.region(zone))
            .collect()
    }

    /// One of the deployments, by name.
    pub fn named(n: &str) -> Option<Self> {
        let text = match n {
            "dentaplan" => DENTAPLAN,
            "registry" => REGISTRY,
            "grown" => GROWN,
            // Another one, to try figures with.
            file if file.ends_with(".json") => {
                return serde_json::from_str(&std::fs::read_to_string(file).ok()?).ok();
            }
            _ => return None,
        };
        serde_json::from_str(text).ok()
    }
}

#[cfg(test)]
mod tests;
