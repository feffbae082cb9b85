//! Pushes of committed values from a control daemon to edges: a long value is sent to each edge that lacks it, once, by
//! the nearest daemon.

mod support;

use coordination::{
    Effect, Ms,
    control::{ASSUMED_BYTES_PER_MS, Control, PUSH_TIMEOUT},
    membership::NodeRole,
    register::Expect,
    timing::TICK_INTERVAL,
    wire::{Heartbeat, Message, Node, Poll, Update},
};
use googletest::prelude::*;
use support::{
    agents::node,
    lone_control::{self, DISK_ID, NAME},
};

/// Size of a long value in bytes.
const LONG_VALUE_BYTES: usize = 30_000;

/// A control daemon that is the only voter; it receives its own messages at once.
struct LoneControl {
    control: Control,
    now: Ms,
    /// Zone of the agent that polls it.
    agent_zone: &'static str,
}

impl LoneControl {
    /// Creates a settled daemon that is polled by an agent in a zone.
    fn polled_from(agent_zone: &'static str) -> Self {
        let mut lone = LoneControl {
            control: Control::new(lone_control::config(), DISK_ID, vec![], 1, 0),
            now: 0,
            agent_zone,
        };
        for _ in 0..200 {
            lone.tick();
        }
        lone
    }

    /// Executes effects at once and returns the updates that are sent to others.
    fn carry_out(&mut self, mut effects: Vec<Effect>) -> Vec<Update> {
        let mut updates = vec![];
        while let Some(effect) = effects.pop() {
            match effect {
                Effect::Send { to, msg } if &*to == NAME => {
                    effects.extend(self.control.on_message(&to, &to, msg, self.now));
                }
                Effect::Send {
                    msg: Message::Update(update),
                    ..
                } => updates.push(update),
                Effect::Persist { then, .. } => effects.extend(then),
                _ => {}
            }
        }
        updates
    }

    fn tick(&mut self) -> Vec<Update> {
        self.now += TICK_INTERVAL;
        let effects = self.control.tick(self.now);
        self.carry_out(effects)
    }

    fn write(&mut self, key: &str, bytes: usize) -> Vec<Update> {
        let (_, effects) = self
            .control
            .write(key, Expect::Any, vec![7; bytes], self.now);
        self.carry_out(effects)
    }

    /// Returns the answers to a poll of an agent that has reached a position in the change feed.
    fn poll(&mut self, reached: FeedPosition) -> Vec<Update> {
        let poll = Poll {
            node: Node {
                zone: self.agent_zone.into(),
                ..node("e", NodeRole::Edge)
            },
            sent_at: self.now,
            source_incarnation: reached.incarnation,
            after_position: reached.position,
            ..Poll::default()
        };
        self.receive("e", poll)
    }

    /// Sends the first poll of an agent and returns the position in the change feed that it reaches.
    fn first_poll(&mut self) -> FeedPosition {
        let answers = self.poll(FeedPosition::default());
        FeedPosition {
            incarnation: answers[0].source_incarnation,
            position: answers[0].through_position,
        }
    }

    /// Receives a heartbeat from another, quorum-connected control daemon in zone `y`.
    fn receive_peer_heartbeat(&mut self) {
        self.receive_peer_heartbeat_with(true);
    }

    fn receive_peer_heartbeat_with(&mut self, quorum_connected: bool) {
        let heartbeat = Heartbeat {
            member_epoch: 1,
            disk_id: 8,
            zone: "y".into(),
            quorum_connected: quorum_connected.into(),
            ..Heartbeat::default()
        };
        self.receive("d", heartbeat);
    }

    fn receive(&mut self, from: &str, message: impl Into<Message>) -> Vec<Update> {
        let effects = self
            .control
            .on_message(&from.into(), &from.into(), message.into(), self.now);
        self.carry_out(effects)
    }
}

/// Position of an agent in the change feed of one incarnation of a control daemon.
#[derive(Clone, Copy, Default)]
struct FeedPosition {
    incarnation: u64,
    position: u64,
}

impl FeedPosition {
    fn at(self, position: u64) -> Self {
        FeedPosition { position, ..self }
    }
}

fn value_bytes(updates: &[Update]) -> usize {
    updates
        .iter()
        .flat_map(|update| update.changes.iter())
        .map(|change| change.value.0.len())
        .sum()
}

// With 299 machines and 3,000 replicas, each poll of an edge that still lacked changes was answered
// with a full snapshot, queued behind the snapshots in flight: 278 MB were in control daemons'
// buffers.
#[gtest]
fn a_snapshot_in_flight_is_not_sent_again() {
    const SNAPSHOT_BYTES: usize = 600_000;
    const DURATION: Ms = 10_000;
    let mut lone = LoneControl::polled_from("z");
    lone.write("plan/s", SNAPSHOT_BYTES);
    let started_at = lone.now;
    let mut sent_bytes = 0;
    while lone.now < started_at + DURATION {
        sent_bytes += value_bytes(&lone.poll(FeedPosition::default()));
        lone.tick();
    }
    let assumed_bytes = (DURATION * ASSUMED_BYTES_PER_MS) as usize;
    // A lost snapshot is sent again.
    expect_that!(
        sent_bytes,
        all![ge(2 * SNAPSHOT_BYTES), le(assumed_bytes + SNAPSHOT_BYTES)]
    );
}

#[gtest]
fn short_values_bypass_long_ones_in_flight_and_the_position_excludes_unacknowledged_changes() {
    let mut lone = LoneControl::polled_from("z");
    let reached = lone.first_poll();
    expect_that!(value_bytes(&lone.write("plan/s", 600_000)), eq(600_000));
    let mut sent_bytes = 0;
    for turn in 0..10 {
        lone.tick();
        let updates = lone.poll(reached);
        sent_bytes += value_bytes(&updates);
        // The agent receives its leases nevertheless, and the position excludes changes that may
        // still be lost.
        expect_that!(updates.len(), eq(1));
        expect_that!(
            updates[0].through_position,
            eq(reached.position),
            "at {turn}"
        );
    }
    expect_that!(sent_bytes, eq(0));
    expect_that!(value_bytes(&lone.write("zone/z", 5)), eq(5));
    // Lost changes are sent again after the time in which they should have arrived.
    lone.now += 3_000;
    let again = lone.poll(reached);
    expect_that!(value_bytes(&again), eq(600_005));
    let updates = lone.poll(reached.at(again[0].through_position));
    expect_that!(value_bytes(&updates), eq(0));
}

#[gtest]
fn a_long_value_is_pushed_by_the_nearest_daemon_and_by_others_only_if_that_one_does_not_send_it() {
    for (zone, is_nearest) in [("z", true), ("y", false)] {
        let mut lone = LoneControl::polled_from(zone);
        let mut reached = lone.first_poll();
        lone.receive_peer_heartbeat();
        let pushed_bytes = value_bytes(&lone.write("plan/s", LONG_VALUE_BYTES));
        let expected_bytes = if is_nearest { LONG_VALUE_BYTES } else { 0 };
        expect_that!(pushed_bytes, eq(expected_bytes), "zone {zone}");
        // Short values are sent as before, and an answer without the long value does not count as
        // complete.
        let started_at = lone.now;
        let mut sent_bytes = pushed_bytes;
        while sent_bytes == 0 && lone.now < started_at + 5_000 {
            lone.receive_peer_heartbeat();
            lone.tick();
            let updates = lone.poll(reached);
            expect_that!(updates.len(), eq(1));
            reached = reached.at(updates[0].through_position);
            sent_bytes += value_bytes(&updates);
        }
        expect_that!(sent_bytes, eq(LONG_VALUE_BYTES));
        let limit = if is_nearest {
            0
        } else {
            PUSH_TIMEOUT + TICK_INTERVAL
        };
        expect_that!(lone.now - started_at, le(limit));
    }
}

// A daemon whose messages arrive but that receives none has no changes to push.
#[gtest]
fn a_value_is_not_left_to_a_nearest_daemon_that_is_not_quorum_connected() {
    for (quorum_connected, expected_bytes) in [(true, 0), (false, LONG_VALUE_BYTES)] {
        let mut lone = LoneControl::polled_from("y");
        let reached = lone.first_poll();
        let started_at = lone.now;
        while lone.now < started_at + 2 * PUSH_TIMEOUT {
            lone.tick();
            lone.poll(reached);
        }
        lone.receive_peer_heartbeat_with(quorum_connected);
        let pushed_bytes = value_bytes(&lone.write("plan/s", LONG_VALUE_BYTES));
        expect_that!(
            pushed_bytes,
            eq(expected_bytes),
            "connected: {quorum_connected}"
        );
    }
}

// A record that changes all the time must not be left to a daemon that cannot reach the edge.
#[gtest]
fn a_frequently_changed_long_value_reaches_an_edge_that_its_nearest_daemon_cannot_reach() {
    let mut lone = LoneControl::polled_from("y");
    let mut reached = lone.first_poll();
    let (mut last_received_at, mut longest_gap) = (lone.now, 0);
    for turn in 0..200 {
        lone.receive_peer_heartbeat();
        let mut updates = if turn % 4 == 0 {
            lone.write("plan/s", LONG_VALUE_BYTES + turn)
        } else {
            vec![]
        };
        lone.tick();
        if let Some(last) = updates.last() {
            reached = reached.at(last.through_position);
        }
        updates.extend(lone.poll(reached));
        let answered_position = updates[updates.len() - 1].through_position;
        reached = reached.at(reached.position.max(answered_position));
        if value_bytes(&updates) > 0 {
            longest_gap = longest_gap.max(lone.now - last_received_at);
            last_received_at = lone.now;
        }
    }
    expect_that!(longest_gap, le(3 * PUSH_TIMEOUT));
    expect_that!(last_received_at, ge(lone.now - 3 * PUSH_TIMEOUT));
}
