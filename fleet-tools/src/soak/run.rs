//! One soak from the fleet's start to what was observed.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    io,
    path::PathBuf,
    rc::Rc,
    time::{Duration, Instant},
};

use platform_stand::{
    client::{Asked, send, status},
    deployment::{Deployment, KINDS, Kind},
    machines::Machines,
    whole::{Book, prepare},
    world::{self, Act, Shared},
};
use tokio::time::sleep;

use super::{
    callers, faults,
    history::{Arrived, Directed, Event, Ms, Observed, Trouble},
    links,
    operators::{self, Orders},
    plan::{self, Size, Step},
    releases::{self, Releases},
    resources,
    rolling::{self, Programs},
};
use crate::link::Link;

/// Bound on the start and on the return of service: only trouble takes so long.
const PATIENCE: Duration = Duration::from_secs(180);
/// How often something awaited is looked at.
const LOOK: Duration = Duration::from_millis(100);
/// Traffic before and after all faults, in which buffers and connections come to their usual size.
const CALM: Duration = Duration::from_secs(3);
/// Callers for each edge, and at least and at most.
const CALLERS: (usize, usize, usize) = (3, 9, 120);

/// What is played.
#[derive(Clone, Debug)]
pub struct Options {
    pub seed: u64,
    pub long: Duration,
    pub processes: usize,
    /// The program under test.
    pub program: PathBuf,
    /// The fleet starts from this program, and in place of faults its machines are moved one by one to the program under
    /// test and back. That takes as long as it takes, whatever `long` says.
    pub rolling_from: Option<PathBuf>,
}

/// A soak under way, as its callers, operators and faults share it.
pub struct Soak {
    pub d: &'static Deployment,
    pub machines: RefCell<Machines>,
    pub world: Shared,
    pub book: Rc<RefCell<Book>>,
    pub seen: RefCell<Observed>,
    pub orders: Orders,
    pub releases: Releases,
    pub over: Cell<bool>,
    /// What is dropped between the processes.
    pub link: Link,
    began: Instant,
    /// Whoever has it may put a control machine in trouble, until all are well again.
    pub core_turn: tokio::sync::Mutex<()>,
    /// Machines that something is done to.
    busy: RefCell<BTreeSet<usize>>,
}

impl Soak {
    pub fn now(&self) -> Ms {
        self.began.elapsed().as_millis() as Ms
    }
    pub fn ms(&self, at: Instant) -> Ms {
        at.saturating_duration_since(self.began).as_millis() as Ms
    }
    pub fn fronts(&self) -> Vec<String> {
        let m = self.machines.borrow();
        m.edges().map(|e| m.front(e)).collect()
    }
    pub fn controls(&self) -> Vec<String> {
        let m = self.machines.borrow();
        m.core().map(|c| m.control(c)).collect()
    }
    pub fn directories(&self) -> Vec<String> {
        let m = self.machines.borrow();
        m.core().map(|c| m.directory(c)).collect()
    }
    /// Notes what a directory told callers of a zone; gives the edges that it named.
    pub fn directed(&self, zone: &str, addresses: &[String]) -> Vec<usize> {
        let fronts = self.fronts();
        let edges: Vec<usize> = addresses
            .iter()
            .filter_map(|a| fronts.iter().position(|f| f == a))
            .collect();
        self.seen.borrow_mut().directed.push(Directed {
            at: self.now(),
            zone: zone.into(),
            edges: edges.clone(),
        });
        edges
    }
    /// Index among all machines of the nth edge; control machines come first.
    pub fn edge_at(&self, n: usize) -> usize {
        self.d.core.len() + n
    }

    /// Takes a machine for one action; false if another has it.
    pub fn claim(&self, machine: usize) -> bool {
        self.busy.borrow_mut().insert(machine)
    }
    pub fn release(&self, machine: usize) {
        self.busy.borrow_mut().remove(&machine);
    }
    /// Whether nothing is done to any control machine.
    pub fn core_is_calm(&self) -> bool {
        self.busy.borrow().iter().all(|m| *m >= self.d.core.len())
    }

    /// Notes what is done to a machine, from now on; gives the place of the note.
    pub fn note(&self, machine: usize, trouble: Trouble) -> usize {
        let (from, edge) = (self.now(), machine.checked_sub(self.d.core.len()));
        let name = self.machines.borrow().all[machine].name.clone();
        let mut seen = self.seen.borrow_mut();
        seen.events.push(Event {
            machine: name,
            edge,
            trouble,
            from,
            until: Ms::MAX,
            ended_well: None,
            statuses: String::new(),
        });
        seen.events.len() - 1
    }

    async fn edge_serves(&self, front: &str, kind: Kind) -> bool {
        let t = prepare(self.d, (&self.world, &self.book), kind, &[Act::Run], None);
        let asked = tokio::time::timeout(Duration::from_secs(5), send(front, &t.asked, None)).await;
        asked
            .ok()
            .flatten()
            .is_some_and(|a| status(&a) == 200 && a.whole)
    }

    /// Waits until every edge serves every kind of request; names those that do not.
    pub async fn all_serve(&self) -> Vec<String> {
        let until = Instant::now() + PATIENCE;
        let mut missing = vec![];
        for (edge, front) in self.fronts().iter().enumerate() {
            for kind in KINDS {
                while !self.edge_serves(front, kind).await {
                    if Instant::now() > until {
                        missing.push(format!("edge {edge}, {kind:?}"));
                        break;
                    }
                    sleep(LOOK).await;
                }
            }
        }
        missing
    }

    async fn control_answers(&self) -> bool {
        for c in self.controls() {
            let q = Asked {
                method: "GET",
                path: "/v1/health".into(),
                ..Asked::default()
            };
            if send(&c, &q, None).await.is_none() {
                return false;
            }
        }
        true
    }

    /// What came to replicas, and what ran, as the stand-in's log has it.
    fn arrived(&self) -> Vec<Arrived> {
        let breaks = |a: Act| {
            matches!(
                a,
                Act::Cut(_) | Act::Reset | Act::Garble | Act::Foreign | Act::Fail
            )
        };
        let w = self.world.borrow();
        let row = |a: &world::Arrival| Arrived {
            id: a.round.clone(),
            replica: a.replica.clone(),
            zone: a.zone.clone(),
            version: a.version.clone(),
            seal: a.seal.clone(),
            at: self.ms(a.at),
            ran: a.ran,
            breaks: breaks(a.act),
        };
        w.log.iter().map(row).collect()
    }
}

fn start(o: &Options) -> io::Result<Soak> {
    let d = Deployment::sized(o.processes);
    let mut machines =
        Machines::start_behind_relays(d, o.rolling_from.as_ref().unwrap_or(&o.program))?;
    machines.keeps = true;
    let world = Shared::default();
    world::serve_list(&world, (machines.list(), d.ports.list))?;
    for (zone, address) in releases::places(d, &machines, releases::FIRST_SET) {
        world::start(&world, d.services[0].0, zone, d.versions[0], address)?;
    }
    let seen = Observed {
        seed: o.seed,
        processes: machines.all.iter().map(|m| m.processes.len()).sum(),
        grace: d.grace * 1_000,
        regions: d
            .zones
            .iter()
            .map(|(z, r)| (z.to_string(), r.to_string()))
            .collect(),
        edge_zones: d.edges.iter().map(|z| z.to_string()).collect(),
        home: d.home().to_string(),
        ..Observed::default()
    };
    Ok(Soak {
        d,
        machines: RefCell::new(machines),
        world,
        book: Rc::default(),
        seen: RefCell::new(seen),
        orders: Orders::default(),
        releases: Releases::new(d.versions[0]),
        over: Cell::new(false),
        link: Link::default(),
        began: Instant::now(),
        core_turn: tokio::sync::Mutex::default(),
        busy: RefCell::default(),
    })
}

/// The fleet serves and every settings file says that it is no first start any more.
async fn begin(s: &Soak) -> Result<(), String> {
    let until = Instant::now() + PATIENCE;
    while !s.control_answers().await {
        if Instant::now() > until {
            return Err("a control daemon does not answer".into());
        }
        sleep(LOOK).await;
    }
    operators::first(s, until).await?;
    let missing = s.all_serve().await;
    if !missing.is_empty() {
        return Err(format!("the fleet does not serve: {}", missing.join("; ")));
    }
    let m = s.machines.borrow();
    m.all
        .iter()
        .try_for_each(|x| m.write(x, false))
        .map_err(|e| e.to_string())
}

/// Carries out the steps of a plan; ends when all have ended and the soak is as long as it is to be.
async fn play_steps(s: &Rc<Soak>, steps: Vec<Step>, seed: u64, long: Duration) {
    let begun = s.now();
    let mut actions = vec![];
    for (at, action) in steps {
        sleep(Duration::from_millis((begun + at).saturating_sub(s.now()))).await;
        actions.push(actix_rt::spawn(faults::carry_out(
            s.clone(),
            action,
            seed ^ at,
        )));
    }
    for a in actions {
        let _ = a.await;
    }
    sleep((long + CALM).saturating_sub(Duration::from_millis(s.now() - begun))).await;
}

/// Plays what the options say, under traffic.
async fn play(s: &Rc<Soak>, o: &Options) {
    let seed = o.seed;
    let n = (s.d.edges.len() * CALLERS.0).clamp(CALLERS.1, CALLERS.2);
    let mut tasks: Vec<_> = (0..n)
        .map(|i| actix_rt::spawn(callers::call(s.clone(), seed, i)))
        .collect();
    tasks.push(actix_rt::spawn(operators::read(s.clone(), seed)));
    tasks.push(actix_rt::spawn(operators::resolve(s.clone(), seed)));
    sleep(CALM).await;
    s.seen.borrow_mut().usage_before = resources::usage(&s.machines.borrow());
    if let Some(former) = &o.rolling_from {
        let programs = Programs {
            former,
            usual: &o.program,
        };
        rolling::roll(s, programs, seed).await;
        sleep(CALM).await;
    } else {
        let size = Size {
            edges: s.d.edges.len(),
            core: s.d.core.len(),
            zones: s.d.zones.len(),
        };
        let steps = plan::draw(seed, o.long.as_millis() as Ms, size);
        play_steps(s, steps, seed, o.long).await;
    }
    s.over.set(true);
    for t in tasks {
        let _ = t.await;
    }
}

/// Plays one soak; gives the folder of its processes' logs and disks besides, which is the caller's to remove.
pub async fn soak(o: &Options) -> Result<(Observed, PathBuf), String> {
    let s = Rc::new(start(o).map_err(|e| e.to_string())?);
    let folder = s.machines.borrow().folder.clone();
    let relayed = links::relayed(&s.machines.borrow());
    links::relay_all(&s.link, relayed)
        .await
        .map_err(|e| format!("starting relays: {e}"))?;
    begin(&s).await?;
    play(&s, o).await;
    let missing = s.all_serve().await;
    let lost = operators::last(&s).await;
    sleep(CALM).await;
    let mut seen = s.seen.take();
    seen.not_back.extend(missing);
    seen.lost_changes = lost;
    seen.arrived = s.arrived();
    seen.usage_after = resources::usage(&s.machines.borrow());
    Ok((seen, folder))
}
