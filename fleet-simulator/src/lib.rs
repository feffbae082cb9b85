//! Whole fleets in virtual time, by seed, with faults; and the checkers of what callers, replicas and
//! operators observed, which real fleets use as well.

pub mod checkers;
pub mod deployment;
pub mod effect_digest;
pub mod faults;
pub mod figures;
pub mod history;
pub mod register_history;
pub mod schedule;
pub mod shrink;
pub mod world;
pub mod wrong;
