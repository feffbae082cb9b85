//! landingslip's coordination parts: state machines that take `(event, now)` and give effects.
//! Nothing here reads a clock, opens a socket or file, or starts a thread: daemons and the
//! simulator drive the same code.

pub mod agent;
pub mod board;
pub mod bounds;
pub mod claims;
pub mod context;
pub mod control;
pub mod effect;
pub mod events;
pub mod health;
pub mod limits;
pub mod members;
pub mod membership;
pub mod order;
pub mod packed;
pub mod pass;
pub mod pass_stream;
pub mod placement;
pub mod policy;
pub mod proxy;
pub mod regions;
pub mod register;
pub mod request;
pub mod rollout;
pub mod shutdown;
pub mod standing;
pub mod stream;

pub use effect::{Effect, Effects, Ms, Outcome as WriteOutcome, Row, send};
pub use wire_messages as wire;
