use wire_messages::{Accept, Accepted, Blob, Message};

use super::*;
use crate::{Effect, timing::LEASE_DURATION};

mod acceptor;
mod explore;
mod proposer;
mod random_faults;

const VOTER_COUNT: usize = 3;

/// Messages and the addresses of their receivers.
type Sends = Vec<(Name, Message)>;

/// Returns the name of a voter, which is also its address.
fn name(index: usize) -> Name {
    format!("v{index}").into()
}

fn voters() -> Vec<Voter> {
    voters_of(VOTER_COUNT)
}

/// Returns `count` voters.
fn voters_of(count: usize) -> Vec<Voter> {
    (0..count)
        .map(|index| Voter {
            name: name(index),
            disk_id: index as u64 + 1,
            addr: name(index),
            ..Voter::default()
        })
        .collect()
}

/// Returns the members row of a disk that votes under member epoch 1.
fn voting_row() -> Row {
    Row::Members {
        member_epoch: 1,
        before: 0,
        voters: voters(),
        voting: true,
        left: false,
    }
}

/// Returns a voter that has just started with only this row on its disk.
fn voter(index: usize) -> Registers {
    Registers::new(
        name(index),
        index as u64 + 1,
        vec![voting_row()],
        LEASE_DURATION,
        0,
    )
}

fn accept(key: &str, epoch: u64, version: u64, value: &str) -> Accept {
    Accept {
        key: key.into(),
        epoch,
        version,
        value: Blob(value.into()),
        replaced: List::default(),
        member_epoch: 1,
    }
}

/// Returns the reply to an accept among the effects.
fn accepted_reply(out: &Effects) -> Option<Accepted> {
    sync(&mut vec![], out.clone())
        .into_iter()
        .find_map(|(_, message)| match message {
            Message::Accepted(reply) => Some(reply),
            _ => None,
        })
}

fn slot<'a>(registers: &'a Registers, key: &str) -> &'a Slot {
    registers.slots.get(key).unwrap()
}

/// Returns the key under which the simulated disk of these tests stores a row.
fn row_key(row: &Row) -> String {
    match row {
        Row::Slot(slot) => slot.key.to_string(),
        Row::Members { .. } => "members".into(),
    }
}

/// Syncs all rows to a disk, and returns the messages that are sent.
fn sync(disk: &mut Vec<Row>, out: Effects) -> Sends {
    let mut sends = vec![];
    for effect in out {
        match effect {
            Effect::Send { to, msg } => sends.push((to, msg)),
            Effect::Persist { rows, then } => {
                disk.extend(rows);
                sends.extend(sync(disk, then));
            }
            _ => {}
        }
    }
    sends
}
