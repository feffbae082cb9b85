//! Helpers shared by several test files: nodes that gossip over a lossy network, messages to and from edge
//! agents, a control daemon that is the only voter, and that daemon with an edge.
#![allow(dead_code, reason = "each test file uses a part")]

pub mod agents;
pub mod edge_bench;
pub mod edge_fleet;
pub mod gossip;
pub mod lone_control;
