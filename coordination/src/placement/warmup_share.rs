//! How the edges divide the rate that a replica bears while it warms up.
//!
//! The limit is one on the sum over all edges in any second, so the rate of an edge is not all that matters: edges that
//! decide alone may all send at the same moment. Only so many edges use the replica as the limit allows requests in a
//! second, each at most once in a second. Edges of the replica's region come first, because they are near and the edges
//! of a region that is cut off can use no other replicas.

use std::fmt;

use super::Placement;
use crate::{edge_roster::EdgePlace, policy::Mechanism};

/// Fraction of the rate that a replica bears which all edges together use; the rest covers edges that have not received
/// the newest roster.
const RATE_FRACTION: f64 = 0.9;
/// Edges of the replica's region that may use it, as a fraction of its limit of requests in a second.
const NEAR_EDGES_FRACTION: f64 = 0.5;
/// Edges of other regions that may use it, as a fraction of its limit of requests in a second. The rest of the limit
/// covers edges of other rosters.
const FAR_EDGES_FRACTION: f64 = 0.3;
/// Highest rate per second of one edge with which no two of its requests are sent within a second, although opening a
/// connection may delay the first of them.
const ONE_IN_A_SECOND_RATE: f64 = 0.8;

/// What a replica bears while it warms up.
#[derive(Clone, Copy, Debug)]
struct WarmupLimit {
    /// Requests per second, sustained.
    rate: f64,
    /// Requests within any one second.
    in_a_second: f64,
}

/// One edge's share of the rate that a replica bears while it warms up.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WarmupShare {
    /// Attempts per second; 0 if other edges are to warm the replica up.
    pub rate: f64,
    /// Fraction of the interval between two attempts that counts as elapsed at the start of the warm-up. It differs
    /// between the edges, so that those that learn of the warm-up together do not send together.
    pub phase: f64,
    /// This edge's place in the agreed order for the replica; `None` if it is not listed in the roster.
    pub place: Option<EdgePlace>,
}

impl fmt::Display for WarmupShare {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let place = self.place.unwrap_or_default();
        write!(
            formatter,
            "rate={:.2} edges={} near={} ahead={}",
            self.rate,
            place.near_edges + place.far_edges,
            place.is_near,
            place.edges_ahead
        )
    }
}

impl WarmupLimit {
    fn share(&self, place: EdgePlace) -> WarmupShare {
        let near_max = (self.in_a_second * NEAR_EDGES_FRACTION).max(1.0) as usize;
        let far_max = (self.in_a_second * FAR_EDGES_FRACTION).max(1.0) as usize;
        let near_users = place.near_edges.min(near_max);
        let users = near_users + place.far_edges.min(far_max);
        let is_user = place.edges_ahead < if place.is_near { near_max } else { far_max };
        if !is_user {
            return WarmupShare {
                place: Some(place),
                ..WarmupShare::default()
            };
        }
        let users_ahead = place.edges_ahead + if place.is_near { 0 } else { near_users };
        WarmupShare {
            rate: self.rate_of_each(users),
            phase: users_ahead as f64 / users as f64,
            place: Some(place),
        }
    }

    /// Returns the rate of each of `users` edges.
    fn rate_of_each(&self, users: usize) -> f64 {
        let total_rate = self.rate * RATE_FRACTION;
        let rate = total_rate / users as f64;
        // Each may have saved one request besides those that its rate allows within a second.
        let most_in_a_second = users as f64 + total_rate;
        if most_in_a_second <= self.in_a_second * (NEAR_EDGES_FRACTION + FAR_EDGES_FRACTION) {
            rate
        } else {
            rate.min(ONE_IN_A_SECOND_RATE)
        }
    }
}

impl Placement {
    /// Returns this edge's share of the rate that a replica bears while it warms up; `None` if the rate is unlimited.
    pub(super) fn warmup_share(&mut self, service: &str, replica_id: &str) -> Option<WarmupShare> {
        let limit = self.warmup_limit(service)?;
        let place = self.edge_place(replica_id);
        Some(place.map_or_else(WarmupShare::default, |place| limit.share(place)))
    }

    fn warmup_limit(&self, service: &str) -> Option<WarmupLimit> {
        let rate = self
            .engines
            .get(service)
            .and_then(|engine| engine.cold_rate)
            .filter(|rate| *rate > 0.0 && self.policy.is_enabled(Mechanism::ColdRamp))?;
        Some(WarmupLimit {
            rate,
            in_a_second: rate * self.bounds.cold_over.max(1.0) + self.bounds.cold_slack,
        })
    }

    /// Returns this edge's place in the agreed order for a replica. Computing it hashes all names of the roster.
    fn edge_place(&mut self, replica_id: &str) -> Option<EdgePlace> {
        let entry = self.replicas.get_mut(replica_id)?;
        if entry.edge_place.is_none() {
            let region = self.latency.region(&entry.view.zone);
            let is_near = |zone: &str| self.latency.region(zone) == region;
            entry.edge_place = self.edges.place(replica_id, is_near);
        }
        entry.edge_place
    }
}
