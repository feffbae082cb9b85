//! Releases: replicas of a new version start beside the old ones, the rollout is ordered, and whichever side it leaves
//! without requests is stopped at once, as the platform does.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    time::{Duration, Instant},
};

use fastrand::Rng;
use platform_stand::{calls, world};
use tokio::{
    sync::Mutex,
    time::{sleep, timeout},
};

use super::{
    history::{Ms, Release, ReleaseEnd},
    run::Soak,
};

/// s. Within this a rollout is to be over.
const WITHIN_S: u64 = 8;
/// An order that is not taken, or a rollout without an end, is given up after so long.
const PATIENCE: Duration = Duration::from_secs(90);
/// How long one call may take, and the pause before the next.
const CALL: Duration = Duration::from_secs(3);
const AGAIN: Duration = Duration::from_millis(300);
/// Sets of replicas, each with addresses of its own: one stands, the other comes.
const SETS: usize = 2;

/// What the platform knows of versions.
pub struct Releases {
    /// One release at a time.
    turn: Mutex<()>,
    /// The version that stands, and the set of its replicas.
    stands: RefCell<String>,
    set: Cell<usize>,
    number: Cell<u32>,
    /// Versions that were taken away.
    retired: RefCell<BTreeSet<String>>,
}

impl Releases {
    pub fn new(version: &str) -> Releases {
        Releases {
            turn: Mutex::default(),
            stands: RefCell::new(version.into()),
            set: Cell::new(0),
            number: Cell::new(0),
            retired: RefCell::default(),
        }
    }

    pub fn is_retired(&self, version: &str) -> bool {
        self.retired.borrow().contains(version)
    }

    fn next_version(&self) -> String {
        self.number.set(self.number.get() + 1);
        format!("release-{}", self.number.get())
    }
}

/// Starts replicas of a version, as many as one set has.
fn start(s: &Soak, version: &str, set: usize) {
    let (service, each) = s.d.services[0];
    for (z, (zone, _)) in s.d.zones.iter().enumerate() {
        for i in 0..each {
            let n = set * s.d.zones.len() * each + z * each + i;
            let at = (s.machines.borrow().replica(n), s.d.ports.replica);
            if let Err(e) = world::start(&s.world, service, zone, version, at) {
                eprintln!("starting a replica of {version}: {e}");
            }
        }
    }
}

/// Sends the order until it is taken; false if it is given up.
async fn order(s: &Soak, version: &str, rng: &mut Rng) -> bool {
    let until = Instant::now() + PATIENCE;
    while Instant::now() < until {
        let control = rng.choice(s.controls());
        let Some(control) = control else { return false };
        let answer = timeout(CALL, calls::order_rollout(&control, s.d.services[0].0, version, WITHIN_S)).await;
        if answer.ok().flatten() == Some(200) {
            return true;
        }
        sleep(AGAIN).await;
    }
    false
}

/// Asks any daemon until the rollout has ended; none if it is given up.
async fn end(s: &Soak, version: &str, rng: &mut Rng) -> Option<ReleaseEnd> {
    let until = Instant::now() + PATIENCE;
    while Instant::now() < until {
        let control = rng.choice(s.controls())?;
        let told = timeout(CALL, calls::rollout_state(&control, s.d.services[0].0)).await.ok().flatten();
        match told.filter(|t| t.target == version).as_ref().map(|t| t.state.as_str()) {
            Some("completed") => return Some(ReleaseEnd::Completed),
            Some("reverted") => return Some(ReleaseEnd::Reverted),
            _ => sleep(AGAIN).await,
        }
    }
    None
}

/// Stops replicas of a version at once, whatever they run, and takes them off the list.
async fn retire(s: &Soak, version: &str) {
    s.releases.retired.borrow_mut().insert(version.into());
    world::end(&s.world, |r| r.version == version).await;
    s.world.borrow_mut().each(|r| r.version == version, |r| r.listed = false);
}

/// Plays one release to its end.
pub async fn release(s: &Soak, bad: bool, rng: &mut Rng) {
    let _turn = s.releases.turn.lock().await;
    let version = s.releases.next_version();
    let set = (s.releases.set.get() + 1) % SETS;
    if bad {
        s.world.borrow_mut().bad.insert(version.clone());
    }
    start(s, &version, set);
    let ordered: Ms = s.now();
    let row = Release { version: version.clone(), bad, ordered, ended: None, given_up: None };
    let place = s.seen.borrow().releases.len();
    s.seen.borrow_mut().releases.push(row);
    let ended = if order(s, &version, rng).await { end(s, &version, rng).await } else { None };
    let now = s.now();
    {
        let mut seen = s.seen.borrow_mut();
        seen.releases[place].ended = ended.map(|e| (now, e));
        seen.releases[place].given_up = ended.is_none().then_some(now);
    }
    if ended == Some(ReleaseEnd::Completed) {
        let old = s.releases.stands.replace(version);
        s.releases.set.set(set);
        retire(s, &old).await;
    } else {
        retire(s, &version).await;
    }
}
