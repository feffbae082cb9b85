//! Mapping of zones to regions.

use std::collections::BTreeMap;

/// The region of each zone according to the settings.
pub type Regions = BTreeMap<String, String>;

/// Returns the region of a zone. A zone without a region in the settings is a region of its own.
pub fn region_of<'a>(regions: &'a Regions, zone: &'a str) -> &'a str {
    regions.get(zone).map_or(zone, String::as_str)
}
