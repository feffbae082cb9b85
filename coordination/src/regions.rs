//! Which region each zone is in.

use std::collections::BTreeMap;

/// The region of each zone, as the settings name it.
pub type Regions = BTreeMap<String, String>;

/// The region of a zone. A zone that the settings name no region for is a region of its own.
pub fn region_of<'a>(regions: &'a Regions, zone: &'a str) -> &'a str {
    regions.get(zone).map_or(zone, String::as_str)
}
