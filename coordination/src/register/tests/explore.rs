//! A bounded exhaustive model checker of the registers: every order in which messages arrive, late, twice or never,
//! disks sync, voters crash or come back with blank disks, owners acquire keys, operators write, read and repeat, and
//! voters are replaced, up to a depth. The registers are the production ones; what is modelled is the network, the
//! disks and the operators.
//!
//! States are told apart by a digest of all they hold that affects what follows, and each is visited once, breadth
//! first. `EXPLORE_STATES=n` goes further than CI does; `--nocapture` prints how far.

use std::{
    collections::{BTreeMap, HashSet, VecDeque},
    sync::{Arc, Condvar, Mutex},
};

use googletest::prelude::*;
use wire_messages::{Blob, Message};
use xxhash_rust::xxh3::xxh3_128;

use super::*;
use crate::WriteOutcome;
use history::Request::{self, ChangeVoters, Put, Read, ReadMembers};
use world::{Ablation, Action, CALM, Scenario, Setup, World};

mod history;
mod world;

/// How a state came about, newest step first.
type Trace = Option<Arc<Step>>;
struct Step {
    action: Action,
    before: Trace,
}

fn steps(mut trace: &Trace) -> Vec<Action> {
    let mut all = vec![];
    while let Some(step) = trace {
        all.push(step.action);
        trace = &step.before;
    }
    all.reverse();
    all
}

/// What was visited: all orders of so many steps, the states that they led to, and the first violation.
struct Explored {
    depth: u32,
    states: usize,
    violation: Option<String>,
}

/// Scenarios that are explored at the same time: each keeps the worlds of its last steps in memory.
const MAX_CONCURRENT: usize = 4;

/// How many are explored now, over all tests of this process.
static CONCURRENT: Mutex<usize> = Mutex::new(0);
static ONE_ENDED: Condvar = Condvar::new();

/// One of the `MAX_CONCURRENT` places, until it is dropped.
struct Place;

impl Place {
    fn take() -> Place {
        let concurrent = CONCURRENT.lock().unwrap();
        let mut concurrent = ONE_ENDED
            .wait_while(concurrent, |concurrent| *concurrent >= MAX_CONCURRENT)
            .unwrap();
        *concurrent += 1;
        Place
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        *CONCURRENT.lock().unwrap() -= 1;
        ONE_ENDED.notify_one();
    }
}

/// Visits all orders, the shortest first, until something is violated, none is left, or a bound is reached.
fn explore(world: World, max_depth: u32, max_states: usize) -> Explored {
    let _place = Place::take();
    let mut seen = HashSet::from([world.digest()]);
    let mut states: Vec<(World, Trace)> = vec![(world, None)];
    for depth in 0..max_depth {
        let mut next = vec![];
        // Each is dropped once its successors are known: a world takes kilobytes.
        for (world, trace) in states {
            for action in world.actions() {
                let mut after = world.clone();
                after.apply(action);
                if after.changed_nothing_since(&world) || !seen.insert(after.digest()) {
                    continue;
                }
                let trace = Some(Arc::new(Step {
                    action,
                    before: trace.clone(),
                }));
                if let Some(violation) = after.violation() {
                    return Explored {
                        depth: depth + 1,
                        states: seen.len(),
                        violation: Some(format!(
                            "{violation}\n{:#?}\n{:#?}",
                            steps(&trace),
                            after.calls()
                        )),
                    };
                }
                // Nothing more can be reported once all calls have ended.
                if after.has_open_calls() {
                    next.push((after, trace));
                }
            }
            if seen.len() >= max_states {
                return Explored {
                    depth,
                    states: seen.len(),
                    violation: None,
                };
            }
        }
        states = next;
    }
    Explored {
        depth: max_depth,
        states: seen.len(),
        violation: None,
    }
}

/// States that a run in CI visits at most, for each scenario: some ten seconds.
const MAX_STATES: usize = 150_000;

const FIRST_WRITE: Request = Put { value: 1, on: 0 };
const RIVAL_WRITE: Request = Put { value: 2, on: 0 };
const NEXT_WRITE: Request = Put { value: 3, on: 1 };
const LATER_WRITE: Request = Put { value: 4, on: 2 };
const LAST_WRITE: Request = Put { value: 5, on: 3 };

/// What happens to a register whose voters stay as they are.
const REGISTER_SCENARIOS: [Scenario; 6] = [
    Scenario {
        name: "two owners write on one version, and one reads",
        calls: &[(0, FIRST_WRITE), (1, RIVAL_WRITE), (2, Read)],
        ..CALM
    },
    Scenario {
        name: "an owner writes, is replaced, and both read",
        calls: &[(0, FIRST_WRITE), (1, Read), (0, Read)],
        ..CALM
    },
    Scenario {
        name: "a write is repeated elsewhere after another replaced it",
        calls: &[(0, FIRST_WRITE), (0, NEXT_WRITE), (1, FIRST_WRITE)],
        ..CALM
    },
    Scenario {
        name: "one crashes while two owners write",
        crashes: 1,
        calls: &[(0, FIRST_WRITE), (1, RIVAL_WRITE)],
        ..CALM
    },
    Scenario {
        name: "one crashes around a write and a read",
        crashes: 1,
        calls: &[(0, FIRST_WRITE), (1, Read)],
        ..CALM
    },
    Scenario {
        name: "a message arrives twice while two owners write",
        copies: 1,
        calls: &[(0, FIRST_WRITE), (1, RIVAL_WRITE)],
        ..CALM
    },
];

/// The first voter owns both keys.
const OWNED: &[Setup] = &[Setup::Call(0, Read), Setup::Call(0, ReadMembers)];
/// The first voter owns both keys and has written.
const WRITTEN: &[Setup] = &[Setup::Call(0, FIRST_WRITE), Setup::Call(0, ReadMembers)];

/// A voter is replaced by a joiner, which then writes against the owner.
const REPLACEMENT: Scenario = Scenario {
    name: "a voter is replaced, and owner and joiner write",
    joiners: 1,
    slots_requests: 3,
    prologue: OWNED,
    calls: &[
        (0, ChangeVoters(&[0, 1, 3])),
        (0, FIRST_WRITE),
        (3, RIVAL_WRITE),
    ],
    ..CALM
};

/// The owner loses its own place, and writes.
const REMOVAL: Scenario = Scenario {
    name: "the owner is removed while it writes, and the joiner reads",
    joiners: 1,
    slots_requests: 3,
    prologue: OWNED,
    calls: &[(0, ChangeVoters(&[1, 2, 3])), (0, FIRST_WRITE), (3, Read)],
    ..CALM
};

/// A voter that does not know that its place was given away writes on as the owner.
const REMOVED_WHILE_CUT_OFF: Scenario = Scenario {
    name: "the owner is removed while it is cut off, and owner and joiner write",
    joiners: 1,
    prologue: &[
        Setup::Call(0, Read),
        Setup::CutOff(0),
        Setup::Call(1, ChangeVoters(&[1, 2, 3])),
        Setup::Join(3),
    ],
    calls: &[(0, FIRST_WRITE), (3, RIVAL_WRITE)],
    ..CALM
};

/// The joiner knows of its place before the former voters know that one of them has lost it.
const UNNOTICED_CHANGE: Scenario = Scenario {
    name: "a voter is replaced, of which the former voters do not learn",
    joiners: 1,
    slots_requests: 2,
    prologue: &[
        Setup::Call(0, Read),
        Setup::CallWithLostCommits(1, ChangeVoters(&[1, 2, 3])),
    ],
    calls: &[(0, FIRST_WRITE), (3, RIVAL_WRITE)],
    ..CALM
};

/// A member that was away for several commits and lost its place is given one again.
const SEVERAL_COMMITS_BEHIND: Scenario = Scenario {
    name: "a member that is several commits behind is listed again, and reads",
    joiners: 1,
    slots_requests: 2,
    prologue: &[
        Setup::CutOff(2),
        Setup::Call(0, FIRST_WRITE),
        Setup::Call(0, NEXT_WRITE),
        Setup::Call(0, ChangeVoters(&[0, 1, 3])),
        Setup::Join(3),
        Setup::Call(0, LATER_WRITE),
        Setup::Call(0, ReadMembers),
    ],
    calls: &[(0, ChangeVoters(&[0, 1, 2])), (0, LAST_WRITE), (2, Read)],
    ..CALM
};

/// Two of five voters are replaced at once.
const REPLACEMENT_OF_FIVE: Scenario = Scenario {
    name: "of five voters two are replaced, and owner and joiner write",
    voters: 5,
    joiners: 2,
    slots_requests: 3,
    prologue: OWNED,
    calls: &[
        (0, ChangeVoters(&[0, 1, 2, 5, 6])),
        (0, FIRST_WRITE),
        (5, RIVAL_WRITE),
    ],
    ..CALM
};

/// What happens to a register while its voters change.
const MEMBER_SCENARIOS: [Scenario; 12] = [
    REPLACEMENT,
    REMOVAL,
    REMOVED_WHILE_CUT_OFF,
    UNNOTICED_CHANGE,
    SEVERAL_COMMITS_BEHIND,
    Scenario {
        name: "a voter comes back with a blank disk and is listed again, and it reads",
        wiped: Some(2),
        slots_requests: 3,
        prologue: OWNED,
        calls: &[(0, FIRST_WRITE), (0, ChangeVoters(&[0, 1, 2])), (2, Read)],
        ..CALM
    },
    Scenario {
        name: "one crashes while a voter is replaced, and the joiner reads",
        joiners: 1,
        crashes: 1,
        slots_requests: 3,
        prologue: OWNED,
        calls: &[(0, ChangeVoters(&[0, 1, 3])), (0, FIRST_WRITE), (3, Read)],
        ..CALM
    },
    Scenario {
        name: "two daemons change the voters at once, and the joiner reads",
        joiners: 2,
        slots_requests: 3,
        prologue: WRITTEN,
        calls: &[
            (0, ChangeVoters(&[0, 1, 3])),
            (1, ChangeVoters(&[0, 1, 4])),
            (0, NEXT_WRITE),
            (3, Read),
        ],
        ..CALM
    },
    REPLACEMENT_OF_FIVE,
    Scenario {
        name: "of five voters the owner and another are removed while they are cut off, and all write",
        voters: 5,
        joiners: 2,
        prologue: &[
            Setup::Call(0, Read),
            Setup::CutOff(0),
            Setup::CutOff(4),
            Setup::Call(1, ChangeVoters(&[1, 2, 3, 5, 6])),
            Setup::Join(5),
            Setup::Join(6),
        ],
        calls: &[(0, FIRST_WRITE), (5, RIVAL_WRITE)],
        ..CALM
    },
    Scenario {
        name: "of five voters two are replaced, of which the former voters do not learn",
        voters: 5,
        joiners: 2,
        slots_requests: 3,
        prologue: &[
            Setup::Call(0, Read),
            Setup::CallWithLostCommits(1, ChangeVoters(&[1, 2, 3, 5, 6])),
        ],
        calls: &[(0, FIRST_WRITE), (5, RIVAL_WRITE)],
        ..CALM
    },
    Scenario {
        name: "of five voters the owner and another are replaced, and a joiner reads",
        voters: 5,
        joiners: 2,
        slots_requests: 3,
        prologue: OWNED,
        calls: &[
            (0, ChangeVoters(&[1, 2, 3, 5, 6])),
            (0, FIRST_WRITE),
            (5, Read),
        ],
        ..CALM
    },
];

/// No order of events is longer: each scenario ends before.
const MAX_DEPTH: u32 = 64;

/// Explores each scenario in a thread of its own, and expects that nothing is violated.
fn expect_no_violation(scenarios: &[Scenario]) {
    let max_states = std::env::var("EXPLORE_STATES")
        .ok()
        .and_then(|states| states.parse().ok())
        .unwrap_or(MAX_STATES);
    let run = |scenario: &Scenario| {
        let started = std::time::Instant::now();
        let world = World::new(Ablation::Nothing, scenario);
        let explored = explore(world, MAX_DEPTH, max_states);
        println!(
            "{}: all orders of {} steps, {} states, {:.1} s",
            scenario.name,
            explored.depth,
            explored.states,
            started.elapsed().as_secs_f64()
        );
        explored.violation
    };
    let violations: Vec<_> = std::thread::scope(|scope| {
        let threads: Vec<_> = scenarios
            .iter()
            .map(|scenario| scope.spawn(move || run(scenario)))
            .collect();
        threads
            .into_iter()
            .map(|thread| thread.join().unwrap())
            .collect()
    });
    for (scenario, violation) in scenarios.iter().zip(violations) {
        expect_that!(violation, none(), "{}", scenario.name);
    }
}

/// Explores each scenario without a mechanism, and expects that the explorer finds what it prevents.
fn expect_violations(cases: &[(Ablation, Scenario)]) {
    let explored: Vec<_> = std::thread::scope(|scope| {
        let run = |(ablation, scenario): &(Ablation, Scenario)| {
            let world = World::new(*ablation, scenario);
            explore(world, MAX_DEPTH, 10 * MAX_STATES)
        };
        let threads: Vec<_> = cases
            .iter()
            .map(|case| scope.spawn(move || run(case)))
            .collect();
        threads
            .into_iter()
            .map(|thread| thread.join().unwrap())
            .collect()
    });
    for ((ablation, scenario), explored) in cases.iter().zip(explored) {
        println!(
            "{ablation:?} left out, {}: violated after {} steps, {} states",
            scenario.name, explored.depth, explored.states
        );
        expect_that!(
            explored.violation,
            some(anything()),
            "{ablation:?} ({}) is not seen to be needed in {} steps",
            scenario.name,
            explored.depth
        );
    }
}

#[gtest]
fn no_order_of_messages_syncs_and_crashes_violates_linearizability() {
    expect_no_violation(&REGISTER_SCENARIOS);
}

#[gtest]
fn no_order_of_changes_of_voters_violates_linearizability() {
    expect_no_violation(&MEMBER_SCENARIOS);
}

/// Each mechanism is needed: once it is taken away the explorer finds the violation that it prevents.
#[gtest]
fn each_mechanism_taken_away_violates_linearizability_in_some_order() {
    let two_writes = Scenario {
        calls: &[(0, FIRST_WRITE), (1, RIVAL_WRITE)],
        ..CALM
    };
    expect_violations(&[
        (
            Ablation::SyncBeforeAnswer,
            Scenario {
                crashes: 2,
                ..two_writes
            },
        ),
        (
            Ablation::ConfirmedRead,
            Scenario {
                calls: &[(0, FIRST_WRITE), (1, NEXT_WRITE), (0, Read)],
                ..CALM
            },
        ),
        (Ablation::AcceptedInPromise, two_writes),
        (Ablation::PromiseKept, two_writes),
        (
            Ablation::History,
            Scenario {
                calls: &[(0, FIRST_WRITE), (0, NEXT_WRITE), (1, FIRST_WRITE)],
                ..CALM
            },
        ),
        (Ablation::Majority, two_writes),
    ]);
}

/// The same for what a change of voters rests on.
#[gtest]
fn each_mechanism_of_reconfiguration_taken_away_violates_linearizability_in_some_order() {
    let shorter_list = Scenario {
        name: "a list of voters gets shorter",
        prologue: OWNED,
        calls: &[(0, ChangeVoters(&[2])), (0, FIRST_WRITE), (2, RIVAL_WRITE)],
        ..CALM
    };
    expect_violations(&[
        (Ablation::CatchUpBeforeVote, REPLACEMENT),
        (Ablation::MajorityOfFormerVoters, REPLACEMENT),
        (Ablation::MemberEpochInVote, REMOVED_WHILE_CUT_OFF),
        (Ablation::ClosedMemberEpoch, UNNOTICED_CHANGE),
        (Ablation::CatchUpBeforeVote, SEVERAL_COMMITS_BEHIND),
        (Ablation::Nothing, shorter_list),
    ]);
}
