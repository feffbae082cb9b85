//! A control daemon that is the only voter.

use coordination::control::ControlConfig;

/// Its name and address.
pub const NAME: &str = "c";
/// Id of its disk.
pub const DISK_ID: u64 = 7;

pub fn config() -> ControlConfig {
    ControlConfig {
        name: NAME.into(),
        zone: "z".into(),
        addr: NAME.into(),
        http_addr: "".into(),
        members: vec![NAME.into()],
        seeds: vec![],
        regions: Default::default(),
        spec_parser: coordination::state_table::parse_native_spec,
        bootstrap: false,
        bounds: Default::default(),
    }
}
