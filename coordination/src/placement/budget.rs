//! The budget for second rounds, held by every proxy alone so that it holds over all of them in any window: a part
//! of this proxy's own first rounds, and this proxy's part of what is free.

use std::collections::VecDeque;

use crate::{Ms, bounds::Bounds};

/// ms. A slot of the budget's window.
const BUDGET_SLOT: Ms = 500;
/// Part of the budget that is spent: the rest covers daemons that started anew.
const BUDGET_KEPT: f64 = 0.7;

#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    /// Start, first rounds and second rounds of each slot of time, oldest first.
    slots: VecDeque<(Ms, u32, u32)>,
}

impl RetryBudget {
    fn slot(&mut self, now: Ms, window: Ms) -> &mut (Ms, u32, u32) {
        let at = now - now % BUDGET_SLOT;
        // A slot counts until the whole of it has left the window.
        while self
            .slots
            .front()
            .is_some_and(|s| s.0 + window + BUDGET_SLOT < now)
        {
            self.slots.pop_front();
        }
        if self.slots.back().is_none_or(|s| s.0 < at) {
            self.slots.push_back((at, 0, 0));
        }
        let last = self.slots.len() - 1;
        &mut self.slots[last]
    }
    pub fn count_first_attempt(&mut self, b: &Bounds, now: Ms) {
        self.slot(now, b.retry_window).1 += 1;
    }
    /// Draws one second round, if the budget has one. `edges`: proxies that share what is free.
    pub fn try_draw_retry(&mut self, b: &Bounds, edges: usize, now: Ms) -> bool {
        self.slot(now, b.retry_window);
        let (first, second) = self
            .slots
            .iter()
            .fold((0, 0), |a, s| (a.0 + s.1, a.1 + s.2));
        let free = b.retry_slack / edges.max(1) as f64;
        // A part is kept back: windows slide, and a daemon that restarts has forgotten what it drew.
        let may = BUDGET_KEPT * (b.retry_share * f64::from(first) + free);
        if f64::from(second + 1) > may {
            return false;
        }
        self.slot(now, b.retry_window).2 += 1;
        true
    }
}
