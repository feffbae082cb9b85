//! A command that looks at what an actor owns, and may change it, in the owner's own turn.

use actix::Message;
use coordination::Ms;

type Glance<A, T> = Box<dyn FnOnce(&mut A, Ms) -> T + Send>;

pub struct Look<A, T>(pub Glance<A, T>);

impl<A, T: Send + 'static> Message for Look<A, T> {
    /// Err: the owner has nothing to look at now.
    type Result = Result<T, ()>;
}
