//! Whether a history of operators' calls to one key could be that of a single register.
//!
//! Each accepted value has a version of its own and versions rise by one, so the order of a linearization is given: that
//! of versions. A history is linearizable if and only if no call contradicts that order: what a call was told is not
//! older than what any call before it was told, and nothing is told of an order before that was given. An order that is
//! sent again is one order; it may take effect once, between its first call and the first word of it. One without a clear
//! answer may take effect at any time or never, one that was refused never does.

use std::collections::BTreeMap;

use coordination::{Ms, WriteOutcome};

/// What a call was told, as its caller heard it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Told {
    /// The order stands or stood as this version, or this version is the newest.
    Version(u64),
    /// Another order came first; this version stands, where that was told.
    Refused(Option<u64>),
    /// Not taken, taken or lost: nothing is known.
    Unclear,
}

impl From<WriteOutcome> for Told {
    fn from(o: WriteOutcome) -> Self {
        match o {
            WriteOutcome::Accepted(v) => Told::Version(v),
            WriteOutcome::Conflict(v) => Told::Refused(Some(v)),
            WriteOutcome::NotAccepted(_) | WriteOutcome::Unknown => Told::Unclear,
        }
    }
}

#[derive(Clone, Debug)]
pub struct Call {
    /// The order's number; none for a reading.
    pub order: Option<usize>,
    pub began: Ms,
    pub ended: Ms,
    pub told: Told,
}

/// An order of an operator.
#[derive(Clone, Debug)]
pub struct Order {
    pub value: Vec<u8>,
    /// It is compared with nothing: told as accepted where its value stands already, and an order of its own each time.
    pub unconditional: bool,
}

#[derive(Clone, Debug, Default)]
pub struct History {
    pub orders: Vec<Order>,
    pub calls: Vec<Call>,
    /// Values seen under a version, wherever they were seen as committed, and when first.
    pub seen: BTreeMap<u64, (Vec<u8>, Ms)>,
    pub wrong: Vec<String>,
}

impl History {
    /// Takes down what some daemon holds for committed.
    pub fn see(&mut self, version: u64, value: &[u8], now: Ms) {
        let (known, first) = self
            .seen
            .entry(version)
            .or_insert_with(|| (value.to_vec(), now));
        *first = now.min(*first);
        if known != value {
            self.wrong.push(format!("version {version} has two values"));
        }
    }

    /// All that is wrong with it.
    pub fn faults(&self) -> Vec<String> {
        let mut wrong = self.wrong.clone();
        for (i, c) in self.calls.iter().enumerate() {
            self.old_news(i, c, &mut wrong);
            self.own_value(i, c, &mut wrong);
        }
        self.refusals(&mut wrong);
        self.told_too_soon(&mut wrong);
        wrong
    }

    /// A call is told of nothing older than any call that ended before it began.
    fn old_news(&self, i: usize, c: &Call, wrong: &mut Vec<String>) {
        let told = match c.told {
            // An order that is sent again keeps its version, however much came after it.
            Told::Version(v) if c.order.is_none_or(|o| self.orders[o].unconditional) => v,
            Told::Refused(Some(v)) => v,
            _ => return,
        };
        let before = |b: &&Call| {
            b.ended < c.began
                && matches!(b.told, Told::Version(v) | Told::Refused(Some(v)) if v > told)
        };
        if let Some(b) = self.calls.iter().find(before) {
            wrong.push(format!("call {i} {c:?} is told less than {b:?}"));
        }
    }

    /// An order is accepted as a version that has its value, and no other order's.
    fn own_value(&self, i: usize, c: &Call, wrong: &mut Vec<String>) {
        let (Some(o), Told::Version(v)) = (c.order, c.told) else {
            return;
        };
        if self
            .seen
            .get(&v)
            .is_some_and(|(value, _)| *value != self.orders[o].value)
        {
            wrong.push(format!(
                "call {i} {c:?} is accepted as a version of another value"
            ));
        }
        let other = |b: &&Call| match (b.order, b.told) {
            (Some(p), Told::Version(w)) if p == o && !self.orders[o].unconditional => w != v,
            (Some(p), Told::Version(w)) => w == v && self.orders[p].value != self.orders[o].value,
            _ => false,
        };
        if let Some(b) = self.calls.iter().find(other) {
            wrong.push(format!("call {i} {c:?} and {b:?} cannot both be"));
        }
    }

    /// What was refused once was never accepted and never stands.
    fn refusals(&self, wrong: &mut Vec<String>) {
        for c in self
            .calls
            .iter()
            .filter(|c| matches!(c.told, Told::Refused(_)))
        {
            let Some(o) = c.order else { continue };
            let accepted = self
                .calls
                .iter()
                .any(|b| b.order == Some(o) && matches!(b.told, Told::Version(_)));
            let stands = self.seen.values().any(|(v, _)| *v == self.orders[o].value);
            if accepted || (stands && !self.orders[o].unconditional) {
                wrong.push(format!("{c:?} was refused, and accepted or in force"));
            }
        }
    }

    /// Nothing stands before it was asked for.
    fn told_too_soon(&self, wrong: &mut Vec<String>) {
        for (version, (value, at)) in &self.seen {
            let given = |c: &&Call| {
                c.order.is_some_and(|o| self.orders[o].value == *value) && c.began <= *at
            };
            if !self.calls.iter().any(|c| given(&c)) {
                wrong.push(format!("version {version} stands and nobody asked for it"));
            }
        }
    }
}
