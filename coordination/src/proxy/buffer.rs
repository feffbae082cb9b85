//! Second rounds, and requests that wait for a place.

use super::{Proxy, Waiting};
use crate::{Ms, policy::Mechanism};

/// Percent of first rounds that may be second rounds.
const SECOND_ROUNDS: u64 = 5;
/// Second rounds a proxy may always spend, so that a quiet fleet can retry at all.
pub(crate) const SECOND_ROUNDS_FREE: u64 = 2;
/// Requests one proxy lets wait for a place.
pub(crate) const WAITING: usize = 64;
/// Percent of its time left that a request may spend waiting for a place.
const WAIT_PERCENT: u64 = 20;
/// ms. Longest wait for a place: a rejection that comes later is no answer at once.
const WAIT_MAX: Ms = 600;

impl Proxy {
    /// Whether a second round may be made: a small share of first rounds, and a few for free.
    /// None for a tier that a better one presses back: what is left is that one's.
    pub fn try_draw_named_retry(&mut self, rank: u32, now: Ms) -> bool {
        if self.budget < 100 || !self.has(Mechanism::SecondRounds) || self.pressing(rank, now) > 0 {
            self.count("second_rounds_denied");
            return false;
        }
        self.budget -= 100;
        self.count("second_rounds");
        true
    }

    pub fn count_first_attempt(&mut self) {
        // Nothing is saved up beyond the few: a quiet hour must not pay for a burst when replicas fail.
        self.budget = (self.budget + SECOND_ROUNDS).min(SECOND_ROUNDS_FREE * 100);
        self.count("first_rounds");
    }

    /// Lets a request wait for a place; the worst of a full buffer gives way. Gives tokens to reject.
    pub fn enqueue(&mut self, token: u64, rank: u32, time_left: Ms, now: Ms) -> Vec<u64> {
        let until = now + (time_left * WAIT_PERCENT / 100).min(WAIT_MAX);
        let at = self
            .waiting
            .iter()
            .position(|w| w.rank > rank)
            .unwrap_or(self.waiting.len());
        self.waiting.insert(at, Waiting { token, rank, until });
        if self.waiting.len() <= WAITING {
            return vec![];
        }
        self.waiting
            .pop_back()
            .map(|w| w.token)
            .into_iter()
            .collect()
    }

    pub fn dequeue(&mut self, token: u64) {
        self.waiting.retain(|w| w.token != token);
    }

    /// Tokens to try again, best first, and tokens whose wait is over.
    pub fn poll_queue(&mut self, now: Ms) -> (Vec<u64>, Vec<u64>) {
        let late: Vec<u64> = self
            .waiting
            .iter()
            .filter(|w| w.until <= now)
            .map(|w| w.token)
            .collect();
        self.waiting.retain(|w| w.until > now);
        (self.waiting.iter().map(|w| w.token).collect(), late)
    }
}
