//! A deployment: its machines, spec and callers' mix.

use remote_calls::Spec;
use serde::Deserialize;

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
    pub mix: Vec<MixPart>,
    pub rate_per_s: u64,
    pub spec: Spec,
}

const DENTAPLAN: &str = include_str!("../deployments/dentaplan.json");
const REGISTRY: &str = include_str!("../deployments/registry.json");

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
        if schedule == "five_voters" {
            self.control.extend(self.control.clone());
        }
        self
    }

    /// One of the two deployments, by name.
    pub fn named(n: &str) -> Option<Self> {
        let text = match n {
            "dentaplan" => DENTAPLAN,
            "registry" => REGISTRY,
            _ => return None,
        };
        serde_json::from_str(text).ok()
    }
}

#[cfg(test)]
mod tests {
    use googletest::prelude::*;

    use super::*;

    #[gtest]
    fn both_deployments_have_the_briefs_sizes_and_pass_the_check() {
        for (n, edges, replicas) in [("dentaplan", 6, vec![7, 6, 5]), ("registry", 8, vec![4, 3, 2])] {
            let d = Deployment::named(n).unwrap();
            expect_that!(d.edges.iter().map(|e| e.count).sum::<usize>(), eq(edges));
            expect_that!(d.spec.services[0].zones.iter().map(|z| z.replicas).collect::<Vec<_>>(), eq(&replicas));
            expect_that!(remote_calls::spec_check::check(&d.spec), ok(anything()));
        }
    }
}
