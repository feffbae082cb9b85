//! Code shared by landingslip's programs: clock, settings, event log, channels between processes, HTTP.

pub mod channels;
pub mod client_connections;
pub mod clock;
pub mod heap_trim;
pub mod http;
pub mod http_server;
pub mod inspect;
pub mod limits;
pub mod logging;
pub mod operator;
pub mod params;
pub mod process_limits;
pub mod request_body;
pub mod request_memory;
pub mod stop;
