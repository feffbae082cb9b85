//! The proxy's state machine, shared by the actor that talks to the agent and the HTTP worker: a hop through a mailbox for
//! each event of each stream would cost more than the lock does.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use coordination::proxy::Proxy;

/// The state machine behind its lock.
pub type SharedProxy = Arc<Mutex<Proxy>>;

/// The state machine for one decision; never held across an await.
pub fn lock(proxy: &SharedProxy) -> MutexGuard<'_, Proxy> {
    // A decision that panicked left nothing half done that the next could not read.
    proxy.lock().unwrap_or_else(PoisonError::into_inner)
}
