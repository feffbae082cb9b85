//! Operators: changes of the configuration in series and races, and readers that ask any control daemon at any time.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use fastrand::Rng;
use platform_stand::calls;
use serde_json::Value;
use tokio::{
    sync::Mutex,
    time::{sleep, timeout},
};

use super::{
    history::{Answered, Change, Ms, Read},
    run::Soak,
};

/// An operator goes to another daemon after so long without an answer.
const SILENT: Duration = Duration::from_secs(3);
/// Pause before the same order goes to another daemon.
const AGAIN: Duration = Duration::from_millis(100);
/// An order without a clear answer is given up for good.
const PATIENCE: Duration = Duration::from_secs(120);
/// The deployment's own bound within which a daemon is in touch again.
const CONTACT: Duration = Duration::from_secs(4);
/// How often readers ask.
const READS: (Ms, Ms) = (50, 400);

/// What operators know of their own orders.
#[derive(Default)]
pub struct Orders {
    /// The newest acknowledged configuration.
    newest: RefCell<Value>,
    release: Cell<u64>,
    /// One series of changes at a time: each builds on the one before.
    turn: Mutex<()>,
}

impl Orders {
    pub fn release(&self) -> u64 {
        self.release.get()
    }
    fn accepted(&self, document: &Value) {
        self.release.set(calls::release(document));
        self.newest.replace(document.clone());
    }
}

/// How long one question is asked again and again, and the pause before the next daemon is asked.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    pub patience: Duration,
    pub pause: Duration,
}

const ORDERS: Pace = Pace {
    patience: PATIENCE,
    pause: AGAIN,
};

/// Asks one control daemon after the other until one's answer is what is waited for; none if it is given up.
pub async fn ask_any<T>(
    s: &Soak,
    first: usize,
    pace: Pace,
    ask: impl AsyncFn(&str) -> Option<T>,
) -> Option<T> {
    let until = Instant::now() + pace.patience;
    for i in first.. {
        let controls = s.controls();
        let answer = timeout(SILENT, ask(&controls[i % controls.len()]))
            .await
            .ok()
            .flatten();
        if answer.is_some() || Instant::now() > until {
            return answer;
        }
        sleep(pace.pause).await;
    }
    None
}

/// Sends a change until it gets a clear answer.
async fn order(s: &Soak, first: usize, on: u64, document: &Value, repeated: bool) -> Answered {
    let sent = s.now();
    let answer = ask_any(
        s,
        first,
        ORDERS,
        async |control| match calls::put_configuration(control, on, document).await? {
            200 => Some(Answered::Accepted),
            408 | 429 => None,
            400..500 => Some(Answered::Refused),
            _ => None,
        },
    );
    let answer = answer.await.unwrap_or(Answered::Unclear);
    let change = Change {
        release: calls::release(document),
        on,
        document: document.to_string(),
        sent,
        answered: s.now(),
        answer,
        repeated,
    };
    s.seen.borrow_mut().changes.push(change);
    answer
}

/// The first configuration, sent until it is taken.
pub async fn first(s: &Soak, until: Instant) -> Result<(), String> {
    let d = s.d.document(1, Some("first"));
    while order(s, 0, 0, &d, false).await != Answered::Accepted {
        if Instant::now() > until {
            return Err("the first configuration is not taken".into());
        }
        sleep(AGAIN).await;
    }
    s.orders.accepted(&d);
    Ok(())
}

/// Changes in a series; now and then one is sent once more after its acknowledgement.
pub async fn storm(s: &Soak, changes: u32, gap: Ms, rng: &mut Rng) {
    for _ in 0..changes {
        let _turn = s.orders.turn.lock().await;
        let on = s.orders.release();
        let d =
            s.d.document(on + rng.u64(1..4), Some(&format!("storm{}", rng.u32(..))));
        if order(s, rng.usize(0..64), on, &d, false).await == Answered::Accepted {
            s.orders.accepted(&d);
            if rng.u32(0..10) == 0 {
                order(s, rng.usize(0..64), on, &d, true).await;
            }
        }
        drop(_turn);
        sleep(Duration::from_millis(gap)).await;
    }
}

/// Two operators at one number.
pub async fn race(s: &Soak, rng: &mut Rng) {
    let _turn = s.orders.turn.lock().await;
    let on = s.orders.release();
    let mark = rng.u32(..);
    let [a, b] = ["left", "right"].map(|side| s.d.document(on + 1, Some(&format!("{side}{mark}"))));
    let at = rng.usize(0..64);
    let (x, y) = tokio::join!(order(s, at, on, &a, false), order(s, at + 1, on, &b, false));
    match (x, y) {
        (Answered::Accepted, _) => s.orders.accepted(&a),
        (_, Answered::Accepted) => s.orders.accepted(&b),
        _ => {}
    }
}

/// Evacuates a zone for so long.
pub async fn evacuate(s: &Soak, zone: usize, long: Ms, rng: &mut Rng) {
    for evacuated in [true, false] {
        let taken = async |control: &str| {
            calls::evacuate(control, s.d.zones[zone].0, evacuated)
                .await
                .filter(|a| *a == 200)
        };
        ask_any(s, rng.usize(0..64), ORDERS, taken).await;
        if evacuated {
            sleep(Duration::from_millis(long)).await;
        }
    }
}

/// Reads the configuration at any daemon until the soak is over.
pub async fn read(s: Rc<Soak>, seed: u64) {
    let mut rng = Rng::with_seed(!seed);
    while !s.over.get() {
        let n = rng.usize(0..s.d.core.len());
        let to = s.controls()[n].clone();
        let sent = s.now();
        if let Ok(Some(d)) = timeout(SILENT, calls::get_configuration(&to)).await {
            // Control machines come first.
            let machine = s.machines.borrow().all[n].name.clone();
            let read = Read {
                sent,
                at: s.now(),
                machine,
                release: calls::release(&d),
                document: d.to_string(),
            };
            s.seen.borrow_mut().reads.push(read);
        }
        sleep(Duration::from_millis(rng.u64(READS.0..READS.1))).await;
    }
}

/// Asks each directory for each zone in turn until the soak is over.
pub async fn resolve(s: Rc<Soak>, seed: u64) {
    let mut rng = Rng::with_seed(seed.rotate_left(7));
    while !s.over.get() {
        let directories = s.directories();
        let to = &directories[rng.usize(0..directories.len())];
        let zone = s.d.zones[rng.usize(0..s.d.zones.len())].0;
        if let Ok(Some((addresses, _))) = timeout(SILENT, calls::resolve(s.d, to, zone)).await {
            s.directed(zone, &addresses);
        }
        sleep(Duration::from_millis(rng.u64(READS.0..READS.1))).await;
    }
}

/// What is wrong with the configuration at the end: every daemon is to tell the newest, and nobody anything older for as
/// long as a daemon may need to be in touch again.
pub async fn last(s: &Soak) -> Vec<String> {
    let mut wrong = vec![];
    for (n, control) in s.controls().iter().enumerate() {
        let until = Instant::now() + PATIENCE;
        while !tells_newest(s, n, control, &mut wrong).await {
            if Instant::now() > until {
                wrong.push(format!("control daemon {n} tells no configuration"));
                break;
            }
            sleep(AGAIN).await;
        }
    }
    let until = Instant::now() + CONTACT;
    while Instant::now() < until {
        for (n, control) in s.controls().iter().enumerate() {
            tells_newest(s, n, control, &mut wrong).await;
        }
        sleep(AGAIN).await;
    }
    wrong
}

/// Whether a daemon tells a configuration at all; another than the newest acknowledged one is noted as wrong.
async fn tells_newest(s: &Soak, n: usize, control: &str, wrong: &mut Vec<String>) -> bool {
    let Some(told) = timeout(SILENT, calls::get_configuration(control))
        .await
        .ok()
        .flatten()
    else {
        return false;
    };
    let newest = s.orders.newest.borrow();
    if told != *newest {
        let (told, acked) = (calls::release(&told), calls::release(&newest));
        wrong.push(format!(
            "control daemon {n} tells release {told}, {acked} was acknowledged last"
        ));
    }
    true
}
