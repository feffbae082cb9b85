//! Callers: they ask where to go, keep answers and connections, and note how each request ended.

use std::{rc::Rc, time::Duration};

use fastrand::Rng;
use platform_stand::{
    calls,
    client::{Asked, Connection, status},
    deployment::{KINDS, Kind},
    replica::{EVENTS, event},
    whole::{Try, prepare, told},
    wire::Message,
    world::Act,
};
use tokio::time::{sleep, timeout};

use super::{
    history::{End, Ms, Tried},
    run::Soak,
};

/// More than a caller gives a request.
const HANGS: Duration = Duration::from_secs(18);
const CONNECT: Duration = Duration::from_secs(1);
/// ms. Some callers keep the directory's answers three times as long as they may.
const LONG_KEPT: Ms = 3;
/// A path that no route has.
const ASTRAY: &str = "/nowhere/";

/// A connection to an edge, and when it was opened.
struct Open {
    edge: usize,
    at: Ms,
    connection: Connection,
    /// It has carried a request.
    used: bool,
}

struct Caller {
    soak: Rc<Soak>,
    rng: Rng,
    zone: &'static str,
    keeps: Ms,
    /// Edges that it was told of, until when.
    edges: Vec<usize>,
    until: Ms,
    open: Option<Open>,
}

/// What a request of a caller is to meet at its replicas.
fn act(r: &mut Rng) -> Act {
    match r.u32(0..100) {
        0..50 => Act::Run,
        50..80 => Act::Slow(r.u64(10..350)),
        80..88 => Act::Full,
        88..94 => Act::Cut(r.u64(0..4)),
        94..97 => Act::Reset,
        _ => Act::Foreign,
    }
}

/// Whether a body is what a replica says to this request. A stream may have been taken up elsewhere in the middle.
fn is_own(t: &Try, kind: Kind, a: &Message) -> bool {
    let body = String::from_utf8_lossy(&a.body);
    match kind {
        Kind::Resumable | Kind::Stream => {
            let all: String = (1..=EVENTS).map(|n| event(&t.asked.path, n)).collect();
            if a.whole {
                body == all
            } else {
                all.starts_with(&*body)
            }
        }
        _ => {
            let whole = format!("answer to POST {} {}", t.asked.path, t.asked.body);
            if a.whole {
                body == whole
            } else {
                whole.starts_with(&*body)
            }
        }
    }
}

impl Caller {
    async fn look_up(&mut self) {
        let directories = self.soak.directories();
        let at = self.rng.usize(0..directories.len());
        for i in 0..directories.len() {
            let to = &directories[(at + i) % directories.len()];
            let answer = timeout(CONNECT, calls::resolve(self.soak.d, to, self.zone)).await;
            let Some((addresses, ttl)) = answer.ok().flatten() else {
                continue;
            };
            self.edges = self.soak.directed(self.zone, &addresses);
            self.until = self.soak.now() + ttl * 1_000 * self.keeps;
            // It stops using a connection to an edge that the new answer lacks.
            if self
                .open
                .as_ref()
                .is_some_and(|o| !self.edges.contains(&o.edge))
            {
                self.open = None;
            }
            return;
        }
    }

    /// Its open connection, or a new one.
    async fn connection(&mut self) -> Option<Open> {
        if let Some(open) = self.open.take() {
            return Some(open);
        }
        let edge = *self.rng.choice(&self.edges)?;
        let front = self.soak.fronts()[edge].clone();
        match timeout(CONNECT, Connection::open(&front)).await {
            Ok(Some(connection)) => Some(Open {
                edge,
                at: self.soak.now(),
                connection,
                used: false,
            }),
            _ => {
                // It leaves out an address that failed it until it is told anew.
                self.edges.retain(|e| *e != edge);
                None
            }
        }
    }

    async fn ask(&mut self) {
        if self.edges.is_empty() || self.soak.now() >= self.until {
            self.look_up().await;
        }
        let kind = KINDS[self.rng.usize(0..KINDS.len())];
        let acts = [act(&mut self.rng)];
        let Some(mut open) = self.connection().await else {
            return;
        };
        if self.rng.u32(0..100) < 3 {
            let q = Asked {
                method: "GET",
                path: ASTRAY.into(),
                headers: vec![("Host", self.soak.d.host.into())],
                ..Asked::default()
            };
            let _ = timeout(CONNECT, open.connection.ask(&q, None)).await;
            return;
        }
        let t = prepare(
            self.soak.d,
            (&self.soak.world, &self.soak.book),
            kind,
            &acts,
            None,
        );
        let sent = self.soak.now();
        let leaves = self.rng.u32(0..100) < 5;
        let limit = if leaves {
            Duration::from_millis(self.rng.u64(5..600))
        } else {
            HANGS
        };
        let answer = timeout(limit, open.connection.ask(&t.asked, None)).await;
        let (end, own_body) = match &answer {
            Err(_) if leaves => (End::Left, true),
            Err(_) => (End::Hung, true),
            Ok(None) => (End::NoAnswer, true),
            Ok(Some(a)) if a.whole => (
                End::Whole { status: status(a) },
                status(a) != 200 || is_own(&t, kind, a),
            ),
            Ok(Some(a)) => (
                End::Cut { status: status(a) },
                status(a) != 200 || is_own(&t, kind, a),
            ),
        };
        let row = Tried {
            id: t.round.clone(),
            kind,
            edge: open.edge,
            sent,
            ended: self.soak.now(),
            kept: open.used,
            opened: open.at,
            end,
            own_body,
        };
        self.soak.seen.borrow_mut().tried.push(row);
        let goes_on =
            matches!(&answer, Ok(Some(a)) if a.whole && a.header("connection") != "close");
        told(&self.soak.book, t.round, answer.ok().flatten());
        if goes_on {
            self.open = Some(Open { used: true, ..open });
        }
    }
}

/// One caller, until the soak is over.
pub async fn call(soak: Rc<Soak>, seed: u64, n: usize) {
    let mut rng = Rng::with_seed(seed.wrapping_mul(1_000).wrapping_add(n as u64));
    let zone = soak.d.zones[n % soak.d.zones.len()].0;
    let keeps = if rng.bool() { 1 } else { LONG_KEPT };
    let mut c = Caller {
        soak,
        rng,
        zone,
        keeps,
        edges: vec![],
        until: 0,
        open: None,
    };
    while !c.soak.over.get() {
        c.ask().await;
        // Some let their connections rest for as long as they may.
        let rests = if c.rng.u32(0..100) < 4 {
            c.rng.u64(1_000..10_000)
        } else {
            c.rng.u64(10..250)
        };
        let end = c.soak.now() + rests;
        while c.soak.now() < end && !c.soak.over.get() {
            sleep(Duration::from_millis(rests.min(100))).await;
        }
    }
}
