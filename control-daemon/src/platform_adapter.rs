//! What a platform puts over the control daemon: its own calls, its own spelling of the operator's document, and its
//! own list of replicas. The daemon without one speaks the product's own interface only.

use std::{cell::RefCell, rc::Rc, time::Duration};

use actix_web::web;
use awc::Client;
use coordination::{
    placement::Bucket,
    state_table::{SpecParser, parse_own_spec},
};
use futures_util::future::LocalBoxFuture;
use remote_calls::{Fault, PlatformList};

use daemon_parts::{
    clock,
    limits::{BODY_MAX, PACE_LOOK},
};

/// Asks for the whole list of replicas at an address, each of its calls at its pace.
pub type ListCall =
    fn(Client, String, Rc<Pace>) -> LocalBoxFuture<'static, Result<PlatformList, Fault>>;

/// What this daemon may take of the calls that the platform allows all daemons together.
pub struct Pace(RefCell<Bucket>);

impl Default for Pace {
    fn default() -> Self {
        // Nothing is saved up: a call more at once would count against what the others may.
        Pace(RefCell::new(Bucket::new(0.0, 1.0, clock::now())))
    }
}
impl Pace {
    /// Calls a second from now on.
    pub fn set_rate(&self, rate: f64) {
        self.0.borrow_mut().set_rate(rate, clock::now());
    }
    /// Waits until one more call may be made.
    pub async fn draw(&self) {
        while !self.0.borrow_mut().draw(clock::now()) {
            tokio::time::sleep(PACE_LOOK).await;
        }
    }
}

/// Where the list of replicas comes from.
#[derive(Clone, Copy, Debug)]
pub enum Replicas {
    /// The platform takes our own calls, replicas answer reports and take orders.
    Ownership,
    /// The list tells everything, and replicas take no orders.
    /// `rate`: calls a second that the platform takes from all daemons together. `calm`: how often a list is asked for
    /// that does not change.
    Listed {
        call: ListCall,
        every: Duration,
        calm: Duration,
        rate: f64,
    },
}

#[derive(Clone, Copy)]
pub struct Face {
    pub reader: SpecParser,
    /// Routes beside the product's own.
    pub routes: fn(&mut web::ServiceConfig),
    pub replicas: Replicas,
    /// Largest body of a call, in bytes.
    pub body_max: usize,
}

impl Default for Face {
    fn default() -> Self {
        Face {
            reader: parse_own_spec,
            routes: |_| (),
            replicas: Replicas::Ownership,
            body_max: BODY_MAX,
        }
    }
}
