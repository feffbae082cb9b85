//! Downstreams' channels: how long each may rest, take for a request's head, and be held by one request. One task
//! looks them over, for the spec that says so changes while channels are open, and a downstream that reads nothing
//! keeps its own answer from ever looking at the time.

use std::{
    any::Any,
    cell::{Cell, RefCell},
    net::Shutdown,
    rc::{Rc, Weak},
    time::Duration,
};

use actix_web::{dev::Extensions, rt::net::TcpStream};
use coordination::Ms;
use daemon_parts::{
    clock,
    limits::{
        DOWNSTREAM_HEAD, DOWNSTREAM_IDLE, DOWNSTREAM_LATE, DOWNSTREAM_LOOK, DOWNSTREAM_SLEPT,
        DOWNSTREAM_TAKEN_UP, LATE_SLACK,
    },
};
use remote_calls::DownstreamLimits;
use socket2::{SockRef, Socket};

use crate::shared::{SharedProxy, lock};

/// What a channel does, since or until when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It has carried nothing yet.
    New(Ms),
    Rests(Ms),
    /// It carries a request until then at the most.
    Carries(Ms),
}

/// One downstream's channel.
pub struct Downstream {
    socket: Socket,
    state: Cell<State>,
    /// The last look found its time over.
    over: Cell<bool>,
}

impl State {
    /// When the channel is to be closed.
    pub fn ends(self, l: &DownstreamLimits) -> Ms {
        let or = |told: Ms, or: Ms| if told > 0 { told } else { or };
        let (head, idle) = (
            or(l.header_ms, DOWNSTREAM_HEAD),
            or(l.idle_ms, DOWNSTREAM_IDLE),
        );
        match self {
            State::New(at) => at.saturating_add(head),
            // A head that begins when the channel may still be taken up has its whole time.
            State::Rests(at) => at.saturating_add(idle.max(idle / 5 * DOWNSTREAM_TAKEN_UP + head)),
            State::Carries(until) => until.saturating_add(LATE_SLACK),
        }
    }
    /// The same after a sleep of the whole process, in which the downstream could not be heard.
    pub fn woke(self, now: Ms) -> Self {
        match self {
            State::New(_) => State::New(now),
            State::Rests(_) => State::Rests(now),
            State::Carries(_) => self,
        }
    }
}

/// One request on a downstream's channel, until its answer has ended.
pub struct Held(Rc<Downstream>);
impl Held {
    pub fn new(d: &Rc<Downstream>) -> Self {
        d.state.set(State::Carries(Ms::MAX));
        d.over.set(false);
        Held(d.clone())
    }
    pub fn until(&self, t: Ms) {
        self.0.state.set(State::Carries(t));
    }
}
impl Drop for Held {
    fn drop(&mut self) {
        self.0.state.set(State::Rests(clock::now()));
    }
}

#[derive(Default)]
struct Watch {
    all: RefCell<Vec<Weak<Downstream>>>,
    looks: Cell<bool>,
}

thread_local! {
    /// A worker's own channels.
    static WATCH: Rc<Watch> = Rc::default();
}

/// A downstream has opened a channel.
pub fn connected(brain: &SharedProxy, io: &dyn Any, ext: &mut Extensions) {
    let Some(s) = io.downcast_ref::<TcpStream>() else {
        return;
    };
    // Without another handle on it the channel cannot be watched; it serves all the same.
    let Ok(socket) = SockRef::from(s).try_clone() else {
        return;
    };
    let d = Rc::new(Downstream {
        socket,
        state: Cell::new(State::New(clock::now())),
        over: Cell::new(false),
    });
    let w = WATCH.with(Rc::clone);
    w.all.borrow_mut().push(Rc::downgrade(&d));
    ext.insert(d);
    if !w.looks.replace(true) {
        actix_rt::spawn(look(w, brain.clone()));
    }
}

/// The looks at downstreams' channels, by when each came.
#[derive(Clone, Copy, Debug)]
pub struct Looks {
    last: Ms,
    late: bool,
    slept: bool,
}

impl Looks {
    pub fn new(now: Ms) -> Self {
        Looks {
            last: now,
            late: false,
            slept: false,
        }
    }
    pub fn at(&mut self, now: Ms) {
        let gone = now.saturating_sub(std::mem::replace(&mut self.last, now));
        self.late = gone > DOWNSTREAM_LATE;
        // Never twice in a row: what was sent in the first sleep has been read by now, and a machine that is slow for
        // long still ends what rests.
        self.slept = gone > DOWNSTREAM_SLEPT && !self.slept;
    }
    /// What a channel does now that this process runs again.
    pub fn state(&self, s: State) -> State {
        if self.slept { s.woke(self.last) } else { s }
    }
    /// Whether a channel is over, and whether it is to be closed; `before`: the last look found it over too.
    pub fn over(&self, s: State, l: &DownstreamLimits, before: bool) -> (bool, bool) {
        let over = self.last >= s.ends(l);
        // A look that comes late comes with timers that were due since: a request whose time ran out still says so.
        let first = self.late && !before && matches!(s, State::Carries(_));
        (over, over && !first)
    }
}

/// Looks channels over for as long as there are any.
async fn look(w: Rc<Watch>, brain: SharedProxy) {
    let mut looks = Looks::new(clock::now());
    while !w.all.borrow().is_empty() {
        tokio::time::sleep(Duration::from_millis(DOWNSTREAM_LOOK)).await;
        looks.at(clock::now());
        let limits = lock(&brain).client_limits().cloned().unwrap_or_default();
        w.all.borrow_mut().retain(|d| {
            let Some(d) = d.upgrade() else { return false };
            d.state.set(looks.state(d.state.get()));
            let (over, close) = looks.over(d.state.get(), &limits, d.over.get());
            d.over.set(over);
            if close {
                let _ = d.socket.shutdown(Shutdown::Both);
            }
            !close
        });
    }
    w.looks.set(false);
}
