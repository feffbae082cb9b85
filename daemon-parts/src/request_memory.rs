//! One budget of memory for all requests of a process. What a request holds is drawn from it before it is allocated and
//! returned when the request's [`RequestLease`] is dropped.
//!
//! When the budget is exhausted, requests whose clients have stopped sending are shed first, the largest first; only if
//! that frees too little is the request refused that needs more. A part of the budget is reserved for small requests, so
//! that large ones cannot keep ordinary callers out.

use std::{
    cell::Cell,
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use coordination::Ms;
use futures_util::task::AtomicWaker;
use tokio::sync::Notify;

use crate::{clock, process_limits::ProcessLimits};

/// Percent of the budget that only small requests may draw.
const SMALL_RESERVE_PERCENT: u64 = 25;
/// Bytes up to which a request is small: an ordinary prompt.
pub const SMALL_REQUEST_BYTES: u64 = 64 << 10;
/// Time in which a client must have sent `PROGRESS_BYTES` or the rest of its body, in ms, or its request may be shed.
pub const STALLED_AFTER: Ms = 1_000;
/// Bytes that count as progress: a client that sends one byte a second makes none.
const PROGRESS_BYTES: u64 = 8 << 10;
/// Time for shed requests to return their memory.
const SHED_TIME: Duration = Duration::from_millis(100);

/// The budget has too little left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutOfMemory;

/// Tells a request that it is shed.
#[derive(Default)]
struct ShedSignal {
    is_shed: AtomicBool,
    waker: AtomicWaker,
}

impl ShedSignal {
    fn send(&self) {
        self.is_shed.store(true, Ordering::Release);
        self.waker.wake();
    }

    fn poll(&self, context: &mut Context<'_>) -> Poll<()> {
        self.waker.register(context.waker());
        if self.is_shed.load(Ordering::Acquire) {
            Poll::Ready(())
        } else {
            Poll::Pending
        }
    }
}

/// A request whose client has not sent all of it.
struct IncomingRequest {
    held: u64,
    /// Since when the client has made no progress.
    stalled_since: Ms,
    /// It goes to a replica while it comes, and holds a connection and a slot there.
    is_streaming: bool,
    signal: Arc<ShedSignal>,
}

impl IncomingRequest {
    fn is_stalled(&self, now: Ms) -> bool {
        now.saturating_sub(self.stalled_since) >= STALLED_AFTER
    }
}

/// Figures of the budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemoryFigures {
    /// Bytes that are drawn.
    pub drawn: u64,
    /// Requests that were refused because the budget had too little left.
    pub refused: u64,
    /// Requests that were shed because their clients had stopped sending.
    pub shed: u64,
}

#[derive(Default)]
struct Ledger {
    figures: MemoryFigures,
    /// Most bytes that were drawn at once since the peak was last taken.
    peak: u64,
    next_id: u64,
    incoming: BTreeMap<u64, IncomingRequest>,
}

impl Ledger {
    /// Sheds stalled requests, the largest first, until they hold as many bytes together. Returns whether any was shed.
    fn shed(&mut self, bytes: u64, now: Ms) -> bool {
        let mut freed = 0;
        while freed < bytes {
            let stalled = self.incoming.iter().filter(|entry| entry.1.is_stalled(now));
            let Some(id) = stalled
                .max_by_key(|entry| entry.1.held)
                .map(|entry| *entry.0)
            else {
                break;
            };
            freed += self.shed_one(id).max(1);
        }
        freed > 0
    }

    fn shed_one(&mut self, id: u64) -> u64 {
        let Some(request) = self.incoming.remove(&id) else {
            return 0;
        };
        self.figures.shed += 1;
        request.signal.send();
        request.held
    }
}

struct Shared {
    capacity: u64,
    ledger: Mutex<Ledger>,
    returned: Notify,
}

/// The budget, shared by all threads that receive requests.
#[derive(Clone)]
pub struct RequestMemory(Arc<Shared>);

impl RequestMemory {
    /// A budget as the limits of the process allow it.
    #[must_use]
    pub fn new(limits: ProcessLimits) -> Self {
        Self::with_capacity(limits.request_bytes())
    }

    /// A budget of so many bytes.
    #[must_use]
    pub fn with_capacity(capacity: u64) -> Self {
        RequestMemory(Arc::new(Shared {
            capacity,
            ledger: Mutex::default(),
            returned: Notify::new(),
        }))
    }

    /// The figures of now.
    #[must_use]
    pub fn figures(&self) -> MemoryFigures {
        self.ledger().figures
    }

    /// The most bytes that were drawn at once since this was last called.
    #[must_use]
    pub fn take_peak(&self) -> u64 {
        let mut ledger = self.ledger();
        let drawn = ledger.figures.drawn;
        std::mem::replace(&mut ledger.peak, drawn)
    }

    /// Begins the account of a request that comes in. It holds nothing yet.
    #[must_use]
    pub fn lease(&self) -> RequestLease {
        let signal = Arc::default();
        let mut ledger = self.ledger();
        ledger.next_id += 1;
        let id = ledger.next_id;
        let request = IncomingRequest {
            held: 0,
            stalled_since: clock::now(),
            is_streaming: false,
            signal: Arc::clone(&signal),
        };
        ledger.incoming.insert(id, request);
        RequestLease {
            memory: self.clone(),
            id,
            held: 0,
            unmarked_bytes: Cell::new(0),
            signal,
        }
    }

    /// Sheds one streaming request whose client has stopped sending, the one that stopped first: what it holds of a replica
    /// is needed by another request.
    pub fn shed_stalled_stream(&self) {
        let now = clock::now();
        let mut ledger = self.ledger();
        let streams = ledger.incoming.iter();
        let stalled = streams.filter(|entry| entry.1.is_streaming && entry.1.is_stalled(now));
        let oldest = stalled
            .min_by_key(|entry| entry.1.stalled_since)
            .map(|entry| *entry.0);
        if let Some(id) = oldest {
            ledger.shed_one(id);
        }
    }

    fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.0.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Bytes that a request may leave drawn when it holds `held` itself.
    fn capacity_for(&self, held: u64) -> u64 {
        if held <= SMALL_REQUEST_BYTES {
            self.0.capacity
        } else {
            self.0.capacity * (100 - SMALL_RESERVE_PERCENT) / 100
        }
    }
}

/// What one request holds of the budget. Dropping it returns all.
pub struct RequestLease {
    memory: RequestMemory,
    id: u64,
    held: u64,
    /// Bytes that came since the client's progress was last marked.
    unmarked_bytes: Cell<u64>,
    signal: Arc<ShedSignal>,
}

impl RequestLease {
    /// Raises what the request holds to so many bytes. If the budget has too little left, stalled requests are shed.
    ///
    /// # Errors
    /// If that frees too little; what the request held before, it still holds.
    pub async fn hold(&mut self, bytes: u64) -> Result<(), OutOfMemory> {
        if bytes <= self.held || self.try_hold(bytes) {
            return Ok(());
        }
        let wanted = bytes - self.held;
        if self.memory.ledger().shed(wanted, clock::now()) && self.hold_returned(bytes).await {
            return Ok(());
        }
        self.memory.ledger().figures.refused += 1;
        Err(OutOfMemory)
    }

    /// Waits for shed requests to return their memory. Says whether it was enough.
    async fn hold_returned(&mut self, bytes: u64) -> bool {
        let shared = Arc::clone(&self.memory.0);
        let held = async {
            loop {
                let returned = shared.returned.notified();
                if self.try_hold(bytes) {
                    return;
                }
                returned.await;
            }
        };
        tokio::time::timeout(SHED_TIME, held).await.is_ok()
    }

    /// Raises what the request holds, if the budget has as much left. `bytes`: more than it holds.
    fn try_hold(&mut self, bytes: u64) -> bool {
        let more = bytes - self.held;
        let capacity = self.memory.capacity_for(bytes);
        let memory = self.memory.clone();
        let mut ledger = memory.ledger();
        if ledger.figures.drawn + more > capacity {
            return false;
        }
        ledger.figures.drawn += more;
        ledger.peak = ledger.peak.max(ledger.figures.drawn);
        self.held = bytes;
        if let Some(request) = ledger.incoming.get_mut(&self.id) {
            request.held = bytes;
        }
        true
    }

    /// Bytes of the request came.
    pub fn on_received(&self, bytes: u64) {
        let unmarked_bytes = self.unmarked_bytes.get() + bytes;
        if unmarked_bytes < PROGRESS_BYTES {
            return self.unmarked_bytes.set(unmarked_bytes);
        }
        self.unmarked_bytes.set(0);
        if let Some(request) = self.memory.ledger().incoming.get_mut(&self.id) {
            request.stalled_since = clock::now();
        }
    }

    /// The request goes to a replica while it comes.
    pub fn set_streaming(&self) {
        if let Some(request) = self.memory.ledger().incoming.get_mut(&self.id) {
            request.is_streaming = true;
        }
    }

    /// All of the request has come: it is not shed any more.
    pub fn complete(&self) {
        self.memory.ledger().incoming.remove(&self.id);
    }

    /// Ready once the request is shed.
    pub fn poll_shed(&self, context: &mut Context<'_>) -> Poll<()> {
        self.signal.poll(context)
    }
}

impl Drop for RequestLease {
    fn drop(&mut self) {
        {
            let mut ledger = self.memory.ledger();
            ledger.incoming.remove(&self.id);
            ledger.figures.drawn -= self.held;
        }
        self.memory.0.returned.notify_waiters();
    }
}
