//! Operators' changes: sent again after lost answers, several at once, with machines going right after an answer or soon
//! after a change was sent. What was acknowledged is never refused and is what is read back.

mod fleet;

use coordination::{
    Ms, WriteOutcome,
    control::{FORWARD_TIMEOUT, SPEC_KEY},
    register::Expect,
};
use fleet::Fleet;
use googletest::prelude::*;

const PLAN: &str = "plan/s";
const ZONE: &str = "zone/z1";

fn document(release: u64, mark: u64) -> Vec<u8> {
    let s = serde_json::json!({"zones": [], "tiers": [], "services": [], "canary_percent": 10, "bake_ms": mark, "release": release});
    serde_json::to_vec(&s).unwrap()
}

/// A change as an operator sends it, the same each time.
#[derive(Clone, Debug, PartialEq)]
struct Order {
    key: &'static str,
    expect: Expect,
    value: Vec<u8>,
}

type Sent = (usize, u64);

fn send(f: &mut Fleet, at: usize, o: &Order) -> Option<Sent> {
    let now = f.now;
    let (t, out) = f.daemons[at]
        .control
        .as_mut()?
        .write(o.key, o.expect, o.value.clone(), now);
    f.carry_out(at, out);
    Some((at, t))
}
fn up(f: &Fleet) -> Vec<usize> {
    (0..f.daemons.len())
        .filter(|i| f.control(*i).is_some())
        .collect()
}
fn anywhere(f: &mut Fleet, o: &Order) -> Option<Sent> {
    let up = up(f);
    let at = *f.rng.choice(&up)?;
    send(f, at, o)
}
fn end(f: &mut Fleet, w: Option<Sent>) -> Option<WriteOutcome> {
    let w = w?;
    f.run_until(3_000, |f| {
        f.write_outcomes.contains_key(&w) || f.control(w.0).is_none()
    });
    f.write_outcomes.get(&w).map(|e| e.1)
}
/// Sends an order again until it has a clear answer.
fn clear(f: &mut Fleet, o: &Order) -> Option<WriteOutcome> {
    let until = f.now + 30_000;
    while f.now < until {
        let w = anywhere(f, o);
        match end(f, w) {
            Some(e @ (WriteOutcome::Accepted(_) | WriteOutcome::Conflict(_))) => return Some(e),
            _ => f.run(100),
        }
    }
    None
}
fn newest(f: &mut Fleet, key: &str) -> Option<WriteOutcome> {
    for _ in 0..40 {
        let (now, up) = (f.now, up(f));
        let at = *f.rng.choice(&up)?;
        let (t, out) = f.daemons[at].control.as_mut()?.read_newest(key, now);
        f.carry_out(at, out);
        if let Some(e @ WriteOutcome::Accepted(_)) = end(f, Some((at, t))) {
            return Some(e);
        }
        f.run(100);
    }
    None
}

#[derive(Clone, Copy, Debug)]
enum Trouble {
    None,
    /// The one that acknowledges goes, or all, right after it did.
    OneAfterAck,
    AllAfterAck,
    /// Soon after the change was sent, acknowledged or not.
    OneSoon,
    AllSoon,
    /// Who owns the key.
    OwnerSoon,
}
const TROUBLES: [Trouble; 6] = [
    Trouble::None,
    Trouble::OneAfterAck,
    Trouble::AllAfterAck,
    Trouble::OneSoon,
    Trouble::AllSoon,
    Trouble::OwnerSoon,
];

fn goes(f: &mut Fleet, t: Trouble, w: Sent, key: &str) -> Vec<usize> {
    match t {
        Trouble::None => return vec![],
        Trouble::OneAfterAck | Trouble::AllAfterAck => {
            f.run_until(3_000, |f| f.write_outcomes.contains_key(&w));
            let ms = f.rng.u64(..5);
            f.run(ms);
        }
        _ => {
            let ms = f.rng.u64(5..400);
            f.run(ms);
        }
    }
    let owner = (0..f.daemons.len()).find(|i| {
        f.control(*i)
            .is_some_and(|b| b.registers.held_until(key, f.now).is_some())
    });
    let gone: Vec<usize> = match t {
        Trouble::AllAfterAck | Trouble::AllSoon => up(f),
        Trouble::OwnerSoon => owner.into_iter().collect(),
        _ => vec![w.0],
    };
    gone.iter().for_each(|i| f.kill(*i));
    gone
}
fn back(f: &mut Fleet, gone: Vec<usize>) {
    for i in gone {
        let ms = f.rng.u64(50..900);
        f.run(ms);
        f.start(i);
    }
}

/// A fleet whose three found it; with six machines three of them stand by or vote as well.
fn settled(seed: u64) -> Fleet {
    let n = if seed.is_multiple_of(3) { 6 } else { 3 };
    let mut f = Fleet::bootstrapped(seed, n, |i| format!("r{}", i % 3));
    f.run_until(10_000, |f| {
        (0..3).all(|i| f.control(i).is_some_and(|b| b.is_settled()))
    })
    .expect("the fleet settles");
    f
}

/// Each kind of change, one after the other, each in some trouble: once acknowledged it is so again wherever it is sent,
/// or left unclear.
#[gtest]
fn what_was_acknowledged_is_never_refused_when_it_is_sent_again() {
    let mut lost = 0;
    for seed in 0..200 {
        let f = &mut settled(seed);
        let (mut release, mut plan) = (0, 0);
        let mut taken: Vec<(Order, u64)> = vec![];
        for n in 0..6u64 {
            let t = *f.rng.choice(&TROUBLES).unwrap();
            let order = match f.rng.u8(..3) {
                0 => {
                    release += 1 + f.rng.u64(..3);
                    Order {
                        key: SPEC_KEY,
                        expect: Expect::Any,
                        value: document(release, n),
                    }
                }
                1 => Order {
                    key: PLAN,
                    expect: Expect::Version(plan),
                    value: format!("plan {n}").into_bytes(),
                },
                _ => Order {
                    key: ZONE,
                    expect: Expect::Any,
                    value: format!("{}", n % 2).into_bytes(),
                },
            };
            let from = f
                .control(up(f)[0])
                .and_then(|b| b.spec())
                .map_or(0, |s| s.release);
            let order = if order.key == SPEC_KEY {
                Order {
                    expect: Expect::Release(from),
                    ..order
                }
            } else {
                order
            };
            let told = format!("seed {seed}, change {n}, {t:?}: {order:?}");
            let Some(w) = anywhere(f, &order) else {
                continue;
            };
            let gone = goes(f, t, w, order.key);
            let first = f.write_outcomes.get(&w).map(|e| e.1);
            lost += usize::from(!matches!(first, Some(WriteOutcome::Accepted(_))));
            back(f, gone);
            // Its answer may be lost as well; the same order goes out again, to any daemon.
            let done = clear(f, &order);
            expect_that!(
                done,
                some(matches_pattern!(WriteOutcome::Accepted(_))),
                "{told}"
            );
            let Some(WriteOutcome::Accepted(v)) = done else {
                break;
            };
            if let Some(WriteOutcome::Accepted(u)) = first {
                expect_that!(v, eq(u), "{told}: it stands twice");
            }
            plan = if order.key == PLAN { v } else { plan };
            for _ in 0..4 {
                let w = anywhere(f, &order);
                let again = end(f, w);
                expect_that!(
                    again,
                    not(some(matches_pattern!(WriteOutcome::Conflict(_)))),
                    "{told}"
                );
            }
            expect_that!(
                newest(f, order.key),
                some(eq(WriteOutcome::Accepted(v))),
                "{told}"
            );
            // One of before, which others may have replaced since and whose sender only now sends it again.
            if order.expect != Expect::Any {
                taken.push((order, v));
            }
            if let Some((old, v)) = f.rng.choice(&taken).cloned() {
                expect_that!(
                    clear(f, &old),
                    some(eq(WriteOutcome::Accepted(v))),
                    "{told}, then again {old:?}"
                );
            }
            f.run(100);
        }
    }
    // Not all had their first answer, or nothing was in trouble.
    expect_that!(lost, gt(100));
}

/// Eight orders under way at once: configurations on one release, two of them under the same number, and orders of other
/// kinds. One configuration wins, whatever goes meanwhile, and each order ends with a clear answer.
#[gtest]
fn of_eight_orders_at_once_one_configuration_wins_and_all_others_are_taken() {
    for seed in 0..200 {
        let f = &mut settled(seed);
        let first = Order {
            key: SPEC_KEY,
            expect: Expect::Release(0),
            value: document(1, 0),
        };
        expect_that!(
            clear(f, &first),
            some(eq(WriteOutcome::Accepted(1))),
            "seed {seed}"
        );
        f.run(300);
        let spec = |release, mark| Order {
            key: SPEC_KEY,
            expect: Expect::Release(1),
            value: document(release, mark),
        };
        let any = |key, v: &str| Order {
            key,
            expect: Expect::Any,
            value: v.into(),
        };
        let mut orders = vec![spec(5, 1), spec(5, 2), spec(6, 3), spec(2, 4)];
        orders.extend([
            any(ZONE, "1"),
            any("zone/z2", "1"),
            any("zone/z0", "0"),
            any("plan/t", "v2"),
        ]);
        f.rng.shuffle(&mut orders);
        let mut sent = vec![];
        for o in &orders {
            sent.push(anywhere(f, o));
            let ms = f.rng.u64(..30);
            f.run(ms);
        }
        let t = *f.rng.choice(&TROUBLES).unwrap();
        let gone = goes(f, t, sent[0].unwrap(), SPEC_KEY);
        back(f, gone);
        f.run(3_000);
        let mut won = vec![];
        for (o, w) in orders.iter().zip(sent) {
            let told = w.and_then(|w| f.write_outcomes.get(&w)).map(|e| e.1);
            let sure = clear(f, o);
            expect_that!(sure, some(anything()), "seed {seed}, {t:?}: {o:?}");
            // A clear answer stays so.
            if let Some(e @ (WriteOutcome::Accepted(_) | WriteOutcome::Conflict(_))) = told {
                expect_that!(sure, some(eq(e)), "seed {seed}, {t:?}: {o:?}");
            }
            if o.key != SPEC_KEY {
                expect_that!(
                    sure,
                    some(eq(WriteOutcome::Accepted(1))),
                    "seed {seed}, {t:?}: {o:?}"
                );
            } else if let Some(WriteOutcome::Accepted(v)) = sure {
                won.push((v, o.value.clone()));
            }
        }
        expect_that!(won, len(eq(1)), "seed {seed}, {t:?}");
        expect_that!(
            newest(f, SPEC_KEY),
            some(eq(WriteOutcome::Accepted(2))),
            "seed {seed}, {t:?}"
        );
        f.run(500);
        let held: Vec<_> = (0..f.daemons.len())
            .filter_map(|i| f.value(i, SPEC_KEY))
            .filter(|h| Some(h) != won.first())
            .collect();
        expect_that!(held, is_empty(), "seed {seed}, {t:?}");
    }
}

/// ms. In calm times an evacuation is acknowledged well within the second from which on waiting for it is dear; also
/// while configurations, which sync more, are under way.
const CALM: Ms = 400;

#[gtest]
fn an_evacuation_is_acknowledged_soon_in_calm_times() {
    for seed in 0..100 {
        let f = &mut settled(seed);
        f.run(2_000);
        for n in 0..4u64 {
            let on = f.control(0).and_then(|b| b.spec()).map_or(0, |s| s.release);
            anywhere(
                f,
                &Order {
                    key: SPEC_KEY,
                    expect: Expect::Release(on),
                    value: document(n + 1, 0),
                },
            );
            let w = anywhere(
                f,
                &Order {
                    key: ZONE,
                    expect: Expect::Any,
                    value: format!("{}", n % 2).into_bytes(),
                },
            )
            .unwrap();
            let took = f.run_until(3_000, |f| f.write_outcomes.contains_key(&w));
            expect_that!(took, some(le(CALM)), "seed {seed}");
            f.run(500);
        }
    }
}

/// A daemon that has an evacuation on its way, or unread in its sockets, stands still; the operator goes on to others, and
/// takes the evacuation back before it wakes.
#[gtest]
fn an_evacuation_that_was_taken_back_does_not_come_back_from_a_daemon_that_stood_still() {
    let on = Order {
        key: ZONE,
        expect: Expect::Any,
        value: b"on".to_vec(),
    };
    let off = Order {
        value: b"off".to_vec(),
        ..on.clone()
    };
    for seed in 0..120u64 {
        let mut f = settled(seed);
        expect_that!(
            clear(&mut f, &off),
            some(matches_pattern!(WriteOutcome::Accepted(_))),
            "seed {seed}"
        );
        let owner = (0..f.daemons.len()).find(|i| {
            f.control(*i)
                .is_some_and(|b| b.registers.held_until(ZONE, f.now).is_some())
        });
        let asked = f.rng.usize(..f.daemons.len());
        // Either whoever was asked stands still, or who owns the key: before or after it took it or told of it.
        let (unread, still) = (
            seed % 3 == 2,
            if seed % 3 == 1 {
                owner.unwrap_or(asked)
            } else {
                asked
            },
        );
        if !unread {
            send(&mut f, asked, &on);
            let ms = f.rng.u64(..60);
            f.run(ms);
        }
        let ms = f.rng.u64(9_000..20_000);
        f.daemons[still].suspended_until = f.now + ms;
        let others: Vec<usize> = up(&f).into_iter().filter(|i| *i != still).collect();
        for o in [&on, &off] {
            let took = (0..200).any(|_| {
                let at = *f.rng.choice(&others).unwrap();
                let w = send(&mut f, at, o);
                matches!(end(&mut f, w), Some(WriteOutcome::Accepted(_)))
            });
            expect_true!(took, "seed {seed}");
            // It lasts for longer than any daemon tries to have it accepted.
            f.run(FORWARD_TIMEOUT);
        }
        let wakes = f.daemons[still].suspended_until;
        expect_that!(
            wakes,
            gt(f.now),
            "seed {seed}: it woke too soon to show anything"
        );
        f.run(wakes.saturating_sub(f.now));
        if unread {
            send(&mut f, still, &on);
        }
        f.run(20_000);
        for i in up(&f) {
            let value = f.value(i, ZONE).map(|h| String::from_utf8(h.1).unwrap());
            expect_that!(
                value.as_deref(),
                some(eq("off")),
                "seed {seed}, daemon {i}, {still} stood still"
            );
        }
    }
}

/// A daemon that is cut off has an evacuation on its way to the key's owner and goes on trying; the operator goes to
/// others, and has taken the evacuation back by the time that the daemon reaches the owner.
#[gtest]
fn an_evacuation_that_was_taken_back_does_not_come_back_from_a_daemon_that_was_cut_off() {
    let on = Order {
        key: ZONE,
        expect: Expect::Any,
        value: b"on".to_vec(),
    };
    let off = Order {
        value: b"off".to_vec(),
        ..on.clone()
    };
    let mut late = 0;
    for seed in 0..150u64 {
        let mut f = settled(seed);
        expect_that!(
            clear(&mut f, &off),
            some(matches_pattern!(WriteOutcome::Accepted(_))),
            "seed {seed}"
        );
        let owner = (0..f.daemons.len()).find(|i| {
            f.control(*i)
                .is_some_and(|b| b.registers.held_until(ZONE, f.now).is_some())
        });
        let others: Vec<usize> = up(&f).into_iter().filter(|i| Some(*i) != owner).collect();
        let cut = *f.rng.choice(&others).unwrap();
        let near: Vec<usize> = up(&f).into_iter().filter(|i| *i != cut).collect();
        let from = f.now;
        f.partitioned.insert(fleet::addr(cut));
        send(&mut f, cut, &on);
        let ms = f.rng.u64(..300);
        f.run(ms);
        for o in [&on, &off] {
            let at = *f.rng.choice(&near).unwrap();
            let w = send(&mut f, at, o);
            expect_that!(
                end(&mut f, w),
                some(matches_pattern!(WriteOutcome::Accepted(_))),
                "seed {seed}"
            );
        }
        // It still tries then.
        late += u64::from(f.now < from + FORWARD_TIMEOUT);
        f.partitioned.clear();
        f.run(8_000);
        for i in up(&f) {
            let value = f.value(i, ZONE).map(|h| String::from_utf8(h.1).unwrap());
            expect_that!(
                value.as_deref(),
                some(eq("off")),
                "seed {seed}, daemon {i}, {cut} was cut off"
            );
        }
    }
    expect_that!(late, gt(140));
}

/// An evacuation takes longer to reach the key's owner than its sender waits, and so does one that the owner reads only once
/// it wakes: it has been taken back by then, and stays so.
#[gtest]
fn an_evacuation_that_was_taken_back_does_not_come_back_from_the_network() {
    let on = Order {
        key: ZONE,
        expect: Expect::Any,
        value: b"on".to_vec(),
    };
    let off = Order {
        value: b"off".to_vec(),
        ..on.clone()
    };
    for seed in 0..120u64 {
        let mut f = settled(seed);
        expect_that!(
            clear(&mut f, &off),
            some(matches_pattern!(WriteOutcome::Accepted(_))),
            "seed {seed}"
        );
        let owner = (0..f.daemons.len()).find(|i| {
            f.control(*i)
                .is_some_and(|b| b.registers.held_until(ZONE, f.now).is_some())
        });
        let others: Vec<usize> = up(&f).into_iter().filter(|i| Some(*i) != owner).collect();
        let asked = *f.rng.choice(&others).unwrap();
        f.extra_latency = f.rng.u64(1_000..2_400);
        let first = send(&mut f, asked, &on);
        let late = f.now + f.extra_latency;
        f.extra_latency = 0;
        for o in [&on, &off] {
            let at = *f.rng.choice(&others).unwrap();
            let w = send(&mut f, at, o);
            expect_that!(
                end(&mut f, w),
                some(matches_pattern!(WriteOutcome::Accepted(_))),
                "seed {seed}"
            );
        }
        expect_that!(
            late,
            gt(f.now),
            "seed {seed}: it came too soon to show anything"
        );
        f.run(8_000);
        for i in up(&f) {
            let value = f.value(i, ZONE).map(|h| String::from_utf8(h.1).unwrap());
            expect_that!(value.as_deref(), some(eq("off")), "seed {seed}, daemon {i}");
        }
        // Its sender is not told that it was refused: it was accepted elsewhere.
        let told = first.and_then(|w| f.write_outcomes.get(&w)).map(|e| e.1);
        expect_that!(
            told,
            not(some(matches_pattern!(WriteOutcome::Conflict(_)))),
            "seed {seed}"
        );
    }
}
