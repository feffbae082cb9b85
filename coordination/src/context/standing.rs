//! Copies that stand ready in a proxy's own region, as the records have them.

use std::collections::BTreeMap;

use remote_calls::ContextRecord;

use super::name_digest;

/// A service's copies: for which version, and on which replicas' lives each chain stands.
#[derive(Clone, Debug, Default)]
struct Copies {
    version: String,
    chains: BTreeMap<u64, Vec<u64>>,
}

#[derive(Clone, Debug, Default)]
pub struct PlacedContext {
    services: BTreeMap<String, Copies>,
}

impl PlacedContext {
    pub fn set(&mut self, r: &ContextRecord, region: &str) {
        let here = r.parts.iter().filter(|p| p.region == region);
        let chains = here
            .map(|p| {
                (
                    p.chain,
                    p.replicas.iter().map(|id| name_digest(id)).collect(),
                )
            })
            .collect();
        self.services.insert(
            r.service.clone(),
            Copies {
                version: r.version.clone(),
                chains,
            },
        );
    }
    pub fn unset(&mut self, service: &str) {
        self.services.remove(service);
    }
    /// Whether copies are kept for a service at all.
    pub fn on(&self, service: &str) -> bool {
        self.services.contains_key(service)
    }
    /// Replicas here on which a chain stands ready, and for which version of weights.
    pub fn stands(&self, service: &str, chain: u64) -> Option<(&str, &[u64])> {
        let c = self.services.get(service)?;
        c.chains
            .get(&chain)
            .map(|r| (c.version.as_str(), r.as_slice()))
    }
}
