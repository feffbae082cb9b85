//! A bounded exhaustive model checker for the registers. Up to a depth, it explores every order in which messages are
//! delivered, delayed, duplicated or lost, disks sync, voters crash or restart with blank disks, owners acquire keys,
//! operators write, read and repeat requests, and voters are replaced. The registers are the production code; the
//! network, the disks and the operators are modelled.
//!
//! The search is breadth-first and visits each state once. A state is identified by a digest of everything in it that
//! affects later steps. `EXPLORE_STATES=n` raises the limit of states above that of CI; `--nocapture` prints the depth
//! reached.

use std::{
    collections::{BTreeMap, HashSet, VecDeque},
    sync::{Arc, Condvar, Mutex},
};

use googletest::prelude::*;
use wire_messages::{Blob, Message};
use xxhash_rust::xxh3::xxh3_128;

use super::*;
use crate::WriteOutcome;
use history::Request::{self, ChangeVoters, Overwrite, Put, Read, ReadMembers};
use world::{Ablation, Action, NO_FAULTS, Scenario, Setup, World};

mod history;
mod world;

/// The steps that led to a state, newest first.
type Trace = Option<Arc<Step>>;
struct Step {
    action: Action,
    before: Trace,
}

/// Returns the actions of a trace, oldest first.
fn steps(mut trace: &Trace) -> Vec<Action> {
    let mut all = vec![];
    while let Some(step) = trace {
        all.push(step.action);
        trace = &step.before;
    }
    all.reverse();
    all
}

/// Result of an exploration: the depth explored completely or at the violation, the number of states and the first
/// violation.
struct Explored {
    depth: u32,
    states: usize,
    violation: Option<String>,
}

/// Maximum number of scenarios explored concurrently: each keeps the worlds of its last depth in memory.
const MAX_CONCURRENT: usize = 4;

/// Number of explorations running in all tests of this process.
static CONCURRENT: Mutex<usize> = Mutex::new(0);
static EXPLORATION_ENDED: Condvar = Condvar::new();

/// One of the `MAX_CONCURRENT` permits to explore, released on drop.
struct ExplorationPermit;

impl ExplorationPermit {
    /// Waits for a free permit.
    fn acquire() -> ExplorationPermit {
        let concurrent = CONCURRENT.lock().unwrap();
        let mut concurrent = EXPLORATION_ENDED
            .wait_while(concurrent, |concurrent| *concurrent >= MAX_CONCURRENT)
            .unwrap();
        *concurrent += 1;
        ExplorationPermit
    }
}

impl Drop for ExplorationPermit {
    fn drop(&mut self) {
        *CONCURRENT.lock().unwrap() -= 1;
        EXPLORATION_ENDED.notify_one();
    }
}

/// Explores all orders, shortest first, until a violation is found, no state is left or a bound is reached.
fn explore(world: World, max_depth: u32, max_states: usize) -> Explored {
    let _permit = ExplorationPermit::acquire();
    let mut seen = HashSet::from([world.digest()]);
    let mut states: Vec<(World, Trace)> = vec![(world, None)];
    for depth in 0..max_depth {
        let mut next = vec![];
        // Drops each world once its successors are known: a world takes kilobytes.
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
                // Once all calls have ended, no later step can report a violation.
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

/// Maximum number of states per scenario in CI: about ten seconds.
const MAX_STATES: usize = 150_000;

const FIRST_WRITE: Request = Put { value: 1, on: 0 };
const RIVAL_WRITE: Request = Put { value: 2, on: 0 };
const NEXT_WRITE: Request = Put { value: 3, on: 1 };
const LATER_WRITE: Request = Put { value: 4, on: 2 };
const LAST_WRITE: Request = Put { value: 5, on: 3 };

/// Scenarios in which the voters do not change.
const REGISTER_SCENARIOS: [Scenario; 6] = [
    Scenario {
        name: "two owners write on the same version, and a third voter reads",
        calls: &[(0, FIRST_WRITE), (1, RIVAL_WRITE), (2, Read)],
        ..NO_FAULTS
    },
    Scenario {
        name: "an owner writes, is replaced, and both read",
        calls: &[(0, FIRST_WRITE), (1, Read), (0, Read)],
        ..NO_FAULTS
    },
    Scenario {
        name: "a write is repeated at another voter after a later write replaced it",
        calls: &[(0, FIRST_WRITE), (0, NEXT_WRITE), (1, FIRST_WRITE)],
        ..NO_FAULTS
    },
    Scenario {
        name: "a voter crashes while two owners write",
        crashes: 1,
        calls: &[(0, FIRST_WRITE), (1, RIVAL_WRITE)],
        ..NO_FAULTS
    },
    Scenario {
        name: "a voter crashes during a write and a read",
        crashes: 1,
        calls: &[(0, FIRST_WRITE), (1, Read)],
        ..NO_FAULTS
    },
    Scenario {
        name: "a message arrives twice while two owners write",
        copies: 1,
        calls: &[(0, FIRST_WRITE), (1, RIVAL_WRITE)],
        ..NO_FAULTS
    },
];

/// The first voter owns both keys.
const OWNED: &[Setup] = &[Setup::Call(0, Read), Setup::Call(0, ReadMembers)];
/// The first voter owns both keys and has written a value.
const WRITTEN: &[Setup] = &[Setup::Call(0, FIRST_WRITE), Setup::Call(0, ReadMembers)];

/// A voter is replaced by a joiner, which then writes concurrently with the owner.
const REPLACEMENT: Scenario = Scenario {
    name: "a voter is replaced, and the owner and the joiner write",
    joiners: 1,
    slots_requests: 3,
    prologue: OWNED,
    calls: &[
        (0, ChangeVoters(&[0, 1, 3])),
        (0, FIRST_WRITE),
        (3, RIVAL_WRITE),
    ],
    ..NO_FAULTS
};

/// The owner is removed from the voters while it writes.
const REMOVAL: Scenario = Scenario {
    name: "the owner is removed while it writes, and the joiner reads",
    joiners: 1,
    slots_requests: 3,
    prologue: OWNED,
    calls: &[(0, ChangeVoters(&[1, 2, 3])), (0, FIRST_WRITE), (3, Read)],
    ..NO_FAULTS
};

/// An owner that does not know that it was removed from the voters continues to write.
const REMOVAL_WHILE_PARTITIONED: Scenario = Scenario {
    name: "the owner is removed while it is partitioned, and the owner and the joiner write",
    joiners: 1,
    prologue: &[
        Setup::Call(0, Read),
        Setup::Partition(0),
        Setup::Call(1, ChangeVoters(&[1, 2, 3])),
        Setup::Join(3),
    ],
    calls: &[(0, FIRST_WRITE), (3, RIVAL_WRITE)],
    ..NO_FAULTS
};

/// The joiner receives the new voters before the former voters do.
const REPLACEMENT_WITH_LOST_COMMITS: Scenario = Scenario {
    name: "a voter is replaced, and the former voters miss the commit",
    joiners: 1,
    slots_requests: 2,
    prologue: &[
        Setup::Call(0, Read),
        Setup::CallWithLostCommits(1, ChangeVoters(&[1, 2, 3])),
    ],
    calls: &[(0, FIRST_WRITE), (3, RIVAL_WRITE)],
    ..NO_FAULTS
};

/// A voter that missed several commits and was removed is made a voter again.
const SEVERAL_COMMITS_BEHIND: Scenario = Scenario {
    name: "a former voter that is several commits behind becomes a voter again and reads",
    joiners: 1,
    slots_requests: 2,
    prologue: &[
        Setup::Partition(2),
        Setup::Call(0, FIRST_WRITE),
        Setup::Call(0, NEXT_WRITE),
        Setup::Call(0, ChangeVoters(&[0, 1, 3])),
        Setup::Join(3),
        Setup::Call(0, LATER_WRITE),
        Setup::Call(0, ReadMembers),
    ],
    calls: &[(0, ChangeVoters(&[0, 1, 2])), (0, LAST_WRITE), (2, Read)],
    ..NO_FAULTS
};

/// Two of five voters are replaced in one reconfiguration.
const REPLACEMENT_OF_FIVE: Scenario = Scenario {
    name: "two of five voters are replaced, and the owner and a joiner write",
    voters: 5,
    joiners: 2,
    slots_requests: 3,
    prologue: OWNED,
    calls: &[
        (0, ChangeVoters(&[0, 1, 2, 5, 6])),
        (0, FIRST_WRITE),
        (5, RIVAL_WRITE),
    ],
    ..NO_FAULTS
};

/// Scenarios in which the voters change.
const MEMBER_SCENARIOS: [Scenario; 12] = [
    REPLACEMENT,
    REMOVAL,
    REMOVAL_WHILE_PARTITIONED,
    REPLACEMENT_WITH_LOST_COMMITS,
    SEVERAL_COMMITS_BEHIND,
    Scenario {
        name: "a voter restarts with a blank disk, becomes a voter again and reads",
        wiped: Some(2),
        slots_requests: 3,
        prologue: OWNED,
        calls: &[(0, FIRST_WRITE), (0, ChangeVoters(&[0, 1, 2])), (2, Read)],
        ..NO_FAULTS
    },
    Scenario {
        name: "a daemon crashes while a voter is replaced, and the joiner reads",
        joiners: 1,
        crashes: 1,
        slots_requests: 3,
        prologue: OWNED,
        calls: &[(0, ChangeVoters(&[0, 1, 3])), (0, FIRST_WRITE), (3, Read)],
        ..NO_FAULTS
    },
    Scenario {
        name: "two daemons change the voters concurrently, and a joiner reads",
        joiners: 2,
        slots_requests: 3,
        prologue: WRITTEN,
        calls: &[
            (0, ChangeVoters(&[0, 1, 3])),
            (1, ChangeVoters(&[0, 1, 4])),
            (0, NEXT_WRITE),
            (3, Read),
        ],
        ..NO_FAULTS
    },
    REPLACEMENT_OF_FIVE,
    Scenario {
        name: "the owner and another of five voters are removed while partitioned, and the owner and a joiner write",
        voters: 5,
        joiners: 2,
        prologue: &[
            Setup::Call(0, Read),
            Setup::Partition(0),
            Setup::Partition(4),
            Setup::Call(1, ChangeVoters(&[1, 2, 3, 5, 6])),
            Setup::Join(5),
            Setup::Join(6),
        ],
        calls: &[(0, FIRST_WRITE), (5, RIVAL_WRITE)],
        ..NO_FAULTS
    },
    Scenario {
        name: "two of five voters are replaced, and the former voters miss the commit",
        voters: 5,
        joiners: 2,
        slots_requests: 3,
        prologue: &[
            Setup::Call(0, Read),
            Setup::CallWithLostCommits(1, ChangeVoters(&[1, 2, 3, 5, 6])),
        ],
        calls: &[(0, FIRST_WRITE), (5, RIVAL_WRITE)],
        ..NO_FAULTS
    },
    Scenario {
        name: "the owner and another of five voters are replaced, and a joiner reads",
        voters: 5,
        joiners: 2,
        slots_requests: 3,
        prologue: OWNED,
        calls: &[
            (0, ChangeVoters(&[1, 2, 3, 5, 6])),
            (0, FIRST_WRITE),
            (5, Read),
        ],
        ..NO_FAULTS
    },
];

/// Maximum number of steps; every scenario ends before.
const MAX_DEPTH: u32 = 64;

/// Explores each scenario in its own thread and expects no violation.
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

/// Explores each scenario with its mechanism left out, and expects the violation that the mechanism prevents.
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
            "{ablation:?} ({}): no violation found in {} steps",
            scenario.name,
            explored.depth
        );
    }
}

#[gtest]
fn no_order_of_messages_syncs_and_crashes_violates_linearizability() {
    expect_no_violation(&REGISTER_SCENARIOS);
}

/// The first voter owns the key, whose value is 1.
const VALUE_ONE: &[Setup] = &[Setup::Call(0, FIRST_WRITE)];
const OVERWRITE_BY_ONE: Request = Overwrite { value: 1 };
const OVERWRITE_BY_TWO: Request = Overwrite { value: 2 };

/// An order stays on its owner's disk, unanswered; another owner acknowledges the opposite order, which is current
/// already; then the first owner acquires the key again.
const ORDER_ON_A_MINORITY: Scenario = Scenario {
    name: "an order on a minority of disks returns after the opposite order is acknowledged",
    prologue: VALUE_ONE,
    calls: &[(0, OVERWRITE_BY_TWO), (1, OVERWRITE_BY_ONE), (0, Read)],
    ..NO_FAULTS
};

/// An order waits at a voter that acquires the key, while the owner acknowledges the opposite order, which is current
/// already.
const ORDER_THAT_WAITS: Scenario = Scenario {
    name: "an order that waits for its owner is written after the opposite order is acknowledged",
    prologue: VALUE_ONE,
    calls: &[(2, OVERWRITE_BY_TWO), (0, OVERWRITE_BY_ONE)],
    ..NO_FAULTS
};

/// Guards against an order that waits at a daemon and takes effect behind an acknowledged repeat.
#[gtest]
fn an_order_that_waits_is_not_written_after_the_opposite_order() {
    expect_no_violation(&[ORDER_THAT_WAITS]);
}

/// Guards against an unanswered order that one voter has on disk and that returns behind an acknowledged repeat.
#[gtest]
fn an_order_on_a_minority_does_not_return_after_the_opposite_order() {
    expect_no_violation(&[ORDER_ON_A_MINORITY]);
}

#[gtest]
fn no_order_of_changes_of_voters_violates_linearizability() {
    expect_no_violation(&MEMBER_SCENARIOS);
}

/// Each mechanism is necessary: without it, the explorer finds a violation.
#[gtest]
fn each_ablation_violates_linearizability() {
    let two_writes = Scenario {
        calls: &[(0, FIRST_WRITE), (1, RIVAL_WRITE)],
        ..NO_FAULTS
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
                ..NO_FAULTS
            },
        ),
        (Ablation::AcceptedInPromise, two_writes),
        (Ablation::PromiseKept, two_writes),
        (
            Ablation::History,
            Scenario {
                calls: &[(0, FIRST_WRITE), (0, NEXT_WRITE), (1, FIRST_WRITE)],
                ..NO_FAULTS
            },
        ),
        (Ablation::Majority, two_writes),
    ]);
}

/// Each mechanism of reconfiguration is necessary: without it, the explorer finds a violation.
#[gtest]
fn each_ablation_of_reconfiguration_violates_linearizability() {
    let shorter_list = Scenario {
        name: "the list of voters shrinks",
        prologue: OWNED,
        calls: &[(0, ChangeVoters(&[2])), (0, FIRST_WRITE), (2, RIVAL_WRITE)],
        ..NO_FAULTS
    };
    expect_violations(&[
        (Ablation::CatchUpBeforeVote, REPLACEMENT),
        (Ablation::MajorityOfFormerVoters, REPLACEMENT),
        (Ablation::MemberEpochInVote, REMOVAL_WHILE_PARTITIONED),
        (Ablation::ClosedMemberEpoch, REPLACEMENT_WITH_LOST_COMMITS),
        (Ablation::CatchUpBeforeVote, SEVERAL_COMMITS_BEHIND),
        (Ablation::Nothing, shorter_list),
    ]);
}
