use std::collections::{BTreeMap, BTreeSet, VecDeque};

use googletest::prelude::*;
use wire_messages::{Blob, Message, OwnedKey, ReplacedValue};

use super::{ownership::OwnershipPhase, *};
use crate::{Effect, WriteOutcome, timing::LEASE_DURATION};

const NODES: usize = 3;

/// What is under way.
enum Ev {
    Msg {
        to: usize,
        from: usize,
        msg: Message,
    },
    Synced {
        at: usize,
        life: u64,
        rows: Vec<Row>,
        then: Effects,
    },
    Start {
        at: usize,
    },
}

/// Three voters over a network that delays and loses, disks that are slow, and crashes that drop what
/// was not synced.
struct Bench {
    now: Ms,
    rng: fastrand::Rng,
    nodes: Vec<Option<Registers>>,
    lives: Vec<u64>,
    disks: Vec<BTreeMap<String, Row>>,
    /// When each disk ends what it was last given: it works in order.
    busy: Vec<Ms>,
    queue: BTreeMap<(Ms, u64), Ev>,
    seq: u64,
    /// Version to every value that was told accepted, or known as committed anywhere.
    told: BTreeMap<u64, BTreeSet<Vec<u8>>>,
    asked: BTreeMap<u64, Vec<u8>>,
}

fn name(i: usize) -> Name {
    format!("v{i}").into()
}

impl Bench {
    fn new(seed: u64) -> Self {
        let voters: Vec<Voter> = (0..NODES)
            .map(|i| Voter {
                name: name(i),
                disk_id: i as u64 + 1,
                addr: name(i),
                ..Voter::default()
            })
            .collect();
        let row = Row::Members {
            member_epoch: 1,
            before: 0,
            voters,
            voting: true,
            left: false,
        };
        let mut b = Bench {
            now: 0,
            rng: fastrand::Rng::with_seed(seed),
            nodes: vec![None, None, None],
            lives: vec![0; NODES],
            disks: vec![[("members".to_string(), row)].into(); NODES],
            busy: vec![0; NODES],
            queue: BTreeMap::new(),
            seq: 0,
            told: BTreeMap::new(),
            asked: BTreeMap::new(),
        };
        (0..NODES).for_each(|i| b.start(i));
        b
    }
    fn at(&mut self, ms: Ms, ev: Ev) {
        self.seq += 1;
        self.queue.insert((self.now + ms, self.seq), ev);
    }
    fn start(&mut self, i: usize) {
        self.lives[i] += 1;
        let rows = self.disks[i].values().cloned().collect();
        self.nodes[i] = Some(Registers::new(name(i), rows, LEASE_DURATION, self.now));
    }
    fn crash(&mut self, i: usize) {
        self.nodes[i] = None;
        self.lives[i] += 1;
        let ms = self.rng.u64(1..30);
        self.at(ms, Ev::Start { at: i });
    }
    fn carry(&mut self, i: usize, out: Effects) {
        for e in out {
            match e {
                Effect::Send { to, msg } => {
                    let t = (0..NODES).find(|t| name(*t) == to).unwrap();
                    let ms = if t == i { 0 } else { self.rng.u64(1..40) };
                    if t == i || self.rng.u8(..) > 12 {
                        self.at(
                            ms,
                            Ev::Msg {
                                to: t,
                                from: i,
                                msg,
                            },
                        );
                    }
                }
                Effect::Persist { rows, then } => {
                    let ms = self.rng.u64(1..90);
                    self.busy[i] = self.busy[i].max(self.now) + ms;
                    let (life, wait) = (self.lives[i], self.busy[i] - self.now);
                    self.at(
                        wait,
                        Ev::Synced {
                            at: i,
                            life,
                            rows,
                            then,
                        },
                    );
                }
                Effect::WriteFinished {
                    token,
                    outcome: WriteOutcome::Accepted(v),
                } => {
                    let value = self.asked[&token].clone();
                    self.told.entry(v).or_default().insert(value);
                }
                _ => {}
            }
        }
        let Some(n) = self.nodes[i].as_mut() else {
            return;
        };
        for c in std::mem::take(&mut n.newly_committed) {
            self.told.entry(c.version).or_default().insert(c.value.0);
        }
    }
    fn handle(&mut self, ev: Ev) {
        match ev {
            Ev::Start { at } => self.start(at),
            Ev::Synced {
                at,
                life,
                rows,
                then,
            } => {
                if self.lives[at] != life {
                    return;
                }
                for r in rows {
                    let k = if let Row::Slot(s) = &r {
                        s.key.to_string()
                    } else {
                        "members".into()
                    };
                    self.disks[at].insert(k, r);
                }
                self.carry(at, then);
            }
            Ev::Msg { to, from, msg } => {
                let (mut out, now, addr) = (vec![], self.now, name(from));
                let Some(n) = self.nodes[to].as_mut() else {
                    return;
                };
                match msg {
                    Message::Prepare(m) => n.on_prepare(&addr, m, now, &mut out),
                    Message::Promise(m) => n.on_promise(&addr, m, now, &mut out),
                    Message::Accept(m) => n.on_accept(&addr, m, &mut out),
                    Message::Accepted(m) => n.on_accepted(&addr, m, now, &mut out),
                    Message::Commit(m) => n.on_commit(&m.change, &m.replaced, &mut out),
                    _ => {}
                }
                self.carry(to, out);
            }
        }
    }
    fn run(&mut self, ms: Ms, wild: bool) {
        let end = self.now + ms;
        while self.now < end {
            while let Some(e) = self.queue.first_entry().filter(|e| e.key().0 <= self.now) {
                let ev = e.remove();
                self.handle(ev);
            }
            for i in 0..NODES {
                if wild && self.rng.u32(..700) == 0 && self.nodes[i].is_some() {
                    self.crash(i);
                }
                let up: BTreeSet<Name> = (0..NODES)
                    .filter(|j| self.nodes[*j].is_some())
                    .map(name)
                    .collect();
                // Whom each takes for live is now and then wrong, so that two take a key at once.
                let wrong = wild && self.rng.u8(..) < 20;
                let live = |n: &str| {
                    if wrong {
                        *n == *name(i)
                    } else {
                        up.contains(n)
                    }
                };
                let (mut out, now) = (vec![], self.now);
                let Some(n) = self.nodes[i].as_mut() else {
                    continue;
                };
                if wild
                    && self.rng.u8(..) < 6
                    && n.preferred_owner("k", &live)
                        .is_some_and(|v| v.name == name(i))
                {
                    let token = self.seq + 1_000_000 * (i as u64 + 1);
                    let value = format!("{token}").into_bytes();
                    self.asked.insert(token, value.clone());
                    n.propose(token, &"k".into(), None, Blob(value), now, &mut out);
                    self.seq += 1;
                }
                if now.is_multiple_of(50) {
                    n.tick(now, &live, &[], &mut out);
                }
                self.carry(i, out);
            }
            self.now += 1;
        }
    }
}

fn slot<'a>(registers: &'a Registers, key: &str) -> &'a Slot {
    registers.slots.get(key).unwrap()
}

type Sends = Vec<(Name, Message)>;

/// Syncs what is to be synced on a disk, and gives all that is then sent.
fn synced(disk: &mut Vec<Row>, out: Effects) -> Sends {
    let mut sends = vec![];
    for e in out {
        match e {
            Effect::Send { to, msg } => sends.push((to, msg)),
            Effect::Persist { rows, then } => {
                disk.extend(rows);
                sends.extend(synced(disk, then));
            }
            _ => {}
        }
    }
    sends
}

/// An owner crashes before its own disk has its promise, and comes back at once: its second ownership must
/// not pass for its first, or a value that was accepted could lose against one that never was.
#[gtest]
fn an_owner_that_crashed_never_takes_the_same_epoch_again() {
    let voters: Vec<Voter> = (0..NODES)
        .map(|i| Voter {
            name: name(i),
            disk_id: i as u64 + 1,
            addr: name(i),
            ..Voter::default()
        })
        .collect();
    let first = vec![Row::Members {
        member_epoch: 1,
        before: 0,
        voters,
        voting: true,
        left: false,
    }];
    let mut disks = vec![first; NODES];
    let mut n: Vec<Registers> = (0..NODES)
        .map(|i| Registers::new(name(i), disks[i].clone(), LEASE_DURATION, 0))
        .collect();
    let key: Name = "k".into();
    // One message to one node, and what it sends once that is synced.
    let give = |n: &mut Vec<Registers>,
                disks: &mut Vec<Vec<Row>>,
                to: usize,
                from: usize,
                msg: &Message| {
        let mut out = vec![];
        match msg.clone() {
            Message::Prepare(m) => n[to].on_prepare(&name(from), m, 1, &mut out),
            Message::Promise(m) => n[to].on_promise(&name(from), m, 1, &mut out),
            Message::Accept(m) => n[to].on_accept(&name(from), m, &mut out),
            Message::Accepted(m) => n[to].on_accepted(&name(from), m, 1, &mut out),
            _ => {}
        }
        synced(&mut disks[to], out)
    };
    let to = |s: &Sends, i: usize| {
        s.iter()
            .find(|x| x.0 == name(i))
            .map(|x| x.1.clone())
            .unwrap()
    };
    // Takes the key at `a` with the votes of `by`, and writes; the write reaches `reach` only.
    let write = |n: &mut Vec<Registers>,
                 disks: &mut Vec<Vec<Row>>,
                 a: usize,
                 v: &str,
                 by: [usize; 2],
                 reach: &[usize]| {
        let mut out = vec![];
        n[a].propose(7, &key, None, Blob(v.into()), 1, &mut out);
        let prepare = synced(&mut disks[a], out);
        let mut accept = vec![];
        for i in by {
            let promise = give(n, disks, i, a, &to(&prepare, i));
            accept.extend(give(n, disks, a, i, &to(&promise, a)));
        }
        for i in reach {
            let accepted = give(n, disks, *i, a, &to(&accept, *i));
            give(n, disks, a, *i, &to(&accepted, a));
        }
    };
    write(&mut n, &mut disks, 0, "never", [1, 2], &[1]);
    n[0] = Registers::new(name(0), disks[0].clone(), LEASE_DURATION, 1);
    write(&mut n, &mut disks, 0, "accepted", [0, 2], &[0, 2]);
    expect_that!(slot(&n[0], &key).committed_version, eq(1));
    // The third takes over with the second's vote, which comes first, and its own.
    write(&mut n, &mut disks, 2, "next", [1, 2], &[1, 2]);
    expect_that!(
        String::from_utf8_lossy(&slot(&n[2], &key).value.0),
        eq("accepted")
    );
}

/// Whatever crashes, is late or is lost: a version has one value for good, and in the end all hold the newest.
#[gtest]
fn a_version_once_committed_never_has_another_value() {
    let mut wrote = 0;
    for seed in 0..300 {
        let mut b = Bench::new(seed);
        b.run(6_000, true);
        b.run(3_000, false);
        let two: Vec<_> = b.told.iter().filter(|(_, v)| v.len() > 1).collect();
        expect_that!(two, is_empty(), "seed {seed}");
        let newest = b.told.keys().max().copied().unwrap_or(0);
        wrote += newest;
        // Who missed the news of it is mended by digests, which are not part of this.
        let held = b
            .nodes
            .iter()
            .flatten()
            .filter_map(|n| n.slots.get("k"))
            .map(|s| s.version)
            .max();
        expect_that!(held, ge(Some(newest)), "seed {seed}");
    }
    expect_that!(wrote, gt(1_000));
}

fn voters() -> Vec<Voter> {
    (0..NODES)
        .map(|i| Voter {
            name: name(i),
            disk_id: i as u64 + 1,
            addr: name(i),
            ..Voter::default()
        })
        .collect()
}
fn voter(i: usize) -> Registers {
    let row = Row::Members {
        member_epoch: 1,
        before: 0,
        voters: voters(),
        voting: true,
        left: false,
    };
    Registers::new(name(i), vec![row], LEASE_DURATION, 0)
}
fn accept(key: &str, epoch: u64, version: u64, value: &str) -> wire_messages::Accept {
    wire_messages::Accept {
        key: key.into(),
        epoch,
        version,
        value: Blob(value.into()),
        replaced: List::default(),
        member_epoch: 1,
    }
}
fn accepted(out: &Effects) -> Option<wire_messages::Accepted> {
    let sends = synced(&mut vec![], out.clone());
    sends.into_iter().find_map(|(_, m)| {
        if let Message::Accepted(a) = m {
            Some(a)
        } else {
            None
        }
    })
}

/// A voter that heard of a commit without having promised its epoch holds a value of an epoch above its promise: what an
/// earlier owner offers is not stored there, so it is not acknowledged.
#[gtest]
fn what_a_voter_does_not_store_it_does_not_acknowledge() {
    let mut n = voter(0);
    let mut out = vec![];
    n.on_commit(
        &Change {
            key: "k".into(),
            epoch: 9,
            version: 3,
            value: Blob("newer".into()),
        },
        &[],
        &mut out,
    );
    let mut out = vec![];
    n.on_accept(&name(1), accept("k", 5, 4, "older"), &mut out);
    let told = accepted(&out);
    expect_that!(
        told.as_ref().map(|a| (a.accepted, a.promised_epoch)),
        some(eq((0, 9)))
    );
    expect_that!(slot(&n, "k").value.0, eq(b"newer"));
    // Its own epoch and later ones are stored.
    for (epoch, version) in [(9, 4), (11, 5)] {
        let mut out = vec![];
        n.on_accept(&name(1), accept("k", epoch, version, "next"), &mut out);
        expect_that!(accepted(&out).map(|a| a.accepted), some(eq(1)));
        expect_that!(slot(&n, "k").version, eq(version));
    }
}

/// A delayed copy of an older write of the same owner is acknowledged, as it was stored before, and changes nothing.
#[gtest]
fn a_late_copy_of_an_older_write_does_not_put_the_newer_one_back() {
    let mut n = voter(0);
    for (version, value) in [(1, "a"), (2, "b"), (1, "a")] {
        let mut out = vec![];
        n.on_accept(&name(1), accept("k", 5, version, value), &mut out);
        expect_that!(
            accepted(&out).map(|a| (a.accepted, a.version)),
            some(eq((1, version)))
        );
    }
    expect_that!(slot(&n, "k").value.0, eq(b"b"));
}

/// A newcomer takes over from each former voter what may stand with that one alone: the highest promise, the newest
/// accepted value whether or not it is known to be committed, and what it replaced.
#[gtest]
fn a_newcomer_takes_over_promises_values_and_what_they_replaced() {
    let past = List(vec![ReplacedValue {
        release: 1,
        digest: 2,
    }]);
    let slot = |promised, epoch, version, committed, value: &str| Slot {
        key: "k".into(),
        promised_epoch: promised,
        accepted_epoch: epoch,
        version,
        committed_version: committed,
        value: Blob(value.into()),
        replaced: past.clone(),
    };
    let of = |n: &Registers| n.slots.get("k").unwrap().clone();
    let mut n = voter(0);
    // The highest promise and the newest value stand with different voters, in either order.
    let rows = n.catch_up(&[
        slot(8, 7, 2, 1, "accepted"),
        slot(12, 6, 3, 3, "older epoch"),
    ]);
    let taken = slot(12, 7, 2, 1, "accepted");
    expect_that!(of(&n), eq(&taken));
    expect_that!(
        rows,
        contains(eq(&Row::Slot(taken.clone()))),
        "it is on its disk before it votes"
    );
    expect_that!(
        n.newly_committed,
        is_empty(),
        "what no majority is known to have taken is told to nobody"
    );
    expect_that!(
        n.epochs.highest(),
        eq(12),
        "its own epochs are above all that it read of"
    );
    // What is older changes nothing, and what is newer and committed goes to the feed.
    n.catch_up(&[slot(3, 7, 1, 1, "old")]);
    expect_that!(of(&n), eq(&taken));
    n.catch_up(&[slot(9, 8, 3, 3, "newest")]);
    expect_that!(of(&n), eq(&slot(12, 8, 3, 3, "newest")));
    expect_that!(
        n.newly_committed
            .iter()
            .map(|c| c.version)
            .collect::<Vec<_>>(),
        elements_are![eq(&3)]
    );
    // It promises nothing below what any of them promised.
    let mut out = vec![];
    n.on_prepare(
        &name(1),
        wire_messages::Prepare {
            key: "k".into(),
            epoch: 11,
            member_epoch: 1,
        },
        10_000,
        &mut out,
    );
    let told = synced(&mut vec![], out);
    expect_that!(
        told,
        elements_are![(
            eq(&name(1)),
            matches_pattern!(Message::Promise(matches_pattern!(wire_messages::Promise {
                granted: &0,
                ..
            })))
        )]
    );
}

/// A document's release is read from the very value that stands: not from another key's of the same version, nor from one
/// that a later owner has put in its place.
#[gtest]
fn a_release_is_read_from_the_value_that_stands() {
    let document = |release: u64| {
        let s = serde_json::json!({"zones": [], "tiers": [], "services": [], "canary_percent": 10, "bake_ms": 1, "release": release});
        Blob(serde_json::to_vec(&s).unwrap())
    };
    let mut n = voter(0);
    let put = |n: &mut Registers, key: &str, epoch, version, release| {
        n.on_commit(
            &Change {
                key: key.into(),
                epoch,
                version,
                value: document(release),
            },
            &[],
            &mut vec![],
        );
    };
    put(&mut n, "a", 5, 1, 10);
    put(&mut n, "b", 5, 1, 20);
    expect_that!(
        [
            n.release_at(&"a".into(), 1),
            n.release_at(&"b".into(), 1),
            n.release_at(&"a".into(), 0)
        ],
        each(some(anything()))
    );
    expect_that!(
        (n.release_at(&"a".into(), 1), n.release_at(&"b".into(), 1)),
        eq((Some(10), Some(20)))
    );
    put(&mut n, "a", 6, 1, 11);
    expect_that!(n.release_at(&"a".into(), 1), some(eq(11)));
    put(&mut n, "a", 6, 2, 12);
    expect_that!(
        (n.release_at(&"a".into(), 1), n.release_at(&"a".into(), 2)),
        eq((None, Some(12)))
    );
}

/// A vote that was given on a disk which has been lost since must not be counted with those of the voters of now: the
/// newcomer in its place has read the others, and lacks what was under way.
#[gtest]
fn votes_of_another_member_epoch_are_not_counted() {
    let key: Name = "k".into();
    // The owner's own vote is there; the second would be a majority.
    let owner = || {
        let mut n = voter(0);
        let mut out = vec![];
        n.propose(7, &key, None, Blob("value".into()), 1, &mut out);
        let sends = synced(&mut vec![], out);
        let own = sends.iter().find(|s| s.0 == name(0)).unwrap().1.clone();
        let mut out = vec![];
        if let Message::Prepare(m) = own {
            n.on_prepare(&name(0), m, 1, &mut out);
        }
        let Message::Promise(promise) = synced(&mut vec![], out)[0].1.clone() else {
            unreachable!()
        };
        n.on_promise(&name(0), promise.clone(), 1, &mut vec![]);
        (n, promise)
    };
    let holds = |n: &Registers| {
        matches!(
            n.ownerships.get(&key).map(|o| &o.phase),
            Some(OwnershipPhase::Owning { .. })
        )
    };
    let (n, promise) = owner();
    for (member_epoch, from, counts) in [
        (1, 1, true),
        (0, 1, false),
        (2, 1, false),
        (1, 0, false),
        (1, 9, false),
    ] {
        let mut n = n.clone();
        n.on_promise(
            &name(from),
            wire_messages::Promise {
                member_epoch,
                ..promise.clone()
            },
            1,
            &mut vec![],
        );
        expect_that!(
            holds(&n),
            eq(counts),
            "a promise of member epoch {member_epoch} by {from}"
        );
    }
    let mut older = n.clone();
    let late = wire_messages::Promise {
        epoch: promise.epoch - 1,
        ..promise.clone()
    };
    older.on_promise(&name(1), late, 1, &mut vec![]);
    expect_that!(
        holds(&older),
        eq(false),
        "a promise of an earlier ownership"
    );
    let (mut n, promise) = owner();
    n.on_promise(&name(1), promise.clone(), 1, &mut vec![]);
    let ack = |member_epoch, epoch, version| wire_messages::Accepted {
        key: key.clone(),
        epoch,
        version,
        promised_epoch: 0,
        member_epoch,
        accepted: 1,
    };
    n.on_accepted(&name(0), ack(1, promise.epoch, 1), 1, &mut vec![]);
    let all = [
        (1, promise.epoch, 1, 1, true),
        (0, promise.epoch, 1, 1, false),
        (2, promise.epoch, 1, 1, false),
    ];
    let rest = [
        (1, promise.epoch - 1, 1, 1, false),
        (1, promise.epoch, 2, 1, false),
        (1, promise.epoch, 1, 9, false),
    ];
    for (member_epoch, epoch, version, from, counts) in all.into_iter().chain(rest) {
        let (mut n, mut out) = (n.clone(), vec![]);
        n.on_accepted(&name(from), ack(member_epoch, epoch, version), 1, &mut out);
        let told = out.iter().any(|e| {
            matches!(
                e,
                Effect::WriteFinished {
                    outcome: WriteOutcome::Accepted(1),
                    ..
                }
            )
        });
        expect_that!(
            told,
            eq(counts),
            "version {version} under {epoch} in member epoch {member_epoch} by {from}"
        );
    }
    // Nor does a voter take part in another member epoch than its own.
    for member_epoch in [0, 2] {
        let (mut n, mut out) = (voter(1), vec![]);
        n.on_accept(
            &name(0),
            wire_messages::Accept {
                member_epoch,
                ..accept("k", 5, 1, "value")
            },
            &mut out,
        );
        n.on_renew(
            &name(0),
            wire_messages::RenewLeases {
                keys: List(vec![OwnedKey {
                    key: key.clone(),
                    epoch: 5,
                }]),
                sent_at: 1,
                member_epoch,
            },
            1,
            &mut out,
        );
        n.on_prepare(
            &name(0),
            wire_messages::Prepare {
                key: key.clone(),
                epoch: 5,
                member_epoch,
            },
            1,
            &mut out,
        );
        let sends = synced(&mut vec![], out);
        let taken = sends.iter().any(|(_, m)| {
            !matches!(
                m,
                Message::Promise(wire_messages::Promise { granted: 0, .. })
            )
        });
        expect_that!(taken, eq(false), "member epoch {member_epoch}");
        expect_that!(n.slots.get(&key).map_or(0, |s| s.accepted_epoch), eq(0));
    }
}

/// A reading is confirmed by a majority that answered a question asked since it came; whoever has promised another owner
/// confirms nothing.
#[gtest]
fn a_reading_waits_for_a_majority_that_was_asked_since() {
    let key: Name = "k".into();
    let mut n = voter(0);
    n.on_commit(
        &Change {
            key: key.clone(),
            epoch: 5,
            version: 3,
            value: Blob("value".into()),
        },
        &[],
        &mut vec![],
    );
    let phase = OwnershipPhase::Owning { version: 3 };
    let own = Ownership {
        phase,
        ..Ownership::preparing(7, VecDeque::new(), 0, 0)
    };
    n.ownerships.insert(key.clone(), own);
    let mut out = vec![];
    n.read(9, &key, 100, &mut out);
    let renewed = |n: &mut Registers, from: usize, epoch, sent, member_epoch| {
        let m = wire_messages::LeasesRenewed {
            keys: List(vec![OwnedKey {
                key: key.clone(),
                epoch,
            }]),
            request_sent_at: sent,
            member_epoch,
        };
        let mut out = vec![];
        n.on_renewed(&name(from), m, 101, &mut out);
        out.iter().any(|e| {
            matches!(
                e,
                Effect::WriteFinished {
                    token: 9,
                    outcome: WriteOutcome::Accepted(3)
                }
            )
        })
    };
    let mut told =
        |from, epoch, sent, member_epoch| renewed(&mut n, from, epoch, sent, member_epoch);
    expect_that!(told(0, 7, 100, 1), eq(false), "one is no majority");
    expect_that!(
        told(1, 7, 99, 1),
        eq(false),
        "asked before the reading came"
    );
    expect_that!(told(1, 6, 100, 1), eq(false), "another ownership");
    expect_that!(told(1, 7, 100, 2), eq(false), "another member epoch");
    expect_that!(told(9, 7, 100, 1), eq(false), "no voter");
    expect_that!(told(2, 7, 100, 1), eq(true));
    // A voter that has promised another owner says so and keeps no later one out.
    let mut v = voter(1);
    v.slots.entry(&key).promised_epoch = 8;
    let mut out = vec![];
    v.on_renew(
        &name(0),
        wire_messages::RenewLeases {
            keys: List(vec![OwnedKey {
                key: key.clone(),
                epoch: 7,
            }]),
            sent_at: 100,
            member_epoch: 1,
        },
        1,
        &mut out,
    );
    let sends = synced(&mut vec![], out);
    let denied = sends.iter().any(
        |(_, m)| matches!(m, Message::Accepted(a) if a.accepted == 0 && a.promised_epoch == 8),
    );
    let confirmed = sends
        .iter()
        .any(|(_, m)| matches!(m, Message::LeasesRenewed(r) if !r.keys.is_empty()));
    expect_that!((denied, confirmed), eq((true, false)));
}

mod explore;
mod rules;
