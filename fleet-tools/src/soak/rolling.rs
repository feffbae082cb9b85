//! Rolling changes of the program: machines are moved one by one to another build and back, under load.

use std::{cell::Cell, path::Path, time::Duration};

use fastrand::Rng;
use tokio::time::sleep;

use super::{
    faults,
    history::{Ms, ProgramRun},
    operators, releases,
    run::Soak,
};

/// How long load meets each mix of programs, once the fleet is healthy.
const MIXED: Duration = Duration::from_secs(1);
/// Configuration changes in a series, and the pause behind each.
const CHANGES: u32 = 5;
const CHANGE_GAP: Ms = 200;
/// Pause between a release and the next series of configuration changes.
const RELEASE_GAP: Duration = Duration::from_secs(1);
/// So that configuration changes and releases draw other numbers than the order of moves.
const CHANGE_SEED: u64 = 0x2545_f491;

/// Which of the two programs a machine runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Build {
    /// The one that the fleet starts from.
    Former,
    /// The usual one, which is under test.
    Usual,
}

/// One machine, by its index among all machines, goes over to a program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Move {
    pub machine: usize,
    pub to: Build,
}

/// The files of the two programs.
#[derive(Clone, Copy, Debug)]
pub struct Programs<'a> {
    pub former: &'a Path,
    pub usual: &'a Path,
}

impl<'a> Programs<'a> {
    fn file(&self, build: Build) -> &'a Path {
        match build {
            Build::Former => self.former,
            Build::Usual => self.usual,
        }
    }
}

/// All moves in their order: every machine to the usual program, then every machine back, each time in a drawn order.
pub fn moves(machines: usize, seed: u64) -> Vec<Move> {
    let mut rng = Rng::with_seed(seed);
    let mut all_to = |to: Build| {
        let mut order: Vec<usize> = (0..machines).collect();
        rng.shuffle(&mut order);
        order.into_iter().map(move |machine| Move { machine, to })
    };
    let there = all_to(Build::Usual);
    let back = all_to(Build::Former);
    there.chain(back).collect()
}

/// Notes that a machine runs a program from a moment on.
fn note_start(s: &Soak, machine: usize, program: &Path, from: Ms) {
    let run = ProgramRun {
        machine: s.machines.borrow().all[machine].name.clone(),
        program: program.display().to_string(),
        from,
        until: None,
    };
    s.seen.borrow_mut().program_runs.push(run);
}

/// Notes that what a machine runs is told to stop now.
fn note_stop(s: &Soak, machine: usize) {
    let name = s.machines.borrow().all[machine].name.clone();
    let mut seen = s.seen.borrow_mut();
    let mut runs = seen.program_runs.iter_mut().rev();
    if let Some(run) = runs.find(|run| run.machine == name) {
        run.until = Some(s.now());
    }
}

/// Moves one machine, and waits until all control daemons vote and all edges serve.
async fn move_machine(s: &Soak, Move { machine, to }: Move, programs: Programs<'_>) {
    let program = programs.file(to);
    note_stop(s, machine);
    faults::restart_with(s, machine, program).await;
    note_start(s, machine, program, s.now());
    let mut missing = faults::all_vote(s).await;
    missing.extend(s.all_serve().await);
    s.seen.borrow_mut().not_back.extend(missing);
    sleep(MIXED).await;
}

async fn move_all(s: &Soak, programs: Programs<'_>, seed: u64) {
    let machines = s.machines.borrow().all.len();
    for machine in 0..machines {
        note_start(s, machine, programs.former, 0);
    }
    for step in moves(machines, seed) {
        move_machine(s, step, programs).await;
    }
}

/// Changes the configuration and plays releases until all machines have moved.
async fn change(s: &Soak, moved: &Cell<bool>, seed: u64) {
    let mut rng = Rng::with_seed(seed ^ CHANGE_SEED);
    while !moved.get() {
        operators::storm(s, CHANGES, CHANGE_GAP, &mut rng).await;
        let bad = rng.bool();
        releases::release(s, bad, &mut rng).await;
        sleep(RELEASE_GAP).await;
    }
}

/// Moves all machines from the former program to the usual one and back, one at a time.
pub async fn roll(s: &Soak, programs: Programs<'_>, seed: u64) {
    let moved = Cell::new(false);
    let moving = async {
        move_all(s, programs, seed).await;
        moved.set(true);
    };
    tokio::join!(moving, change(s, &moved, seed));
}
