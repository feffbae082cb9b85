//! A command that inspects what an actor owns, and may change it, in the owner's own turn.

use actix::Message;
use coordination::Ms;

type Inspection<A, T> = Box<dyn FnOnce(&mut A, Ms) -> T + Send>;

/// Runs a function on the actor's state with the time.
pub struct Inspect<A, T>(pub Inspection<A, T>);

impl<A, T: Send + 'static> Message for Inspect<A, T> {
    /// An error where the owner has no state at the moment.
    type Result = Result<T, ()>;
}
