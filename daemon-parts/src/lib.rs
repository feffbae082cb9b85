//! Code shared by landingslip's programs: clock, settings, event log, channels between processes, HTTP.

pub mod channels;
pub mod clock;
pub mod http;
pub mod inspect;
pub mod limits;
pub mod logging;
pub mod operator;
pub mod params;
pub mod process_limits;
pub mod stop;
