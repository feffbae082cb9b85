//! How many bytes the server may read from a client's connection before what it has read is used up. The server would
//! buffer much of each connection by itself, and more for small chunks than for large ones.

use std::{
    cell::{Cell, RefCell},
    task::{Context, Waker},
};

/// Bytes of a body that are read before its handler has taken all that came.
const BODY_WINDOW: usize = 8 << 10;
/// The same of a body with a length that goes on as it comes: it comes in few pieces, and a replica that answers before it
/// has read all is to get all.
const UPLOAD_WINDOW: usize = 128 << 10;
/// Bytes that are read beside the head of a request: lines between requests, and what comes right behind the head.
const HEAD_SLACK: usize = 4 << 10;

/// What the bytes are that come next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadPhase {
    /// The head of a request.
    Head,
    /// The body of a request, or requests behind one that is under way.
    Body,
    /// What nobody keeps any more.
    Discarded,
}

/// Whether the server may read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadPermission {
    /// So many bytes.
    Granted(usize),
    /// Not now; the server is woken when it may.
    Later,
    /// The head is longer than heads may be.
    HeadTooLarge,
}

/// Bytes that may be read from one connection.
pub(super) struct ReadWindow {
    phase: Cell<ReadPhase>,
    body_window: Cell<usize>,
    bytes_left: Cell<usize>,
    /// The server has not looked at the bytes that used up the window for a head.
    is_head_unseen: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl ReadWindow {
    /// The window of a new connection, on which a head comes.
    pub fn new(head_bytes_max: usize) -> Self {
        ReadWindow {
            phase: Cell::new(ReadPhase::Head),
            body_window: Cell::new(BODY_WINDOW),
            bytes_left: Cell::new(head_bytes_max + HEAD_SLACK),
            is_head_unseen: Cell::new(true),
            waker: RefCell::default(),
        }
    }

    pub fn open_for_head(&self, head_bytes_max: usize) {
        self.open(ReadPhase::Head, head_bytes_max + HEAD_SLACK);
    }

    /// A request begins whose body comes.
    pub fn begin_body(&self) {
        self.body_window.set(BODY_WINDOW);
        self.open_for_body();
    }

    /// The rest of a body is to be read with the window of an upload.
    pub fn widen_for_upload(&self) {
        self.body_window.set(UPLOAD_WINDOW);
        self.open_for_body();
    }

    pub fn open_for_body(&self) {
        self.open(ReadPhase::Body, self.body_window.get());
    }

    pub fn open_for_discarding(&self) {
        self.open(ReadPhase::Discarded, BODY_WINDOW);
    }

    fn open(&self, phase: ReadPhase, bytes: usize) {
        self.phase.set(phase);
        self.bytes_left.set(bytes);
        self.is_head_unseen.set(true);
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    pub fn permission(&self, context: &Context<'_>) -> ReadPermission {
        match (self.bytes_left.get(), self.phase.get()) {
            (1.., _) => ReadPermission::Granted(self.bytes_left.get()),
            (0, ReadPhase::Head) if self.is_head_unseen.replace(false) => {
                // The head may be complete: the server looks once it has read all that it may.
                context.waker().wake_by_ref();
                ReadPermission::Later
            }
            (0, ReadPhase::Head) => ReadPermission::HeadTooLarge,
            (0, ReadPhase::Body) => {
                self.waker.replace(Some(context.waker().clone()));
                ReadPermission::Later
            }
            (0, ReadPhase::Discarded) => {
                // Others have their turn first.
                self.bytes_left.set(BODY_WINDOW);
                context.waker().wake_by_ref();
                ReadPermission::Later
            }
        }
    }

    pub fn on_read(&self, bytes: usize) {
        self.bytes_left
            .set(self.bytes_left.get().saturating_sub(bytes));
    }
}
