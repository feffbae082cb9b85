//! Checks of a spec's tenants.

use std::collections::HashMap;

use crate::TenantSpec;

/// Two tenants that have a key in common, as indexes into the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharedKey {
    /// The tenant that was listed first.
    pub first: usize,
    /// The other tenant.
    pub second: usize,
    /// Index of the key in the other tenant's list.
    pub key: usize,
}

/// The first key that two tenants have in common, if there is one: whose request it is could not be told.
pub fn find_shared_key(tenants: &[TenantSpec]) -> Option<SharedKey> {
    let mut owners: HashMap<&str, usize> = HashMap::new();
    for (second, tenant) in tenants.iter().enumerate() {
        for (key, access_key) in tenant.keys.iter().enumerate() {
            let first = *owners.entry(access_key.expose()).or_insert(second);
            if first != second {
                return Some(SharedKey { first, second, key });
            }
        }
    }
    None
}
