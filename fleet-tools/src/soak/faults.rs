//! Carries out the actions of a plan on real processes.

use std::{
    path::Path,
    rc::Rc,
    time::{Duration, Instant},
};

use fastrand::Rng;
use platform_stand::{
    client::{Asked, send, status},
    world,
};
use tokio::time::sleep;

use super::{
    history::{Ms, ReplicaEnd, Trouble},
    links, operators,
    plan::{Action, Direction},
    releases,
    run::Soak,
};

/// How often a process that is to end is looked at.
const LOOK: Duration = Duration::from_millis(10);
/// From the end of a process to its next start.
const START: (Ms, Ms) = (200, 1_000);
/// ms. A control machine that is killed while edges are off is back after so long.
const CORE_DOWN: Ms = 500;
/// How long a replica that leaves serves on behind its drain's bound.
const DRAIN_SLACK: Duration = Duration::from_secs(2);
const DRAIN: Duration = Duration::from_secs(4);
/// What the health of a control daemon says that votes.
const SERVES: &str = "\"serves\"";
/// A control machine is whole again once it says so; only trouble takes so long.
const WHOLE: Duration = Duration::from_secs(60);

fn ms(n: Ms) -> Duration {
    Duration::from_millis(n)
}

/// Stops a machine's processes by SIGTERM, and kills what is left at the end of their grace; gives the place of the note.
async fn stop(s: &Soak, machine: usize) -> usize {
    let place = s.note(machine, Trouble::Stopped);
    s.machines.borrow().all[machine].signal(libc::SIGTERM);
    let until = Instant::now() + Duration::from_secs(s.d.grace);
    let ended = loop {
        if let Some(ends) = s.machines.borrow_mut().all[machine].ended() {
            break Some(ends);
        }
        if Instant::now() >= until {
            break None;
        }
        sleep(LOOK).await;
    };
    if ended.is_none() {
        s.machines.borrow_mut().all[machine].kill();
    }
    let mut seen = s.seen.borrow_mut();
    let event = &mut seen.events[place];
    event.ended_well = ended
        .as_ref()
        .map(|ends| ends.iter().all(|(_, e)| e.success()));
    event.statuses = ended.map_or(String::new(), |ends| format!("{ends:?}"));
    place
}

/// Stops a machine's processes by SIGTERM and starts them again.
async fn restart(s: &Soak, machine: usize, rng: &mut Rng) {
    if !s.claim(machine) {
        return;
    }
    let place = stop(s, machine).await;
    run_again(s, machine, place, rng.u64(START.0..START.1)).await;
}

/// Stops a machine's processes by SIGTERM and starts them again from another program.
pub async fn restart_with(s: &Soak, machine: usize, program: &Path) {
    if !s.claim(machine) {
        return;
    }
    let place = stop(s, machine).await;
    s.machines.borrow_mut().set_program(machine, program);
    run_again(s, machine, place, START.0).await;
}

/// Starts a machine whose processes have ended, and gives it back.
async fn run_again(s: &Soak, machine: usize, place: usize, down: Ms) {
    sleep(ms(down)).await;
    if let Err(e) = s.machines.borrow_mut().run(machine) {
        eprintln!("starting a machine again: {e}");
    }
    s.seen.borrow_mut().events[place].until = s.now();
    s.release(machine);
}

async fn kill(s: &Soak, machine: usize, down: Ms) {
    if !s.claim(machine) {
        return;
    }
    let place = s.note(machine, Trouble::Killed);
    s.machines.borrow_mut().all[machine].kill();
    run_again(s, machine, place, down).await;
}

async fn freeze(s: &Soak, machine: usize, long: Ms) {
    if !s.claim(machine) {
        return;
    }
    let place = s.note(machine, Trouble::Frozen);
    s.machines.borrow().all[machine].signal(libc::SIGSTOP);
    sleep(ms(long)).await;
    s.machines.borrow().all[machine].signal(libc::SIGCONT);
    s.seen.borrow_mut().events[place].until = s.now();
    s.release(machine);
}

/// Whether a control daemon votes again. One that stands by without a vote calls itself healthy too, but here each has
/// a place among the voters, and one that was given an empty disk counts as lost until it votes.
async fn votes(control: &str) -> bool {
    let q = Asked {
        method: "GET",
        path: "/v1/health".into(),
        ..Asked::default()
    };
    send(control, &q, None)
        .await
        .is_some_and(|a| status(&a) == 200 && String::from_utf8_lossy(&a.body).contains(SERVES))
}

/// One control machine at a time may be in trouble: so much is promised to be borne.
async fn alone<F: Future<Output = ()>>(s: &Soak, f: F) {
    // Kept until all are well: a lost disk counts until its successor has read the others.
    let _turn = s.core_turn.lock().await;
    while !s.core_is_calm() {
        sleep(LOOK).await;
    }
    f.await;
    all_vote(s).await;
}

/// Waits until every control daemon votes; names those that do not.
pub async fn all_vote(s: &Soak) -> Vec<String> {
    let until = Instant::now() + WHOLE;
    let mut missing = vec![];
    for (n, control) in s.controls().iter().enumerate() {
        while !votes(control).await {
            if Instant::now() >= until {
                missing.push(format!("control daemon {n}"));
                break;
            }
            sleep(LOOK).await;
        }
    }
    missing
}

async fn wipe(s: &Soak, machine: usize) {
    if !s.claim(machine) {
        return;
    }
    let place = s.note(machine, Trouble::Wiped);
    s.machines.borrow_mut().all[machine].kill();
    if let Err(e) = s.machines.borrow().wipe(machine) {
        eprintln!("emptying a disk: {e}");
    }
    run_again(s, machine, place, START.0).await;
}

async fn hangups(s: &Soak, times: u32, gap: Ms) {
    for _ in 0..times {
        for i in 0..s.machines.borrow().all.len() {
            if !s.claim(i) {
                continue;
            }
            let place = s.note(i, Trouble::Hangup);
            {
                let m = s.machines.borrow();
                if let Err(e) = m.write(&m.all[i], false) {
                    eprintln!("writing settings: {e}");
                }
                m.all[i].signal(libc::SIGHUP);
            }
            s.seen.borrow_mut().events[place].until = s.now();
            s.release(i);
        }
        sleep(ms(gap)).await;
    }
}

/// Ends replicas and starts others in their places. `drains`: they say so first, and serve on for a while.
async fn replicas(s: &Soak, count: usize, drains: bool, down: Ms, rng: &mut Rng) {
    let all: Vec<String> = s
        .world
        .borrow()
        .replicas
        .iter()
        .filter(|r| r.serves() && r.state == "available")
        .map(|r| r.id.clone())
        .collect();
    // Enough are left to serve.
    let most = (all.len() / 3).min(count);
    let chosen = rng.choose_multiple(all, most);
    let mut told = None;
    if drains {
        told = Some(s.now());
        s.world
            .borrow_mut()
            .each(|r| chosen.contains(&r.id), |r| r.state = "draining");
        sleep(DRAIN + DRAIN_SLACK).await;
    }
    world::end(&s.world, |r| chosen.contains(&r.id)).await;
    let at = s.now();
    let rows = chosen.iter().map(|id| ReplicaEnd {
        id: id.clone(),
        draining: told,
        at,
    });
    s.seen.borrow_mut().replica_ends.extend(rows);
    sleep(ms(down)).await;
    s.world
        .borrow_mut()
        .each(|r| chosen.contains(&r.id), |r| r.listed = false);
    let places: Vec<_> = {
        let w = s.world.borrow();
        let gone = w.replicas.iter().filter(|r| chosen.contains(&r.id));
        gone.map(|r| (r.service.clone(), r.zone.clone(), r.version.clone(), r.addr))
            .collect()
    };
    // The platform starts no replica of a version that a release has taken away meanwhile.
    for (service, zone, version, addr) in
        places.into_iter().filter(|p| !s.releases.is_retired(&p.2))
    {
        if let Err(e) = world::start(&s.world, &service, &zone, &version, addr) {
            eprintln!("starting a replica again: {e}");
        }
    }
}

async fn restart_edges(s: &Rc<Soak>, edges: Vec<usize>, at_once: usize, gap: Ms, seed: u64) {
    let mut running = vec![];
    for group in edges.chunks(at_once) {
        for e in group {
            let (s, machine, seed) = (s.clone(), s.edge_at(*e), seed ^ *e as u64);
            running.push(actix_rt::spawn(async move {
                restart(&s, machine, &mut Rng::with_seed(seed)).await
            }));
        }
        sleep(ms(gap)).await;
    }
    for r in running {
        let _ = r.await;
    }
}

async fn kill_edges(s: &Rc<Soak>, edges: Vec<usize>, down: Ms) {
    let all = edges.into_iter().map(|e| {
        let (s, machine) = (s.clone(), s.edge_at(e));
        actix_rt::spawn(async move { kill(&s, machine, down).await })
    });
    for k in all.collect::<Vec<_>>() {
        let _ = k.await;
    }
}

/// A control machine that starts while edges are off has never heard them.
async fn outage(s: &Rc<Soak>, edges: Vec<usize>, down: Ms, core: Option<usize>) {
    let restart = async {
        if let Some(machine) = core {
            sleep(ms(down / 3)).await;
            alone(s, kill(s, machine, CORE_DOWN)).await;
        }
    };
    tokio::join!(kill_edges(s, edges, down), restart);
}

/// Cuts off machines of which one serves control: so much is promised to be borne, as one control machine at a time.
async fn cut_core(s: &Soak, core: usize, machines: &[usize], direction: Direction, long: Ms) {
    let cut = async {
        if s.claim(core) {
            links::cut_off(s, machines, direction, long).await;
            s.release(core);
        }
    };
    alone(s, cut).await;
}

async fn cut_zone(s: &Soak, zone: usize, direction: Direction, long: Ms) {
    let zone = s.d.zones[zone].0;
    let machines: Vec<usize> = {
        let all = &s.machines.borrow().all;
        (0..all.len()).filter(|i| all[*i].zone == zone).collect()
    };
    match machines.iter().find(|i| **i < s.d.core.len()) {
        Some(core) => cut_core(s, *core, &machines, direction, long).await,
        None => links::cut_off(s, &machines, direction, long).await,
    }
}

/// Carries one action out, to its end.
pub async fn carry_out(s: Rc<Soak>, a: Action, seed: u64) {
    let mut rng = Rng::with_seed(seed);
    match a {
        Action::RestartEdges {
            edges,
            at_once,
            gap,
        } => restart_edges(&s, edges, at_once, gap, seed).await,
        Action::RestartCore { gap } => {
            for n in 0..s.d.core.len() {
                alone(&s, restart(&s, n, &mut rng)).await;
                sleep(ms(gap)).await;
            }
        }
        Action::KillEdges { edges, down } => kill_edges(&s, edges, down).await,
        Action::Outage { edges, down, core } => outage(&s, edges, down, core).await,
        Action::Release { bad } => releases::release(&s, bad, &mut rng).await,
        Action::KillCore { machine, down } => alone(&s, kill(&s, machine, down)).await,
        Action::FreezeEdge { edge, long } => freeze(&s, s.edge_at(edge), long).await,
        Action::FreezeCore { machine, long } => alone(&s, freeze(&s, machine, long)).await,
        Action::Hangups { times, gap } => hangups(&s, times, gap).await,
        Action::Storm { changes, gap } => operators::storm(&s, changes, gap, &mut rng).await,
        Action::Race => operators::race(&s, &mut rng).await,
        Action::Evacuate { zone, long } => operators::evacuate(&s, zone, long, &mut rng).await,
        Action::CrashReplicas { count, down } => replicas(&s, count, false, down, &mut rng).await,
        Action::DrainReplica { down } => replicas(&s, 1, true, down, &mut rng).await,
        Action::Wipe { machine } => alone(&s, wipe(&s, machine)).await,
        Action::CutCore {
            machine,
            direction,
            long,
        } => cut_core(&s, machine, &[machine], direction, long).await,
        Action::CutEdges {
            edges,
            direction,
            long,
        } => {
            let machines: Vec<usize> = edges.iter().map(|e| s.edge_at(*e)).collect();
            links::cut_off(&s, &machines, direction, long).await;
        }
        Action::CutZone {
            zone,
            direction,
            long,
        } => cut_zone(&s, zone, direction, long).await,
    }
}
