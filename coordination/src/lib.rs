//! Landingslip's coordination logic as deterministic state machines that take `(event, now)` and return effects.
//! Nothing here reads a clock, opens a socket or file, or starts a thread, so the daemons and the simulator run the
//! same code.

pub mod bounds;
pub mod claims;
pub mod compressed;
pub mod context;
pub mod control;
pub mod edge_agent;
pub mod edge_roster;
pub mod effect;
pub mod event_stream;
pub mod events;
pub mod exchange;
pub mod membership;
mod numbered_counts;
pub mod placement;
pub mod platform_call;
pub mod policy;
pub mod proxy;
pub mod regions;
pub mod register;
pub mod rendezvous;
pub mod request;
pub mod rollout;
pub mod rollout_status;
pub mod shutdown;
pub mod state_table;
pub mod stream;
mod suspension;
pub mod timing;
pub mod usage;
pub mod version_health;
pub mod voter_placement;
pub mod wall_clock;

pub use effect::{Effect, Effects, Ms, NotAcceptedReason, Row, WriteOutcome, send};
pub use wire_messages as wire;
