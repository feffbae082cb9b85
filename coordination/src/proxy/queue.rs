//! Requests that wait for a free slot.

use std::collections::VecDeque;

use super::Proxy;
use crate::Ms;

/// Requests that one proxy lets wait for a slot.
pub(super) const QUEUED_REQUESTS_MAX: usize = 64;
/// Percent of its time left that a request may spend waiting for a slot.
const QUEUE_TIME_PERCENT: u64 = 20;
/// Longest wait for a slot: a rejection that comes later does not come at once.
const QUEUE_TIME_MAX: Ms = 600;

/// A request that waits; its caller knows it by the token.
#[derive(Clone, Debug)]
struct QueuedRequest {
    token: u64,
    rank: u32,
    deadline: Ms,
}

/// Requests that wait for a slot, the most urgent first and of equal ranks the oldest.
#[derive(Clone, Debug, Default)]
pub(super) struct SlotQueue {
    requests: VecDeque<QueuedRequest>,
}

impl SlotQueue {
    /// Requests of this rank or a more urgent one.
    pub fn len_through_rank(&self, rank: u32) -> usize {
        self.requests
            .iter()
            .filter(|request| request.rank <= rank)
            .count()
    }

    /// Adds a request; gives the token of one that no longer fits.
    fn push(&mut self, request: QueuedRequest) -> Option<u64> {
        let index = self
            .requests
            .iter()
            .position(|queued| queued.rank > request.rank)
            .unwrap_or(self.requests.len());
        self.requests.insert(index, request);
        if self.requests.len() <= QUEUED_REQUESTS_MAX {
            return None;
        }
        self.requests.pop_back().map(|last| last.token)
    }

    fn remove(&mut self, token: u64) {
        self.requests.retain(|queued| queued.token != token);
    }

    /// Removes the requests whose deadline has passed and gives their tokens.
    fn remove_expired(&mut self, now: Ms) -> Vec<u64> {
        let is_expired = |queued: &&QueuedRequest| queued.deadline <= now;
        let expired = self.requests.iter().filter(is_expired);
        let tokens = expired.map(|queued| queued.token).collect();
        self.requests.retain(|queued| queued.deadline > now);
        tokens
    }

    fn tokens(&self) -> Vec<u64> {
        self.requests.iter().map(|queued| queued.token).collect()
    }
}

impl Proxy {
    /// Lets a request wait for a slot; the least urgent of a full queue gives way. Gives tokens to reject.
    pub fn enqueue(&mut self, token: u64, rank: u32, time_left: Ms, now: Ms) -> Vec<u64> {
        let deadline = now + (time_left * QUEUE_TIME_PERCENT / 100).min(QUEUE_TIME_MAX);
        let request = QueuedRequest {
            token,
            rank,
            deadline,
        };
        self.queue.push(request).into_iter().collect()
    }

    /// A request no longer waits.
    pub fn dequeue(&mut self, token: u64) {
        self.queue.remove(token);
    }

    /// Tokens of requests to assign again, the most urgent first, and tokens of requests whose wait is over.
    pub fn poll_queue(&mut self, now: Ms) -> (Vec<u64>, Vec<u64>) {
        let expired = self.queue.remove_expired(now);
        (self.queue.tokens(), expired)
    }
}
