//! What landingslip's programs share: clock, params, logged events, channels between processes, HTTP.

pub mod channels;
pub mod clock;
pub mod http;
pub mod inspect;
pub mod limits;
pub mod logging;
pub mod operator;
pub mod params;
pub mod stop;
