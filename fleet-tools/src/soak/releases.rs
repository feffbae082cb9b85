//! Releases: replicas of a new version start beside the old ones, the rollout is ordered, and whichever side it leaves
//! without requests is stopped at once, as the platform does.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    net::Ipv4Addr,
    time::Duration,
};

use fastrand::Rng;
use platform_stand::{calls, deployment::Deployment, machines::Machines, world};
use tokio::sync::Mutex;

use super::{
    history::{Release, ReleaseEnd},
    operators::{Pace, ask_any},
    run::Soak,
};

/// s. Within this a rollout is to be over.
const WITHIN_S: u64 = 8;
/// An order that is not taken, or a rollout without an end, is given up after so long.
const PACE: Pace = Pace {
    patience: Duration::from_secs(90),
    pause: Duration::from_millis(300),
};
/// Sets of replicas, each with addresses of its own: one stands, the other comes.
const SETS: usize = 2;
/// The set that the deployment begins with.
pub const FIRST_SET: usize = 0;

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
            set: Cell::new(FIRST_SET),
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

/// Zones and addresses of the replicas of a set.
pub fn places(
    d: &Deployment,
    machines: &Machines,
    set: usize,
) -> Vec<(&'static str, (Ipv4Addr, u16))> {
    let each = d.services[0].1;
    let zones = d
        .zones
        .iter()
        .enumerate()
        .flat_map(|(z, zone)| (0..each).map(move |i| (z, zone.0, i)));
    zones
        .map(|(z, zone, i)| {
            (
                zone,
                (
                    machines.replica((set * d.zones.len() + z) * each + i),
                    d.ports.replica,
                ),
            )
        })
        .collect()
}

/// Starts replicas of a version in the places of a set.
fn start(s: &Soak, version: &str, set: usize) {
    for (zone, address) in places(s.d, &s.machines.borrow(), set) {
        if let Err(e) = world::start(&s.world, s.d.services[0].0, zone, version, address) {
            eprintln!("starting a replica of {version}: {e}");
        }
    }
}

/// Orders a release and waits for its end, at any daemon.
async fn roll_out(s: &Soak, version: &str, rng: &mut Rng) -> ReleaseEnd {
    let service = s.d.services[0].0;
    let taken = async |control: &str| {
        calls::order_rollout(control, service, version, WITHIN_S)
            .await
            .filter(|status| *status == 200)
    };
    if ask_any(s, rng.usize(0..64), PACE, taken).await.is_none() {
        return ReleaseEnd::GivenUp;
    }
    let ended = async |control: &str| {
        let told = calls::rollout_state(control, service)
            .await
            .filter(|t| t.target == version)?;
        match told.state.as_str() {
            "completed" => Some(ReleaseEnd::Completed),
            "reverted" => Some(ReleaseEnd::Reverted),
            _ => None,
        }
    };
    ask_any(s, rng.usize(0..64), PACE, ended)
        .await
        .unwrap_or(ReleaseEnd::GivenUp)
}

/// Stops replicas of a version at once, whatever they run, and takes them off the list.
async fn retire(s: &Soak, version: &str) {
    s.releases.retired.borrow_mut().insert(version.into());
    world::end(&s.world, |r| r.version == version).await;
    s.world
        .borrow_mut()
        .each(|r| r.version == version, |r| r.listed = false);
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
    let ordered = s.now();
    let end = roll_out(s, &version, rng).await;
    s.seen.borrow_mut().releases.push(Release {
        version: version.clone(),
        bad,
        ordered,
        ended: s.now(),
        end,
    });
    if end == ReleaseEnd::Completed {
        let old = s.releases.stands.replace(version);
        s.releases.set.set(set);
        retire(s, &old).await;
    } else {
        retire(s, &version).await;
    }
}
