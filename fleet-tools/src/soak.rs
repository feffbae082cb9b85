//! A soak: a whole fleet of real processes over the platform's stand-in, faults and planned work in series that overlap,
//! callers that keep their connections, and checks of the whole history. Everything is drawn by one seed.

pub mod callers;
pub mod checks;
pub mod faults;
pub mod history;
pub mod links;
pub mod operators;
pub mod plan;
pub mod releases;
pub mod report;
pub mod resources;
pub mod rolling;
pub mod run;
