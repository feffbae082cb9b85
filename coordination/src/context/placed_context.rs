//! Context copies that are kept ready in a proxy's own region, as the records have them.

use std::collections::BTreeMap;

use remote_calls::ContextRecord;

use super::name_digest;

/// A service's copies in one region.
#[derive(Clone, Debug, Default)]
struct ServiceCopies {
    /// The version of weights that they are for.
    version: String,
    /// Numbers of the replicas that have each chain.
    replicas_by_chain: BTreeMap<u64, Vec<u64>>,
}

/// Replicas that keep a chain ready for one version of weights.
#[derive(Clone, Copy, Debug)]
pub struct ChainCopies<'a> {
    /// Version of the weights that the copies belong to.
    pub version: &'a str,
    /// Numbers of the incarnations of the replicas that keep a copy.
    pub replica_numbers: &'a [u64],
}

/// The copies of all services in one region.
#[derive(Clone, Debug, Default)]
pub struct PlacedContext {
    by_service: BTreeMap<String, ServiceCopies>,
}

impl PlacedContext {
    /// Takes the copies of a record's service in `region`.
    pub fn set(&mut self, record: &ContextRecord, region: &str) {
        let replicas_by_chain = record
            .parts
            .iter()
            .filter(|copy| copy.region == region)
            .map(|copy| {
                let numbers = copy.replicas.iter().map(|id| name_digest(id)).collect();
                (copy.chain, numbers)
            })
            .collect();
        self.by_service.insert(
            record.service.clone(),
            ServiceCopies {
                version: record.version.clone(),
                replicas_by_chain,
            },
        );
    }

    /// Copies are switched off for a service.
    pub fn remove(&mut self, service: &str) {
        self.by_service.remove(service);
    }

    /// Whether copies are kept for a service at all.
    pub fn is_enabled(&self, service: &str) -> bool {
        self.by_service.contains_key(service)
    }

    /// The copies of a chain in this region.
    pub fn replicas(&self, service: &str, chain: u64) -> Option<ChainCopies<'_>> {
        let copies = self.by_service.get(service)?;
        let replica_numbers = copies.replicas_by_chain.get(&chain)?;
        Some(ChainCopies {
            version: &copies.version,
            replica_numbers,
        })
    }
}
