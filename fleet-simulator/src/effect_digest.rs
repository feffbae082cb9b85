//! A digest of everything that the daemons' state machines of a run asked for, so that two builds can be compared.
//!
//! Log records are left out: their words may change while the behaviour stays. Everything else counts, in its order and
//! with the time at which it was asked for, in the bytes that go over the wire or in a form of its own that does not
//! depend on how the types are named in the code.

use coordination::{
    Effect, Effects, Row, WriteOutcome,
    platform_call::{LeasedCall, PlatformCall},
    rollout::Order,
};
use remote_calls::OrderAction;
use wire_messages::{Envelope, List, Message, Name, Slot, SlotsReply, Voter, encode};
use xxhash_rust::xxh3::Xxh3Default;

use crate::history::Ms;

/// What an effect begins with in the digest.
mod tag {
    pub const SEND: u8 = 1;
    pub const PERSIST: u8 = 2;
    pub const ANSWER: u8 = 3;
    pub const ORDER: u8 = 4;
    pub const PLATFORM_CALL: u8 = 5;
}

/// A running digest of effects.
#[derive(Default)]
pub struct EffectDigest {
    hasher: Xxh3Default,
}

impl EffectDigest {
    /// The digest of all effects so far.
    pub fn value(&self) -> u64 {
        self.hasher.digest()
    }

    /// Takes the effects of one event of the process `by`, at `now`.
    pub fn update(&mut self, by: &str, effects: &Effects, now: Ms) {
        for effect in effects {
            self.effect(by, effect, now);
        }
    }

    fn effect(&mut self, by: &str, effect: &Effect, now: Ms) {
        if matches!(effect, Effect::Log { .. }) {
            return;
        }
        self.text(by);
        self.number(now);
        match effect {
            Effect::Send { to, msg } => self.message(to, msg),
            Effect::Persist { rows, then } => {
                self.byte(tag::PERSIST);
                rows.iter().for_each(|row| self.row(row));
                self.update(by, then, now);
            }
            Effect::WriteFinished { token, outcome } => {
                self.byte(tag::ANSWER);
                self.number(*token);
                self.outcome(*outcome);
            }
            Effect::Order {
                service,
                epoch,
                until,
                order,
            } => {
                self.byte(tag::ORDER);
                self.text(service);
                self.number(*epoch);
                self.number(*until);
                self.order(order);
            }
            Effect::PlatformCall(leased) => self.platform_call(leased),
            Effect::Log { .. } => {}
        }
    }

    /// Takes a message to the process that listens at `to`.
    pub fn message(&mut self, to: &Name, msg: &Message) {
        self.byte(tag::SEND);
        self.text(to);
        let frame = encode(&Envelope {
            from: Name::default(),
            addr: Name::default(),
            msg: msg.clone(),
        });
        self.hasher.update(&frame.unwrap_or_default());
    }

    fn row(&mut self, row: &Row) {
        match row {
            Row::Slot(slot) => self.slots(0, 0, &[], vec![slot.clone()], 0),
            Row::Members {
                member_epoch,
                before,
                voters,
                voting,
                left,
            } => {
                let state = u8::from(*voting) | u8::from(*left) << 1;
                self.slots(*member_epoch, *before, voters, vec![], state);
            }
        }
    }

    /// Rows go in as the message that carries the same.
    fn slots(
        &mut self,
        member_epoch: u32,
        before: u32,
        voters: &[Voter],
        slots: Vec<Slot>,
        voting: u8,
    ) {
        let slots = SlotsReply {
            member_epoch,
            voting,
            previous_voter_count: before,
            voters: List(voters.to_vec()),
            slots: List(slots),
        };
        self.message(&Name::default(), &slots.into());
    }

    fn outcome(&mut self, outcome: WriteOutcome) {
        let (kind, version) = match outcome {
            WriteOutcome::Accepted(version) => (1, version),
            WriteOutcome::Conflict(version) => (2, version),
            WriteOutcome::NotAccepted(_) => (3, 0),
            WriteOutcome::Unknown => (4, 0),
        };
        self.byte(kind);
        self.number(version);
    }

    fn order(&mut self, order: &Order) {
        match order {
            Order::Replica {
                id,
                addr,
                action,
                version,
            } => {
                self.byte(match action {
                    OrderAction::Load => 1,
                    OrderAction::Unload => 2,
                    OrderAction::Drain => 5,
                });
                [id, addr, version]
                    .into_iter()
                    .for_each(|text| self.text(text));
            }
            Order::Start { zone, version } => {
                self.byte(3);
                [zone, version].into_iter().for_each(|text| self.text(text));
            }
            Order::Drain { id } => {
                self.byte(4);
                self.text(id);
            }
        }
    }

    fn platform_call(&mut self, leased: &LeasedCall) {
        self.byte(tag::PLATFORM_CALL);
        self.number(leased.id);
        self.number(leased.epoch);
        self.number(leased.until);
        match &leased.call {
            PlatformCall::ReportUsage(report) => {
                self.byte(1);
                self.number(report.window);
                for count in &report.counts {
                    self.text(&count.tenant);
                    self.number(count.count);
                }
            }
            PlatformCall::SetReplicaCount(replicas) => {
                self.byte(2);
                self.text(&replicas.service);
                self.text(&replicas.zone);
                self.number(replicas.count.into());
            }
        }
    }

    fn byte(&mut self, byte: u8) {
        self.hasher.update(&[byte]);
    }
    fn number(&mut self, number: u64) {
        self.hasher.update(&number.to_be_bytes());
    }
    fn text(&mut self, text: &str) {
        self.number(text.len() as u64);
        self.hasher.update(text.as_bytes());
    }
}
