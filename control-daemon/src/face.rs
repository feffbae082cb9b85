//! What a platform puts over the control daemon: its own calls, its own spelling of the operator's document, and its
//! own list of replicas. The daemon without one speaks the product's own interface only.

use std::time::Duration;

use actix_web::web;
use awc::Client;
use coordination::board::{SpecReader, own_spec};
use futures_util::future::LocalBoxFuture;
use remote_calls::{Fault, PlatformList};

use daemon_parts::limits::BODY_MAX;

/// Asks for the whole list of replicas at an address.
pub type ListCall = fn(Client, String) -> LocalBoxFuture<'static, Result<PlatformList, Fault>>;

/// Where the list of replicas comes from.
#[derive(Clone, Copy, Debug)]
pub enum Replicas {
    /// The platform takes our own calls, replicas answer reports and take orders.
    Own,
    /// The list tells everything, and replicas take no orders.
    Listed { call: ListCall, every: Duration, calm: Duration },
}

#[derive(Clone, Copy)]
pub struct Face {
    pub reader: SpecReader,
    /// Routes beside the product's own.
    pub routes: fn(&mut web::ServiceConfig),
    pub replicas: Replicas,
    /// Largest body of a call, in bytes.
    pub body_max: usize,
}

impl Default for Face {
    fn default() -> Self {
        Face { reader: own_spec, routes: |_| (), replicas: Replicas::Own, body_max: BODY_MAX }
    }
}
