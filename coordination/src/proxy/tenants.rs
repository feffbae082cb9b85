//! Identifies the tenant of a request by its access key, and applies the tenant's settings to the lane.

use std::{
    collections::HashMap,
    hash::{BuildHasher, RandomState},
    sync::Arc,
};

use remote_calls::{AccessKey, Fault, Outcome, PathSpec, TenantSpec};

use super::Proxy;
use crate::{
    Ms,
    exchange::{RequestHead, Sender},
};

/// A request that may be assigned to a replica.
#[derive(Clone, Debug)]
pub struct AdmittedRequest {
    /// Lane of the request, with the tenant's rank and home regions applied.
    pub lane: Arc<PathSpec>,
    /// Who sent the request.
    pub sender: Sender,
}

/// A tenant, without its access keys.
#[derive(Clone, Debug)]
struct Tenant {
    name: Arc<str>,
    rank: Option<u32>,
    home_regions: Vec<String>,
}

/// Keyed digest of an access key.
type KeyDigest = u128;

/// Tenants by digests of their access keys. Each index uses new random hash keys, so that the time of a look-up reveals
/// nothing about an access key.
#[derive(Clone, Debug, Default)]
pub struct TenantIndex {
    hashers: [RandomState; 2],
    tenants: Vec<Tenant>,
    tenant_by_key: HashMap<KeyDigest, u32>,
}

impl TenantIndex {
    /// Indexes all tenants of a spec.
    pub fn new(tenants: &[TenantSpec]) -> Self {
        let mut index = TenantIndex::default();
        let key_count = tenants.iter().map(|tenant| tenant.keys.len()).sum();
        index.tenant_by_key.reserve(key_count);
        for (number, tenant) in (0..).zip(tenants) {
            for key in &tenant.keys {
                let digest = index.digest(key);
                index.tenant_by_key.insert(digest, number);
            }
            index.tenants.push(Tenant {
                name: tenant.name.as_str().into(),
                rank: tenant.rank,
                home_regions: tenant.homes.clone(),
            });
        }
        index
    }

    fn digest(&self, key: &AccessKey) -> KeyDigest {
        let [high, low] = &self.hashers;
        let high = u128::from(high.hash_one(key.expose()));
        let low = u128::from(low.hash_one(key.expose()));
        (high << u64::BITS) | low
    }

    fn find(&self, key: &AccessKey) -> Option<&Tenant> {
        let number = self.tenant_by_key.get(&self.digest(key))?;
        self.tenants.get(*number as usize)
    }
}

/// Returns the home regions that both a lane and a tenant allow; `None` if there are none. An empty list allows all.
fn common_homes(lane: &[String], tenant: &[String]) -> Option<Vec<String>> {
    if lane.is_empty() || tenant.is_empty() {
        return Some([lane, tenant].concat());
    }
    let common: Vec<String> = lane
        .iter()
        .filter(|home| tenant.contains(home))
        .cloned()
        .collect();
    (!common.is_empty()).then_some(common)
}

/// Applies a tenant's rank and home regions to a lane; returns `None` if no region may serve the tenant's requests.
fn lane_for_tenant(lane: Arc<PathSpec>, tenant: &Tenant) -> Option<Arc<PathSpec>> {
    let rank = tenant.rank.unwrap_or(lane.rank);
    if rank == lane.rank && tenant.home_regions.is_empty() {
        return Some(lane);
    }
    let homes = common_homes(&lane.homes, &tenant.home_regions)?;
    Some(Arc::new(PathSpec {
        rank,
        homes,
        ..PathSpec::clone(&lane)
    }))
}

impl Proxy {
    /// Determines the lane and the sender of a request.
    ///
    /// # Errors
    /// Returns a rejection if this edge may not serve or no region may serve the request, or a fault if no lane matches
    /// the host and path, or if the lane requires a tenant's access key and the request has none.
    pub fn admit(&mut self, head: &RequestHead, now: Ms) -> Result<AdmittedRequest, Fault> {
        let lane = self.find_lane(&head.host, &head.path, now)?;
        let Some(tenants) = &self.tenants else {
            let sender = Sender::Untenanted;
            return Ok(AdmittedRequest { lane, sender });
        };
        let tenant = head.access_key.as_ref().and_then(|key| tenants.find(key));
        let Some(tenant) = tenant else {
            return admit_anonymous(lane);
        };
        let sender = Sender::Tenant(tenant.name.clone());
        match lane_for_tenant(lane, tenant) {
            Some(lane) => Ok(AdmittedRequest { lane, sender }),
            None => {
                let message = "the lane and the tenant have no home region in common";
                Err(self.reject("no_home", "find_tenant", message))
            }
        }
    }
}

/// Admits a request without a tenant's access key if the lane is open.
fn admit_anonymous(lane: Arc<PathSpec>) -> Result<AdmittedRequest, Fault> {
    if lane.open {
        let sender = Sender::Anonymous;
        return Ok(AdmittedRequest { lane, sender });
    }
    let message = "the request has no valid access key";
    Err(Fault::new("unauthorized", "find_tenant", message).outcome(Outcome::NotRun))
}
