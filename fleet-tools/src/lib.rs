//! Stand-ins and helpers that put a whole fleet on one machine. For developers only: nothing here runs
//! in a deployment.

pub mod caller;
pub use fleet_simulator::deployment;
pub mod fleet;
pub mod link;
pub mod replica;
pub mod soak;
