//! Context copies that are kept in a proxy's own region, according to the context records.

use std::collections::BTreeMap;

use remote_calls::ContextRecord;

use super::name_digest;

/// A service's copies in one region.
#[derive(Clone, Debug, Default)]
struct ServiceCopies {
    /// Version of the weights to which the copies belong.
    version: String,
    /// Numbers of the replicas that hold each chain.
    replicas_by_chain: BTreeMap<u64, Vec<u64>>,
}

/// Replicas that hold a copy of a chain for one version of the weights.
#[derive(Clone, Copy, Debug)]
pub struct ChainCopies<'a> {
    /// Version of the weights to which the copies belong.
    pub version: &'a str,
    /// Numbers of the incarnations of the replicas that hold a copy.
    pub replica_numbers: &'a [u64],
}

/// The copies of all services in one region.
#[derive(Clone, Debug, Default)]
pub struct PlacedContext {
    by_service: BTreeMap<String, ServiceCopies>,
}

impl PlacedContext {
    /// Replaces the copies of a service by those of its record that are in `region`.
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

    /// Removes the copies of a service for which they are disabled.
    pub fn remove(&mut self, service: &str) {
        self.by_service.remove(service);
    }

    /// Returns whether copies are enabled for a service.
    pub fn is_enabled(&self, service: &str) -> bool {
        self.by_service.contains_key(service)
    }

    /// Returns the copies of a chain in this region.
    pub fn replicas(&self, service: &str, chain: u64) -> Option<ChainCopies<'_>> {
        let copies = self.by_service.get(service)?;
        let replica_numbers = copies.replicas_by_chain.get(&chain)?;
        Some(ChainCopies {
            version: &copies.version,
            replica_numbers,
        })
    }
}
