//! Executes the effects of the state machine.

use actix::prelude::*;
use coordination::{Effect, Effects, Row, WriteOutcome};
use daemon_parts::{clock, logging::event};

use super::{ControlActor, orders::LeasedOrder};

impl ControlActor {
    pub(super) fn execute(&mut self, effects: Effects, ctx: &mut Context<Self>) {
        for effect in effects {
            match effect {
                Effect::Send { to, msg } => {
                    if let Some(channels) = &mut self.channels {
                        channels.send(&to, msg);
                    }
                }
                Effect::Persist { rows, then } => self.persist(rows, then, ctx),
                Effect::WriteFinished { token, outcome } => self.finish_call(token, outcome),
                Effect::Order {
                    service,
                    epoch,
                    until,
                    order,
                } => self.send_order(
                    LeasedOrder {
                        service,
                        epoch,
                        lease_until: until,
                        order,
                    },
                    ctx,
                ),
                Effect::PlatformCall(leased) => self.send_platform_call(leased, ctx),
                Effect::Log {
                    event: logged,
                    peer,
                    text,
                } => event(logged, &peer, &text),
            }
        }
    }

    fn finish_call(&mut self, token: u64, outcome: WriteOutcome) {
        if let Some(caller) = self.pending_calls.remove(&token) {
            // The caller may have stopped waiting.
            let _ = caller.send(outcome);
        }
    }

    /// Syncs rows, then executes the effects that depend on them.
    fn persist(&mut self, rows: Vec<Row>, then: Effects, ctx: &mut Context<Self>) {
        let sync = self.lifecycle.begin_sync(clock::now());
        let synced = self.disk.sync(rows).into_actor(self);
        ctx.spawn(synced.map(move |result, actor, ctx| {
            let is_current = actor.lifecycle.end_sync(sync);
            match result {
                // Effects of an earlier state machine are dropped.
                Ok(()) if is_current => actor.execute(then, ctx),
                Ok(()) => {}
                Err(report) => actor.on_disk_failed(&format!("{report:?}")),
            }
        }));
    }
}
