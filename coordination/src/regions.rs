//! Which region each zone is in.

use std::collections::BTreeMap;

/// The region of each zone, as the params name it.
pub type Regions = BTreeMap<String, String>;

/// A zone that no region is named for is its own.
pub fn region_of<'a>(regions: &'a Regions, zone: &'a str) -> &'a str {
    regions.get(zone).map_or(zone, String::as_str)
}
