//! Embeds the coordination parts alone: one voter of one, driven by hand. A shell does three things: it gives
//! messages and time to the brain, syncs what is to be synced, and carries out what comes after.
//!
//!     cargo run -p coordination --example embed

use std::collections::{BTreeMap, VecDeque};

use coordination::{
    Effect, Effects, Row, WriteOutcome,
    control::{Control, ControlConfig},
};
use wire_messages::{Message, Name};

/// A disk that keeps what it is given. A real one syncs before it says so.
#[derive(Default)]
struct Disk(BTreeMap<String, Row>);

impl Disk {
    fn keep(&mut self, rows: Vec<Row>) {
        for r in rows {
            let k = if let Row::Slot(s) = &r {
                s.key.to_string()
            } else {
                "members".into()
            };
            self.0.insert(k, r);
        }
    }
}

/// Carries out effects; messages to itself wait in `inbox`. Gives what became of a write.
fn carry(
    out: Effects,
    disk: &mut Disk,
    inbox: &mut VecDeque<(Name, Message)>,
) -> Option<WriteOutcome> {
    let mut ended = None;
    for e in out {
        match e {
            Effect::Send { to, msg } => inbox.push_back((to, msg)),
            Effect::Persist { rows, then } => {
                disk.keep(rows);
                ended = carry(then, disk, inbox).or(ended);
            }
            Effect::WriteFinished { outcome, .. } => ended = Some(outcome),
            Effect::Log { event, text, .. } => println!("{} {} {text}", event.number, event.name),
            Effect::Order { .. } | Effect::PlatformCall(_) => {}
        }
    }
    ended
}

fn main() {
    let p = ControlConfig {
        name: "one".into(),
        zone: "z".into(),
        addr: "one".into(),
        http_addr: "".into(),
        members: vec!["one".into()],
        seeds: vec![],
        regions: Default::default(),
        spec_parser: coordination::state_table::parse_native_spec,
        bootstrap: false,
        bounds: Default::default(),
    };
    let (mut disk, mut inbox) = (Disk::default(), VecDeque::new());
    let mut brain = Control::new(p.clone(), 7, vec![], 1, 0);
    let mut written = None;
    for now in (50..10_000).step_by(50) {
        carry(brain.tick(now), &mut disk, &mut inbox);
        if brain.is_settled() && written.is_none() {
            let (_, out) = brain.write("greeting", None, b"hello".to_vec(), now);
            written = carry(out, &mut disk, &mut inbox);
        }
        while let Some((to, msg)) = inbox.pop_front() {
            written =
                carry(brain.on_message(&to, &to, msg, now), &mut disk, &mut inbox).or(written);
        }
        if written.is_some() {
            break;
        }
    }
    println!("{written:?}");
    // Another life with the same disk has it still.
    let again = Control::new(p, 7, disk.0.into_values().collect(), 2, 20_000);
    let held = again
        .state_table()
        .get("greeting")
        .map(|c| String::from_utf8_lossy(&c.value.0).into_owned());
    println!("after a restart: {held:?}");
    assert_eq!(
        (written, held.as_deref()),
        (Some(WriteOutcome::Accepted(1)), Some("hello"))
    );
}
