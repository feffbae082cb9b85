//! Queue of requests that wait for a free slot.

use std::collections::VecDeque;

use super::Proxy;
use crate::Ms;

/// Maximum number of requests queued at one proxy.
pub(super) const QUEUED_REQUESTS_MAX: usize = 64;
/// Percentage of its remaining time that a request may spend in the queue.
const QUEUE_TIME_PERCENT: u64 = 20;
/// Longest wait for a slot in ms, so that a rejection still comes promptly.
const QUEUE_TIME_MAX: Ms = 600;

/// A queued request; the token identifies it to the code that queued it.
#[derive(Clone, Debug)]
struct QueuedRequest {
    token: u64,
    rank: u32,
    deadline: Ms,
}

/// Queued requests, ordered by urgency and then by age, the oldest first.
#[derive(Clone, Debug, Default)]
pub(super) struct SlotQueue {
    requests: VecDeque<QueuedRequest>,
}

impl SlotQueue {
    /// Returns the number of queued requests of this rank or a more urgent one.
    pub fn len_through_rank(&self, rank: u32) -> usize {
        self.requests
            .iter()
            .filter(|request| request.rank <= rank)
            .count()
    }

    /// Adds a request; returns the token of the request dropped if the queue is full.
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

    /// Removes the requests whose deadline has passed and returns their tokens.
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
    /// Queues a request; a full queue drops its least urgent request. Returns the tokens of requests to reject.
    pub fn enqueue(&mut self, token: u64, rank: u32, time_left: Ms, now: Ms) -> Vec<u64> {
        let deadline = now + (time_left * QUEUE_TIME_PERCENT / 100).min(QUEUE_TIME_MAX);
        let request = QueuedRequest {
            token,
            rank,
            deadline,
        };
        self.queue.push(request).into_iter().collect()
    }

    /// Removes a request from the queue.
    pub fn dequeue(&mut self, token: u64) {
        self.queue.remove(token);
    }

    /// Returns the tokens of requests to try to assign again, the most urgent first, and those of requests whose wait
    /// timed out.
    pub fn poll_queue(&mut self, now: Ms) -> (Vec<u64>, Vec<u64>) {
        let expired = self.queue.remove_expired(now);
        (self.queue.tokens(), expired)
    }
}
