//! A command that reads or changes the state of an actor while the actor handles the message.

use actix::Message;
use coordination::Ms;

type Inspection<A, T> = Box<dyn FnOnce(&mut A, Ms) -> T + Send>;

/// Runs a function with the actor's state and the current time.
pub struct Inspect<A, T>(pub Inspection<A, T>);

impl<A, T: Send + 'static> Message for Inspect<A, T> {
    /// An error if the actor has no state at the moment.
    type Result = Result<T, ()>;
}
