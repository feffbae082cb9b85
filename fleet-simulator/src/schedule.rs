//! Named schedules of faults; times and victims come from the seed.

use remote_calls::RolloutPhase;

use crate::{
    deployment::Deployment,
    faults::{Fault, How},
    history::Ms,
    wrong::{WRONGS, Wrong},
};

pub type Schedule = Vec<(Ms, Fault)>;

/// ms. Faults begin when the fleet has served for a while.
const FROM: Ms = 12_000;
/// ms. How long a run lasts.
pub const LENGTH: Ms = 60_000;

/// How long a run of a schedule lasts: rollouts take their time.
pub fn length(name: &str) -> Ms {
    if name.starts_with("rollout") || name.starts_with("placed") {
        3 * LENGTH
    } else {
        LENGTH
    }
}

/// Every schedule by name, and what it brings about.
pub const NAMES: &[(&str, &str)] = &[
    ("quiet", "nothing fails"),
    (
        "founding",
        "the control daemons that found the system are killed in the middle of it",
    ),
    (
        "five_voters",
        "six control daemons, of which two lose their disks at once, and others are killed later",
    ),
    ("kill_one", "one control daemon is killed and comes back"),
    (
        "kill_many",
        "two of three control daemons are killed together",
    ),
    ("kill_edges", "agents and proxies are killed"),
    (
        "total_loss",
        "every daemon is killed together, with specs put just before",
    ),
    (
        "freeze",
        "control daemons and edges stop and go on, with specs and evacuations meanwhile",
    ),
    ("wipe", "a control daemon loses its disk"),
    (
        "wipe_after_accept",
        "a disk is lost just after it confirmed a spec",
    ),
    (
        "replace",
        "control machines are replaced by empty ones at new addresses, one after the other",
    ),
    (
        "blank_and_lagging",
        "a blank disk while another voter lags behind a cut",
    ),
    ("disk_slow", "disks slow down"),
    ("disk_full", "disks fill up and get room again"),
    (
        "split",
        "control machines are split apart, with operators racing on both sides",
    ),
    ("cut_one", "single machines are cut off, also one way only"),
    ("cut_region", "a region is cut off"),
    ("cut_control", "the edges are cut from all control machines"),
    ("replicas", "replicas crash, go dark and come back cold"),
    (
        "storm",
        "half of the replicas crash at once under a crowd, again and again",
    ),
    (
        "cold_crowd",
        "replicas come back cold while a crowd is there",
    ),
    ("replaced", "replicas are warned and taken away one by one"),
    ("evacuate", "zones are evacuated and restored"),
    ("race", "operators race, and put specs in quick succession"),
    ("crowd", "a crowd comes at once"),
    (
        "swing",
        "callers swing to long answers, and move between zones",
    ),
    ("rollout", "a good version is rolled out"),
    (
        "rollout_bad",
        "a version that fails from the start is rolled out",
    ),
    ("rollout_late", "a version turns bad when it is half out"),
    ("rollout_lane", "a version fails on one lane only"),
    (
        "rollout_faults",
        "a rollout while its leaders are frozen, killed and cut off, and replicas crash",
    ),
    (
        "lose_control",
        "every control daemon is lost and comes back",
    ),
    ("lose_edges", "every edge is lost and comes back"),
    (
        "loss_again",
        "a total loss, and another while the fleet comes back",
    ),
    (
        "retry_storm",
        "a total loss in a crowd whose callers all come back when they were told to",
    ),
    (
        "lose_region",
        "a region is lost with all that is in it, and comes back",
    ),
    ("lose_region_for_good", "a region is lost for good"),
    ("lose_two_regions", "two regions are lost and come back"),
    (
        "leaving_ways",
        "replicas say that they leave, are drained by a smaller spec, and are warned",
    ),
    (
        "short_notice",
        "replicas are warned a few seconds before they go, in a crowd",
    ),
    (
        "leaving_split",
        "replicas are warned while control is split and its daemons die",
    ),
    (
        "evacuate_all",
        "zones are evacuated until some callers have no home left",
    ),
    (
        "evacuate_race",
        "operators evacuate and restore a zone at once",
    ),
    (
        "evacuate_busy",
        "a zone is evacuated while a crowd streams and waits there",
    ),
    (
        "misbehave",
        "replicas' streams come wrong in every way, and are resumed",
    ),
    (
        "resume",
        "replicas and proxies die under long streams, with replicas that join another run",
    ),
    ("network", "messages come late, twice or not at all"),
    (
        "clocks",
        "clocks run up to a twentieth apart, with control daemons killed and cut off",
    ),
    (
        "platform",
        "the platform is silent, tells an old list, loses and delays orders; replicas move",
    ),
    (
        "load_late",
        "versions load very late while replicas crash and a version is rolled out",
    ),
    (
        "edges_replaced",
        "edge machines are replaced by empty ones at new addresses",
    ),
    (
        "rolling",
        "every daemon is restarted, one after the other, as for an upgrade",
    ),
    (
        "all_replaced",
        "every machine of the fleet is replaced, one after the other",
    ),
    (
        "cold_dark",
        "replicas go dark, come back cold, and meet proxies that have just started",
    ),
    ("rollout_slow", "a version that is far too slow"),
    ("rollout_zone", "a version that fails in one zone only"),
    (
        "rollout_long_lane",
        "a version that fails on the rarer lane only",
    ),
    (
        "rollout_load",
        "a version that fails under load, and a crowd when it is half out",
    ),
    (
        "rollout_end",
        "a version that fails at the end of its answers",
    ),
    (
        "rollout_baking",
        "a version that turns bad about when it is all out",
    ),
    (
        "rollout_done",
        "a version that turns bad when the old one is gone",
    ),
    (
        "rollout_evacuate",
        "a zone is evacuated and restored while a version shifts",
    ),
    (
        "rollout_plans",
        "plans are replaced and turned back in every phase, also by two operators at once",
    ),
    (
        "rollout_kill_switch",
        "the kill switch is put on and off in the middle of a step",
    ),
    (
        "rollout_pairs",
        "two faults of any kind while a version is rolled out",
    ),
    (
        "placed",
        "the platform replaces releases one by one, and replicas crash, come back and are warned",
    ),
    (
        "placed_good",
        "a good version where the platform places versions",
    ),
    ("placed_bad", "a version that fails from the start there"),
    (
        "placed_late",
        "a version that turns bad there, before its time or when it is half out",
    ),
    ("placed_lane", "a version that fails on one lane only there"),
    ("placed_slow", "a version that is far too slow there"),
    (
        "placed_load",
        "replicas that report their version very late there",
    ),
    (
        "placed_faults",
        "an order there while its leaders are frozen, killed and cut off, and replicas crash",
    ),
    ("placed_plans", "orders there that are replaced under way"),
    ("engine_quiet", "replicas are engines, and nothing fails"),
    ("engine_crowd", "three times as many requests to engines"),
    (
        "engine_region_lost",
        "a region with its engines is lost for a while",
    ),
    (
        "grey",
        "replicas fail part of what they are sent and say that they are well",
    ),
    ("lying", "replicas' health answers are false, either way"),
    ("flapping", "replicas go down and come back by turns"),
    (
        "long_spec",
        "the spec grows by many lanes on slow links, and goes on changing",
    ),
    (
        "two_losses",
        "six control daemons: two lose their disks at once, two more are lost, and then a region",
    ),
    ("engine_grey", "engines fail part of what they are sent"),
    (
        "engine_lying",
        "engines say that they are well and answer nothing",
    ),
    (
        "engine_flapping",
        "engines go down and come back cold by turns",
    ),
    ("pairs", "two or three faults of any kind at once"),
    ("mix", "anything"),
];

/// Schedules that `mix` does not draw from: seeds that once failed keep their days.
const LATER: [&str; 5] = ["grey", "lying", "flapping", "long_spec", "two_losses"];

fn cut(a: &[&str], b: &[&str], ms: Ms, one_way: bool) -> Fault {
    let own = |v: &[&str]| v.iter().map(|s| s.to_string()).collect();
    Fault::Cut {
        a: own(a),
        b: own(b),
        ms,
        one_way,
    }
}

/// A schedule as JSON, for this deployment; the reason if it is none, or names what the fleet does not have.
pub fn read(text: &str, d: &Deployment) -> Result<Schedule, String> {
    let s: Schedule = serde_json::from_str(text).map_err(|e| format!("no schedule: {e}"))?;
    let (controls, edges) = (
        d.control.len(),
        d.edges.iter().map(|e| e.count).sum::<usize>(),
    );
    s.iter()
        .try_for_each(|(t, f)| f.fits(controls, edges).map_err(|e| format!("{t}: {e}")))?;
    Ok(s)
}

/// Any fault at all.
fn any(r: &mut fastrand::Rng, d: &Deployment) -> Fault {
    let (controls, edges) = (
        d.control.len(),
        d.edges.iter().map(|e| e.count).sum::<usize>(),
    );
    let zones: Vec<String> = d.spec.zones.iter().map(|z| z.name.clone()).collect();
    let (c, e, z, nth) = (
        r.usize(..controls),
        r.usize(..edges),
        r.usize(..zones.len()),
        r.usize(..50),
    );
    let (down, ms) = (r.u64(100..5_000), r.u64(1_000..9_000));
    let machine = |r: &mut fastrand::Rng| {
        if r.bool() {
            format!("control-{}", r.usize(..controls) + 1)
        } else {
            format!("edge-{}", r.usize(..edges) + 1)
        }
    };
    match r.usize(..33) {
        0 => Fault::KillControl { at: c, down },
        1 => Fault::WipeControl { at: c, down },
        2 => Fault::ReplaceControl { at: c, down },
        3 => Fault::WipeAfterAccept { at: c, down },
        4 => Fault::KillAgent { at: e, down },
        5 => Fault::KillProxy { at: e, down },
        6 => Fault::KillEdge { at: e, down },
        7 => Fault::FreezeControl { at: c, ms },
        8 => Fault::FreezeEdge { at: e, ms },
        9 => cut(
            &[&machine(r)],
            &zones.iter().map(String::as_str).collect::<Vec<_>>(),
            ms,
            r.bool(),
        ),
        10 => cut(&[&zones[z]], &[&zones[(z + 1) % zones.len()]], ms, r.bool()),
        11 => cut(
            &[&machine(r), &machine(r)],
            &[&machine(r), &machine(r)],
            ms,
            r.bool(),
        ),
        12 => Fault::DiskSlow {
            at: c,
            sync: r.u64(20..1_200),
            ms,
        },
        13 => Fault::DiskFull { at: c, ms },
        14 => Fault::ReplicaCrash { nth, down },
        15 => Fault::ReplicaDark { nth, ms },
        16 => Fault::Warn {
            nth,
            leaves_in: r.u64(500..9_000),
        },
        17 => Fault::TotalLoss {
            down: r.u64(100..1_500),
        },
        18 => Fault::LoseControl {
            down: r.u64(100..2_000),
        },
        19 => Fault::LoseEdges {
            down: r.u64(100..2_000),
        },
        20 => Fault::LoseRegion {
            zone: z,
            ms: Some(ms),
        },
        21 => Fault::ReplaceEdge { at: e, down },
        22 => Fault::Network {
            extra: r.u64(10..300),
            lost: r.u32(..12),
            twice: r.u32(..20),
            ms,
        },
        23 => Fault::Misbehave {
            wrong: WRONGS[r.usize(..WRONGS.len())],
            percent: 20,
            ms,
        },
        24 => Fault::ReplicaLeaves { nth, gone_in: ms },
        25 => Fault::ReplicaMoves { nth, down },
        26 => Fault::PlatformSilent { ms },
        27 => Fault::PlatformStale { ms },
        28 => Fault::Orders {
            lost: r.u32(..90),
            late: r.u64(..5_000),
            ms,
        },
        29 => Fault::LoadSlow {
            load: r.u64(2_000..12_000),
            ms,
        },
        30 => Fault::RaceZone { zone: z },
        31 => Fault::RaceSpecs,
        _ => Fault::Crowd {
            times: 2 + r.u32(..8),
            ms,
        },
    }
}

/// Specs, and in the midst of them two control daemons lose their disks at once; gives the other one.
fn two_disks(r: &mut fastrand::Rng, t: Ms, c: usize, controls: usize, s: &mut Schedule) -> usize {
    s.extend((0..6).map(|i| (t - 600 + i * 200, Fault::PutSpec)));
    let other = (c + r.usize(1..controls)) % controls;
    for at in [c, other] {
        let down = r.u64(200..3_000);
        s.push((
            t,
            if r.bool() {
                Fault::WipeControl { at, down }
            } else {
                Fault::ReplaceControl { at, down }
            },
        ));
    }
    other
}

/// A schedule by name; none if there is no such name.
pub fn named(name: &str, seed: u64, d: &Deployment) -> Option<Schedule> {
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x5eed);
    let r = &mut rng;
    let (controls, edges) = (
        d.control.len(),
        d.edges.iter().map(|e| e.count).sum::<usize>(),
    );
    let zones: Vec<String> = d.spec.zones.iter().map(|z| z.name.clone()).collect();
    let ctl = |i: usize| format!("control-{}", i % controls + 1);
    let plan = |v: &str| Fault::Plan { target: v.into() };
    let bad = |v: &str, lane: Option<String>, percent: u32| Fault::Bad {
        version: v.into(),
        lane,
        zone: None,
        percent,
        how: How::Fails,
    };
    let when = |phase, wait, f| Fault::When {
        phase,
        wait,
        then: Box::new(f),
    };
    let mut s: Schedule = vec![];
    let at = |r: &mut fastrand::Rng| FROM + r.u64(..3_000);
    let c = r.usize(..controls);
    match name {
        "quiet" | "engine_quiet" => {}
        "engine_crowd" => s.push((
            25_000,
            Fault::Crowd {
                times: 3,
                ms: 12_000,
            },
        )),
        "engine_region_lost" => s.push((
            25_000 + r.u64(..2_000),
            Fault::LoseRegion {
                zone: c,
                ms: Some(6_000),
            },
        )),
        "founding" => {
            s.push((
                r.u64(20..900),
                Fault::KillControl {
                    at: c,
                    down: r.u64(100..900),
                },
            ));
            s.push((
                r.u64(20..900),
                Fault::KillControl {
                    at: r.usize(..controls),
                    down: r.u64(100..900),
                },
            ));
            s.extend((1..6).map(|i| (at(r) + i * 900, Fault::PutSpec)));
        }
        "five_voters" => {
            let t = at(r);
            two_disks(r, t, c, controls, &mut s);
            // Back and whole: the next losses are borne as well.
            s.push((
                t + 9_000,
                Fault::WipeAfterAccept {
                    at: r.usize(..controls),
                    down: r.u64(200..2_000),
                },
            ));
            s.push((
                t + 9_000 + r.u64(..500),
                Fault::KillControl {
                    at: r.usize(..controls),
                    down: r.u64(500..4_000),
                },
            ));
            s.push((
                t + 20_000,
                Fault::LoseControl {
                    down: r.u64(100..1_000),
                },
            ));
            s.extend((0..12).map(|i| (t + 2_000 + i * 2_000, Fault::PutSpec)));
        }
        "kill_one" => {
            let t = at(r);
            s.push((t, Fault::PutSpec));
            s.push((
                t + r.u64(..200),
                Fault::KillControl {
                    at: c,
                    down: r.u64(500..6_000),
                },
            ));
            s.extend((1..6).map(|i| (t + i * 900, Fault::PutSpec)));
        }
        "kill_many" => {
            let t = at(r);
            for i in [c, c + 1] {
                s.push((
                    t,
                    Fault::KillControl {
                        at: i % controls,
                        down: r.u64(3_000..9_000),
                    },
                ));
            }
            s.extend((0..10).map(|i| (t - 1_000 + i * 700, Fault::PutSpec)));
        }
        "kill_edges" => {
            for i in 0..4 {
                let t = at(r) + i * 4_000;
                let (at, down) = (r.usize(..edges), r.u64(200..4_000));
                s.push((
                    t,
                    if r.bool() {
                        Fault::KillProxy { at, down }
                    } else {
                        Fault::KillAgent { at, down }
                    },
                ));
                s.push((
                    t + 900,
                    Fault::KillEdge {
                        at: r.usize(..edges),
                        down: r.u64(200..4_000),
                    },
                ));
            }
        }
        "total_loss" => {
            let t = at(r) + 4_000;
            s.extend((0..8).map(|i| (t - i * 60, Fault::PutSpec)));
            s.push((
                t + r.u64(..120),
                Fault::TotalLoss {
                    down: r.u64(100..1_500),
                },
            ));
        }
        "freeze" => {
            for i in 0..4 {
                let t = at(r) + i * 7_000;
                s.push((
                    t,
                    Fault::FreezeControl {
                        at: r.usize(..controls),
                        ms: r.u64(500..9_000),
                    },
                ));
                s.push((
                    t,
                    Fault::FreezeEdge {
                        at: r.usize(..edges),
                        ms: r.u64(500..9_000),
                    },
                ));
                s.push((t + 300, Fault::PutSpec));
                s.push((
                    t + 600,
                    if i % 2 == 0 {
                        Fault::Evacuate { zone: c }
                    } else {
                        Fault::Restore { zone: c }
                    },
                ));
            }
        }
        "wipe" => {
            let t = at(r);
            s.extend((0..6).map(|i| (t - 600 + i * 300, Fault::PutSpec)));
            s.push((
                t,
                Fault::WipeControl {
                    at: c,
                    down: r.u64(200..3_000),
                },
            ));
        }
        "wipe_after_accept" => {
            let t = at(r);
            s.push((
                t,
                Fault::WipeAfterAccept {
                    at: c,
                    down: r.u64(200..2_000),
                },
            ));
            s.push((
                t + r.u64(100..3_000),
                Fault::KillControl {
                    at: (c + 1) % controls,
                    down: r.u64(500..4_000),
                },
            ));
            s.extend((1..5).map(|i| (t + i * 2_000, Fault::PutSpec)));
        }
        "replace" => {
            for i in 0..3 {
                let t = at(r) + i * 12_000;
                s.push((
                    t,
                    Fault::ReplaceControl {
                        at: (c + i as usize) % controls,
                        down: r.u64(200..2_000),
                    },
                ));
                s.extend((0..4).map(|k| (t + k * 1_500, Fault::PutSpec)));
            }
        }
        "blank_and_lagging" => {
            let t = at(r);
            let (a, b) = (ctl(c), ctl(c + 1));
            // The second lags behind a cut while the others confirm; then the first's disk is lost, the third
            // goes away and the cut ends: the two that are left must not count as a majority.
            s.push((t, cut(&[&b], &[&a, &ctl(c + 2)], 4_000, false)));
            s.extend((1..5).map(|i| (t + 1_500 + i * 300, Fault::PutSpec)));
            s.push((
                t + 3_400,
                Fault::WipeControl {
                    at: c,
                    down: r.u64(100..500),
                },
            ));
            s.push((
                t + 3_500,
                Fault::KillControl {
                    at: (c + 2) % controls,
                    down: r.u64(6_000..9_000),
                },
            ));
            s.extend((0..8).map(|i| (t + 5_500 + i * 1_000, Fault::PutSpec)));
        }
        "disk_slow" => {
            for i in 0..controls {
                s.push((
                    at(r),
                    Fault::DiskSlow {
                        at: i,
                        sync: r.u64(50..1_500),
                        ms: r.u64(3_000..15_000),
                    },
                ));
            }
            s.extend((0..12).map(|i| (FROM + i * 1_500, Fault::PutSpec)));
        }
        "disk_full" => {
            for i in 0..2 {
                s.push((
                    at(r),
                    Fault::DiskFull {
                        at: (c + i) % controls,
                        ms: r.u64(3_000..12_000),
                    },
                ));
            }
            s.extend((0..12).map(|i| (FROM + i * 1_700, Fault::PutSpec)));
        }
        "split" => {
            let t = at(r);
            s.push((
                t,
                cut(
                    &[&ctl(c)],
                    &[&ctl(c + 1), &ctl(c + 2)],
                    r.u64(3_000..12_000),
                    r.bool(),
                ),
            ));
            for i in 0..8 {
                s.push((
                    t + i * 1_000,
                    if i % 2 == 0 {
                        Fault::RaceSpecs
                    } else {
                        Fault::PutSpec
                    },
                ));
            }
        }
        "cut_one" => {
            for i in 0..3 {
                let t = at(r) + i * 8_000;
                let e = format!("edge-{}", r.usize(..edges) + 1);
                let all: Vec<&str> = zones.iter().map(|z| z.as_str()).collect();
                s.push((t, cut(&[&e], &all, r.u64(2_000..9_000), r.bool())));
                s.push((t + 500, Fault::PutSpec));
                s.push((
                    t + 900,
                    if i % 2 == 0 {
                        Fault::Evacuate { zone: c }
                    } else {
                        Fault::Restore { zone: c }
                    },
                ));
                s.push((
                    t + 2_000,
                    cut(&[&ctl(c)], &all, r.u64(1_000..4_000), r.bool()),
                ));
            }
        }
        "cut_region" => {
            let t = at(r);
            let z = zones[r.usize(..zones.len())].clone();
            let rest: Vec<&str> = zones
                .iter()
                .filter(|x| **x != z)
                .map(|x| x.as_str())
                .collect();
            s.push((t, cut(&[&z], &rest, r.u64(5_000..20_000), false)));
            s.extend((0..6).map(|i| (t + 300 + i * 1_500, Fault::PutSpec)));
            s.push((t + 1_000, Fault::Evacuate { zone: c }));
            s.push((t + 16_000, Fault::Restore { zone: c }));
        }
        "cut_control" => {
            let t = at(r);
            let names: Vec<String> = (0..controls).map(ctl).collect();
            let all: Vec<&str> = names.iter().map(|n| n.as_str()).collect();
            let e: Vec<String> = (0..edges).map(|i| format!("edge-{}", i + 1)).collect();
            let e: Vec<&str> = e.iter().map(|n| n.as_str()).collect();
            s.push((t, cut(&e, &all, r.u64(4_000..15_000), false)));
        }
        "replicas" => {
            for i in 0..6 {
                let t = at(r) + i * 5_000;
                s.push((
                    t,
                    Fault::ReplicaCrash {
                        nth: r.usize(..50),
                        down: r.u64(300..3_000),
                    },
                ));
                s.push((
                    t + 1_500,
                    Fault::ReplicaDark {
                        nth: r.usize(..50),
                        ms: r.u64(500..6_000),
                    },
                ));
            }
        }
        "storm" => {
            let t = at(r);
            s.push((
                t,
                Fault::Crowd {
                    times: 8,
                    ms: 20_000,
                },
            ));
            for k in 0..5 {
                s.extend((0..9).map(|i| {
                    (
                        t + 2_000 + k * 3_500,
                        Fault::ReplicaCrash {
                            nth: (i * 2) as usize,
                            down: 300,
                        },
                    )
                }));
            }
        }
        "grey" | "engine_grey" => {
            for i in 0..4 {
                let f = Fault::ReplicaGrey {
                    nth: r.usize(..90),
                    percent: 30 + r.u32(..60),
                    ms: r.u64(12_000..18_000),
                };
                s.push((at(r) + i * 5_000, f));
            }
        }
        "lying" | "engine_lying" => {
            for i in 0..4 {
                let well = i % 2 == 0 || name == "engine_lying";
                s.push((
                    at(r) + i * 5_000,
                    Fault::HealthLies {
                        nth: r.usize(..90),
                        well,
                        ms: r.u64(8_000..14_000),
                    },
                ));
            }
        }
        "flapping" | "engine_flapping" => {
            for i in 0..4 {
                let (down, up) = (r.u64(300..2_500), r.u64(1_500..6_000));
                s.push((
                    at(r) + i * 3_000,
                    Fault::ReplicaFlaps {
                        nth: r.usize(..90),
                        down,
                        up,
                        ms: r.u64(12_000..20_000),
                    },
                ));
            }
            s.push((
                at(r) + 4_000,
                Fault::KillProxy {
                    at: r.usize(..edges),
                    down: r.u64(200..1_200),
                },
            ));
            s.push((
                at(r) + 9_000,
                Fault::KillEdge {
                    at: r.usize(..edges),
                    down: r.u64(200..1_200),
                },
            ));
        }
        "long_spec" => {
            s.push((
                FROM,
                Fault::LongSpec {
                    lanes: 3_000 + r.usize(..1_000),
                    links: (1_250, 15_000),
                },
            ));
            s.extend((0..5).map(|i| (FROM + 5_000 + i * 4_000, Fault::PutSpec)));
            s.push((
                at(r) + 6_000,
                Fault::KillControl {
                    at: c,
                    down: r.u64(500..3_000),
                },
            ));
            s.push((
                at(r) + 9_000,
                Fault::KillEdge {
                    at: r.usize(..edges),
                    down: r.u64(200..2_000),
                },
            ));
            s.push((at(r) + 13_000, Fault::Evacuate { zone: c }));
            s.push((at(r) + 22_000, Fault::Restore { zone: c }));
        }
        "two_losses" => {
            let t = at(r);
            let other = two_disks(r, t, c, controls, &mut s);
            if r.bool() {
                // Two lag behind a cut while the others confirm, and those two that do not lag and kept their disks go
                // away: those who lag and those who are blank must not count as a majority.
                let rest: Vec<usize> = (0..controls).filter(|i| *i != c && *i != other).collect();
                let (lag, kept) = rest.split_at(2);
                let lag: Vec<String> = lag.iter().map(|i| ctl(*i)).collect();
                let ahead: Vec<String> = kept.iter().chain([&c, &other]).map(|i| ctl(*i)).collect();
                s.push((
                    t - 3_400,
                    Fault::Cut {
                        a: lag,
                        b: ahead,
                        ms: 4_000,
                        one_way: false,
                    },
                ));
                s.extend(kept.iter().map(|at| {
                    (
                        t + 100,
                        Fault::KillControl {
                            at: *at,
                            down: r.u64(4_000..6_000),
                        },
                    )
                }));
            }
            // Whole again: the next two are borne as well, one of them just after it confirmed a spec.
            let (a, b) = (r.usize(..controls), r.usize(1..controls));
            s.push((
                t + 12_000,
                Fault::WipeAfterAccept {
                    at: a,
                    down: r.u64(200..2_000),
                },
            ));
            s.push((
                t + 12_000 + r.u64(..60),
                Fault::KillControl {
                    at: (a + b) % controls,
                    down: r.u64(500..4_000),
                },
            ));
            // And then a region with all that is in it.
            let lost = zones[r.usize(..zones.len())].clone();
            let ms = r.u64(4_000..9_000);
            for z in d.beside(&lost) {
                let zone = zones.iter().position(|x| *x == z).unwrap_or(0);
                s.push((t + 24_000, Fault::LoseRegion { zone, ms: Some(ms) }));
            }
            s.extend((0..14).map(|i| (t + 2_000 + i * 2_000, Fault::PutSpec)));
        }
        "cold_crowd" => {
            let t = at(r);
            s.push((
                t,
                Fault::Crowd {
                    times: 6,
                    ms: 25_000,
                },
            ));
            s.extend((0..8).map(|i| {
                (
                    t + 1_000 + i * 2_500,
                    Fault::ReplicaCrash {
                        nth: r.usize(..50),
                        down: r.u64(300..2_000),
                    },
                )
            }));
        }
        "replaced" => {
            for i in 0..5 {
                s.push((
                    at(r) + i * 6_000,
                    Fault::Warn {
                        nth: r.usize(..50),
                        leaves_in: r.u64(5_000..12_000),
                    },
                ));
            }
        }
        "evacuate" => {
            for i in 0..3 {
                let (t, z) = (at(r) + i * 13_000, r.usize(..3));
                s.push((t, Fault::Evacuate { zone: z }));
                s.push((t + 8_000, Fault::Restore { zone: z }));
            }
        }
        "race" => {
            for i in 0..8 {
                s.push((at(r) + i * 2_000, Fault::RaceSpecs));
                s.push((at(r) + i * 2_000, Fault::PutSpec));
            }
        }
        "crowd" => {
            s.push((
                at(r),
                Fault::Crowd {
                    times: 8 + r.u32(..8),
                    ms: r.u64(5_000..12_000),
                },
            ));
            s.push((
                at(r) + 20_000,
                Fault::Crowd {
                    times: 20,
                    ms: 4_000,
                },
            ));
        }
        "swing" => {
            s.push((
                at(r),
                Fault::Swing {
                    ms: r.u64(5_000..15_000),
                },
            ));
            s.push((
                at(r) + 10_000,
                Fault::Move {
                    from: c,
                    to: (c + 1) % 3,
                    ms: r.u64(5_000..15_000),
                },
            ));
        }
        "rollout" => s.push((FROM, plan("v2"))),
        "rollout_bad" => {
            s.push((FROM - 100, bad("v2", None, 40 + r.u32(..60))));
            s.push((FROM, plan("v2")));
        }
        "rollout_late" => {
            s.push((FROM - 6_000, plan("v2")));
            s.push((
                FROM,
                when(
                    RolloutPhase::Shifting,
                    r.u64(..20_000),
                    bad("v2", None, 40 + r.u32(..60)),
                ),
            ));
        }
        "rollout_lane" => {
            let lane = d.mix[0].lane.clone();
            s.push((FROM - 100, bad("v2", Some(lane), 60)));
            s.push((FROM, plan("v2")));
        }
        "rollout_faults" => {
            s.push((FROM - 4_000, plan("v2")));
            if r.bool() {
                s.push((
                    FROM,
                    when(RolloutPhase::Shifting, r.u64(..8_000), bad("v2", None, 60)),
                ));
            }
            for i in 0..5 {
                let t = at(r) + i * 14_000;
                s.push((
                    t,
                    Fault::FreezeControl {
                        at: r.usize(..controls),
                        ms: r.u64(500..7_000),
                    },
                ));
                s.push((
                    t + 1_000,
                    Fault::ReplicaCrash {
                        nth: r.usize(..50),
                        down: r.u64(300..3_000),
                    },
                ));
                s.push((
                    t + 2_500,
                    Fault::KillControl {
                        at: r.usize(..controls),
                        down: r.u64(500..3_000),
                    },
                ));
                s.push((
                    t + 3_000,
                    Fault::KillProxy {
                        at: r.usize(..edges),
                        down: r.u64(500..3_000),
                    },
                ));
            }
        }
        "placed" => {
            s.push((0, Fault::Places));
            s.extend((0..6).map(|i| {
                (
                    at(r) + i * 6_000,
                    Fault::Release {
                        nth: r.usize(..50),
                        version: "v1.1".into(),
                    },
                )
            }));
            for i in 0..3 {
                s.push((
                    at(r) + i * 9_000,
                    Fault::ReplicaCrash {
                        nth: r.usize(..50),
                        down: r.u64(300..3_000),
                    },
                ));
                s.push((
                    at(r) + i * 9_000,
                    Fault::Warn {
                        nth: r.usize(..50),
                        leaves_in: r.u64(3_000..9_000),
                    },
                ));
                s.push((
                    at(r) + i * 7_000,
                    Fault::KillControl {
                        at: r.usize(..controls),
                        down: r.u64(500..3_000),
                    },
                ));
            }
        }
        "placed_good" => s.extend([(0, Fault::Places), (FROM, plan("v2"))]),
        "placed_bad" | "placed_lane" | "placed_slow" => {
            let lane = (name == "placed_lane").then(|| d.mix[0].lane.clone());
            let how = if name == "placed_slow" {
                How::Slow
            } else {
                How::Fails
            };
            s.push((0, Fault::Places));
            let percent = 50 + r.u32(..50);
            s.push((
                FROM - 100,
                Fault::Bad {
                    version: "v2".into(),
                    lane,
                    zone: None,
                    percent,
                    how,
                },
            ));
            s.push((FROM, plan("v2")));
        }
        "placed_late" => {
            s.extend([(0, Fault::Places), (FROM, plan("v2"))]);
            s.push((
                FROM + r.u64(4_000..60_000),
                bad("v2", None, 40 + r.u32(..60)),
            ));
        }
        "placed_load" => {
            s.extend([
                (0, Fault::Places),
                (
                    FROM - 100,
                    Fault::LoadSlow {
                        load: r.u64(10_000..40_000),
                        ms: 60_000,
                    },
                ),
            ]);
            s.push((FROM, plan("v2")));
        }
        "placed_faults" => {
            s.extend([(0, Fault::Places), (FROM, plan("v2"))]);
            if r.bool() {
                s.push((
                    FROM,
                    when(RolloutPhase::Shifting, r.u64(..8_000), bad("v2", None, 60)),
                ));
            }
            for i in 0..6 {
                let t = FROM + r.u64(..4_000) + i * 9_000;
                s.push((
                    t,
                    Fault::FreezeControl {
                        at: r.usize(..controls),
                        ms: r.u64(500..7_000),
                    },
                ));
                s.push((
                    t + 1_000,
                    Fault::ReplicaCrash {
                        nth: r.usize(..50),
                        down: r.u64(300..3_000),
                    },
                ));
                s.push((
                    t + 4_500,
                    Fault::KillControl {
                        at: r.usize(..controls),
                        down: r.u64(500..3_000),
                    },
                ));
            }
        }
        "placed_plans" => {
            s.extend([(0, Fault::Places), (FROM, plan("v2"))]);
            s.push((FROM + r.u64(500..60_000), plan("v3")));
        }
        "lose_control" => s.push((
            at(r) + 4_000,
            Fault::LoseControl {
                down: r.u64(500..4_000),
            },
        )),
        "lose_edges" => s.push((
            at(r) + 4_000,
            Fault::LoseEdges {
                down: r.u64(500..4_000),
            },
        )),
        "loss_again" => {
            let t = at(r) + 4_000;
            s.extend((0..6).map(|i| (t - i * 80, Fault::PutSpec)));
            s.push((
                t,
                Fault::TotalLoss {
                    down: r.u64(100..1_000),
                },
            ));
            s.push((
                t + 1_000 + r.u64(..2_500),
                Fault::TotalLoss {
                    down: r.u64(100..1_000),
                },
            ));
        }
        "retry_storm" => {
            let t = at(r) + 4_000;
            s.push((t - 3_000, Fault::ComeBack { ms: 40_000 }));
            s.push((
                t - 2_000,
                Fault::Crowd {
                    times: 4 + r.u32(..6),
                    ms: 6_000,
                },
            ));
            s.push((
                t,
                Fault::TotalLoss {
                    down: r.u64(500..3_000),
                },
            ));
        }
        "lose_region" => s.push((
            at(r),
            Fault::LoseRegion {
                zone: c,
                ms: Some(r.u64(4_000..15_000)),
            },
        )),
        "lose_region_for_good" => {
            s.push((at(r), Fault::LoseRegion { zone: c, ms: None }));
            s.extend((0..4).map(|i| (FROM + 6_000 + i * 3_000, Fault::PutSpec)));
        }
        "lose_two_regions" => {
            let t = at(r);
            s.push((
                t,
                Fault::LoseRegion {
                    zone: c,
                    ms: Some(r.u64(6_000..15_000)),
                },
            ));
            s.push((
                t + r.u64(..2_000),
                Fault::LoseRegion {
                    zone: c + 1,
                    ms: Some(r.u64(6_000..15_000)),
                },
            ));
        }
        "leaving_ways" => {
            for i in 0..3 {
                let t = at(r) + i * 9_000;
                s.push((
                    t,
                    Fault::ReplicaLeaves {
                        nth: r.usize(..50),
                        gone_in: r.u64(6_000..9_000),
                    },
                ));
                s.push((
                    t + 2_000,
                    Fault::Shrink {
                        zone: r.usize(..3),
                        by: 1,
                    },
                ));
                s.push((
                    t + 4_000,
                    Fault::Warn {
                        nth: r.usize(..50),
                        leaves_in: r.u64(5_000..9_000),
                    },
                ));
            }
        }
        "short_notice" => {
            let t = at(r);
            s.push((
                t,
                Fault::Crowd {
                    times: 5,
                    ms: 20_000,
                },
            ));
            s.extend((0..6).map(|i| {
                (
                    t + i * 3_000,
                    Fault::Warn {
                        nth: r.usize(..50),
                        leaves_in: r.u64(300..4_000),
                    },
                )
            }));
        }
        "leaving_split" => {
            let t = at(r);
            s.push((
                t,
                cut(
                    &[&ctl(c)],
                    &[&ctl(c + 1), &ctl(c + 2)],
                    r.u64(6_000..12_000),
                    false,
                ),
            ));
            for i in 0..4 {
                s.push((
                    t + 300 + i * 3_000,
                    Fault::Warn {
                        nth: r.usize(..50),
                        leaves_in: r.u64(6_000..9_000),
                    },
                ));
                s.push((
                    t + 250 + i * 3_000,
                    Fault::KillControl {
                        at: r.usize(..controls),
                        down: r.u64(500..2_500),
                    },
                ));
            }
        }
        "evacuate_all" => {
            let t = at(r);
            s.extend((0..3).map(|i| {
                (
                    t + i * 7_000,
                    Fault::Evacuate {
                        zone: c + i as usize,
                    },
                )
            }));
            s.extend((0..3).map(|i| {
                (
                    t + 22_000 + i * 2_000,
                    Fault::Restore {
                        zone: c + i as usize,
                    },
                )
            }));
        }
        "evacuate_race" => {
            s.extend((0..5).map(|i| (at(r) + i * 7_000, Fault::RaceZone { zone: r.usize(..3) })));
        }
        "evacuate_busy" => {
            let t = at(r);
            s.push((
                t,
                Fault::Crowd {
                    times: 8,
                    ms: 20_000,
                },
            ));
            s.push((t + 1_000, Fault::Swing { ms: 15_000 }));
            s.push((t + 4_000, Fault::Evacuate { zone: c }));
            s.push((t + 16_000, Fault::Restore { zone: c }));
        }
        "misbehave" => {
            for (i, wrong) in WRONGS.into_iter().enumerate() {
                s.push((
                    FROM + i as Ms * 3_000,
                    Fault::Misbehave {
                        wrong,
                        percent: 30,
                        ms: 3_000,
                    },
                ));
                s.push((
                    FROM + 1_500 + i as Ms * 3_000,
                    Fault::KillProxy {
                        at: r.usize(..edges),
                        down: r.u64(200..1_200),
                    },
                ));
            }
        }
        "resume" => {
            let t = at(r);
            s.push((t, Fault::Swing { ms: 30_000 }));
            s.push((
                t,
                Fault::Misbehave {
                    wrong: Wrong::Joins,
                    percent: 100,
                    ms: 30_000,
                },
            ));
            for i in 0..8 {
                s.push((
                    t + 2_000 + i * 3_000,
                    Fault::KillProxy {
                        at: r.usize(..edges),
                        down: r.u64(200..1_200),
                    },
                ));
                s.push((
                    t + 2_030 + i * 3_000,
                    Fault::ReplicaCrash {
                        nth: r.usize(..50),
                        down: 10,
                    },
                ));
            }
        }
        "network" => {
            for i in 0..3 {
                let f = Fault::Network {
                    extra: r.u64(20..400),
                    lost: r.u32(..15),
                    twice: r.u32(..30),
                    ms: r.u64(4_000..9_000),
                };
                s.push((at(r) + i * 11_000, f));
            }
            s.extend((0..10).map(|i| {
                (
                    FROM + 500 + i * 3_100,
                    if i % 3 == 0 {
                        Fault::RaceSpecs
                    } else {
                        Fault::PutSpec
                    },
                )
            }));
            s.push((FROM + 5_000, Fault::Evacuate { zone: c }));
            s.push((FROM + 20_000, Fault::Restore { zone: c }));
        }
        "clocks" => {
            // From the start on, so that the fleet has lived with them when its daemons change.
            for n in (0..controls)
                .map(ctl)
                .chain((0..edges).map(|i| format!("edge-{}", i + 1)))
            {
                s.push((
                    2_000,
                    Fault::Clock {
                        name: n,
                        thousandths: r.i64(-25..=25),
                    },
                ));
            }
            for i in 0..5 {
                let t = at(r) + i * 6_000;
                s.push((
                    t,
                    Fault::FreezeControl {
                        at: r.usize(..controls),
                        ms: r.u64(500..5_000),
                    },
                ));
                s.push((
                    t + 2_000,
                    cut(
                        &[&ctl(r.usize(..3))],
                        &[&ctl(0), &ctl(1), &ctl(2)],
                        r.u64(1_000..5_000),
                        r.bool(),
                    ),
                ));
                s.push((t + 3_000, Fault::PutSpec));
            }
            // Duties change hands at the moment their leases end, at the largest drift that these allow for.
            for i in 0..4 {
                s.push((
                    at(r) + i * 11_000,
                    Fault::CutHolder {
                        ms: r.u64(4_500..7_000),
                        thousandths: 25,
                    },
                ));
            }
        }
        "platform" => {
            s.push((
                at(r),
                Fault::PlatformStale {
                    ms: r.u64(3_000..8_000),
                },
            ));
            s.push((
                at(r) + 500,
                Fault::ReplicaMoves {
                    nth: r.usize(..50),
                    down: r.u64(300..2_000),
                },
            ));
            s.push((
                at(r) + 10_000,
                Fault::PlatformSilent {
                    ms: r.u64(3_000..9_000),
                },
            ));
            s.push((
                at(r) + 11_000,
                Fault::ReplicaMoves {
                    nth: r.usize(..50),
                    down: r.u64(300..2_000),
                },
            ));
            s.push((
                at(r) + 11_500,
                Fault::Warn {
                    nth: r.usize(..50),
                    leaves_in: r.u64(5_000..9_000),
                },
            ));
            s.push((
                at(r) + 20_000,
                Fault::Orders {
                    lost: r.u32(..80),
                    late: r.u64(..9_000),
                    ms: 15_000,
                },
            ));
            s.push((FROM + 6_000, plan("v2")));
        }
        "load_late" => {
            s.push((
                FROM,
                Fault::LoadSlow {
                    load: r.u64(5_000..25_000),
                    ms: 30_000,
                },
            ));
            s.push((FROM + 500, plan("v2")));
            s.extend((0..3).map(|i| {
                (
                    at(r) + i * 7_000,
                    Fault::ReplicaCrash {
                        nth: r.usize(..50),
                        down: r.u64(300..2_000),
                    },
                )
            }));
        }
        "edges_replaced" => {
            for i in 0..5 {
                s.push((
                    at(r) + i * 5_000,
                    Fault::ReplaceEdge {
                        at: r.usize(..edges),
                        down: r.u64(200..2_000),
                    },
                ));
                s.push((at(r) + i * 5_000 + 700, Fault::PutSpec));
            }
        }
        "rolling" => {
            for i in 0..controls {
                s.push((
                    FROM + i as Ms * 6_000,
                    Fault::KillControl {
                        at: i,
                        down: r.u64(200..1_000),
                    },
                ));
                s.push((FROM + i as Ms * 6_000 + 500, Fault::PutSpec));
            }
            for i in 0..edges {
                s.push((
                    FROM + 20_000 + i as Ms * 2_500,
                    Fault::KillEdge {
                        at: i,
                        down: r.u64(200..1_000),
                    },
                ));
            }
        }
        "all_replaced" => {
            let n = (edges + controls) as Ms;
            for i in 0..edges {
                s.push((
                    FROM + i as Ms * (36_000 / n),
                    Fault::ReplaceEdge {
                        at: i,
                        down: r.u64(200..800),
                    },
                ));
            }
            for i in 0..controls {
                let t = FROM + (edges + 3 * i) as Ms * (36_000 / n) / 2;
                s.push((
                    t,
                    Fault::ReplaceControl {
                        at: i,
                        down: r.u64(200..800),
                    },
                ));
                s.push((t + 3_000, Fault::PutSpec));
            }
        }
        "cold_dark" => {
            let t = at(r);
            s.push((
                t,
                Fault::Crowd {
                    times: 5,
                    ms: 25_000,
                },
            ));
            for i in 0..6 {
                let nth = r.usize(..50);
                s.push((
                    t + 1_000 + i * 3_500,
                    Fault::ReplicaDark {
                        nth,
                        ms: r.u64(500..2_500),
                    },
                ));
                s.push((
                    t + 2_000 + i * 3_500,
                    Fault::ReplicaCrash {
                        nth,
                        down: r.u64(50..1_000),
                    },
                ));
                s.push((
                    t + 3_300 + i * 3_500,
                    Fault::KillProxy {
                        at: r.usize(..edges),
                        down: r.u64(100..600),
                    },
                ));
            }
        }
        "rollout_slow" | "rollout_zone" | "rollout_long_lane" | "rollout_end" => {
            let (lane, zone, how) = match name {
                "rollout_slow" => (None, None, How::Slow),
                "rollout_zone" => (None, Some(zones[c].clone()), How::Fails),
                "rollout_long_lane" => (d.mix.last().map(|m| m.lane.clone()), None, How::Fails),
                _ => (None, None, How::FailsLate),
            };
            s.push((
                FROM - 100,
                Fault::Bad {
                    version: "v2".into(),
                    lane,
                    zone,
                    percent: 60 + r.u32(..40),
                    how,
                },
            ));
            s.push((FROM, plan("v2")));
        }
        "rollout_load" => {
            let how = How::FailsBusy;
            s.push((
                FROM - 6_100,
                Fault::Bad {
                    version: "v2".into(),
                    lane: None,
                    zone: None,
                    percent: 80,
                    how,
                },
            ));
            s.push((FROM - 6_000, plan("v2")));
            s.push((
                FROM,
                when(
                    RolloutPhase::Shifting,
                    r.u64(..20_000),
                    Fault::Crowd {
                        times: 8,
                        ms: 10_000,
                    },
                ),
            ));
        }
        "rollout_baking" => {
            s.push((FROM - 6_000, plan("v2")));
            let phase = if r.bool() {
                RolloutPhase::Baking
            } else {
                RolloutPhase::Unloading
            };
            s.push((
                FROM,
                when(phase, r.u64(..4_000), bad("v2", None, 40 + r.u32(..60))),
            ));
        }
        "rollout_done" => {
            s.push((FROM - 6_000, plan("v2")));
            s.push((
                FROM,
                when(
                    RolloutPhase::Unloading,
                    15_000,
                    bad("v2", None, 40 + r.u32(..60)),
                ),
            ));
        }
        "rollout_evacuate" => {
            s.push((FROM - 6_000, plan("v2")));
            s.push((
                FROM,
                when(
                    RolloutPhase::Shifting,
                    r.u64(..15_000),
                    Fault::Evacuate { zone: c },
                ),
            ));
            s.push((
                FROM,
                when(RolloutPhase::Shifting, 25_000, Fault::Restore { zone: c }),
            ));
        }
        "rollout_plans" => {
            let mut t = FROM - 6_000;
            for i in 0..4 {
                s.push((t, plan(["v2", "v3", "v1", "v2"][i])));
                t += r.u64(2_000..60_000);
            }
            s.push((
                t,
                Fault::RacePlans {
                    targets: ["v3".into(), "v1".into()],
                },
            ));
        }
        "rollout_kill_switch" => {
            s.push((FROM - 6_000, plan("v2")));
            let phase = [
                RolloutPhase::Canary,
                RolloutPhase::Shifting,
                RolloutPhase::Unloading,
            ][c % 3];
            let t = r.u64(..10_000);
            s.push((FROM, when(phase, t, Fault::KillSwitch { on: true })));
            s.push((
                FROM,
                when(
                    phase,
                    t + r.u64(3_000..12_000),
                    Fault::KillSwitch { on: false },
                ),
            ));
        }
        "pairs" | "rollout_pairs" => {
            let t = at(r);
            let n = 2 + r.usize(..2);
            s.extend((0..n).map(|_| (t + r.u64(..4_000), any(r, d))));
            s.extend((0..n).map(|_| (t + 16_000 + r.u64(..4_000), any(r, d))));
            if name == "rollout_pairs" {
                s.extend((0..n).map(|_| (t + 40_000 + r.u64(..30_000), any(r, d))));
            }
            s.extend((0..8).map(|i| (t + 500 + i * 3_000, Fault::PutSpec)));
            if name == "rollout_pairs" {
                s.push((FROM - 6_000, plan("v2")));
            }
        }
        "mix" => {
            let others: Vec<&str> = NAMES
                .iter()
                .map(|n| n.0)
                .filter(|n| {
                    *n != "mix"
                        && !LATER.contains(n)
                        && !["rollout", "placed", "engine"]
                            .iter()
                            .any(|p| n.starts_with(p))
                })
                .collect();
            for _ in 0..3 {
                let n = others[r.usize(..others.len())];
                s.extend(named(n, r.u64(..), d)?);
            }
            s.push((FROM, plan("v2")));
            s.sort_by_key(|x| x.0);
        }
        _ => return None,
    }
    Some(s)
}
