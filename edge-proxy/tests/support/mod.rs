//! A proxy in front of raw TCP replicas that answer byte by byte as each test says.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use actix::Actor;
use actix_web::dev::ServerHandle;
use coordination::{
    Ms,
    bounds::Bounds,
    edge_agent::SERVE_ALL,
    exchange::{RequestHead, ResponseSignals, Sender},
    proxy::{Assignment, Proxy},
    wire::{Blob, Change, TableUpdate},
};
use daemon_parts::{
    clock, limits::STARTUP_WAIT, process_limits::ProcessLimits, request_memory::RequestMemory,
};
use edge_proxy::{
    actor::ProxyActor,
    listener::Listener,
    protocol_adapter::ProtocolAdapter,
    shared::{SharedProxy, lock},
    shutdown::ShutdownGate,
};
use http::HeaderMap;
use remote_calls::{DownstreamLimits, PathSpec};
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::{Notify, watch},
};

/// A bound on trouble only: a machine may be so busy that a test waits long for its turn.
const HANG: Duration = Duration::from_secs(120);

/// A spelling for tests.
struct Plain;
fn text(h: &HeaderMap, n: &str) -> Option<String> {
    h.get(n)?.to_str().ok().map(str::to_string)
}
impl ProtocolAdapter for Plain {
    fn request_head(&self, host: &str, path: &str, h: &HeaderMap) -> RequestHead {
        let left = text(h, "left").and_then(|v| v.parse().ok());
        let round = text(h, "round").unwrap_or_default();
        RequestHead {
            host: host.into(),
            path: path.into(),
            attempt_id: round,
            time_left_ms: left,
            last_event_id: text(h, "last-event-id"),
            ..RequestHead::default()
        }
    }
    fn set_sender(&self, _: &mut HeaderMap, _: &Sender) {}
    fn set_replica_headers(&self, h: &mut HeaderMap, _: &PathSpec, p: &Assignment, left: Ms) {
        h.insert("replica", p.replica.parse().unwrap());
        h.insert("left", left.into());
    }
    fn response_signals(&self, status: u16, h: &HeaderMap) -> ResponseSignals {
        let not_run = status == 421 || h.contains_key("not-run");
        ResponseSignals {
            attempt_id: text(h, "round"),
            not_run,
            is_other_replica: status == 421,
            ..ResponseSignals::default()
        }
    }
    fn readiness_path(&self) -> &str {
        "/ready"
    }
}

/// What a replica does with a request.
pub enum Act {
    Say(Vec<u8>),
    /// Waits until the test lets it go on.
    Wait(Arc<Notify>),
    /// Ends the connection in order.
    Close,
    /// The same; the test is told once the other side has ended it too.
    CloseUntilLeft(Arc<Notify>),
    /// Ends it with a reset.
    Reset,
    /// Reads whatever else comes, until the other side ends it; then the test is told.
    UntilLeft(Arc<Notify>),
}
pub fn say(b: impl AsRef<[u8]>) -> Act {
    Act::Say(b.as_ref().to_vec())
}

/// A request as a replica got it.
#[derive(Clone, Debug)]
pub struct Got {
    /// Which connection of this replica it came on.
    pub connection: usize,
    pub head: String,
    pub body: Vec<u8>,
}
impl Got {
    pub fn header(&self, n: &str) -> Option<&str> {
        header(&self.head, n)
    }
}
fn header<'a>(head: &'a str, n: &str) -> Option<&'a str> {
    let mut all = head.lines().skip(1).filter_map(|l| l.split_once(':'));
    all.find(|(k, _)| k.eq_ignore_ascii_case(n))
        .map(|(_, v)| v.trim())
}

pub type Seen = Arc<Mutex<Vec<Got>>>;

pub struct Replica {
    pub addr: SocketAddr,
    /// Requests that came whole: only these can run.
    pub seen: Seen,
    /// Requests whose body was cut off.
    pub cut: Seen,
}
impl Replica {
    /// `script`: what it does with its n-th request, counted from 0.
    pub async fn start(script: impl Fn(usize, &Got) -> Vec<Act> + Clone + 'static) -> Self {
        let l = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (addr, seen, cut) = (l.local_addr().unwrap(), Seen::default(), Seen::default());
        let all = [seen.clone(), cut.clone()];
        actix_rt::spawn(async move {
            for connection in 0.. {
                let Ok((s, _)) = l.accept().await else { return };
                actix_rt::spawn(talk(s, connection, all.clone(), script.clone()));
            }
        });
        Replica { addr, seen, cut }
    }
    /// Answers each request with its own round and these bytes.
    pub async fn plain(body: &'static str) -> Self {
        Self::start(move |_, g| vec![say(whole(g, body))]).await
    }
    /// Answers each request at its head, and reads its body only once it is let.
    pub async fn early(said: fn(&Got) -> String, go: watch::Receiver<bool>) -> Self {
        let l = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (addr, seen, cut) = (l.local_addr().unwrap(), Seen::default(), Seen::default());
        let all = [seen.clone(), cut.clone()];
        actix_rt::spawn(async move {
            for connection in 0.. {
                let Ok((mut s, _)) = l.accept().await else {
                    return;
                };
                let ([seen, cut], mut go) = (all.clone(), go.clone());
                actix_rt::spawn(async move {
                    let mut b = Vec::new();
                    while let Some(head) = read_head(&mut s, &mut b).await {
                        let mut g = Got {
                            connection,
                            head,
                            body: vec![],
                        };
                        let _ = s.write_all(said(&g).as_bytes()).await;
                        let _ = go.wait_for(|g| *g).await;
                        let Some((body, whole)) = read_body(&mut s, &mut b, &g.head, false).await
                        else {
                            return;
                        };
                        g.body = body;
                        (if whole { &seen } else { &cut }).lock().unwrap().push(g);
                    }
                });
            }
        });
        Replica { addr, seen, cut }
    }
    pub fn count(&self) -> usize {
        self.seen.lock().unwrap().len()
    }
    pub fn got(&self, n: usize) -> Got {
        self.seen.lock().unwrap()[n].clone()
    }
}
/// Nobody listens here, and nobody will: the port stays taken.
pub fn nowhere() -> SocketAddr {
    let s = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    s.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .unwrap();
    let a = s.local_addr().unwrap().as_socket().unwrap();
    std::mem::forget(s);
    a
}

pub fn whole(g: &Got, body: &str) -> String {
    answer(
        g,
        "200 OK",
        &format!("Content-Length: {}\r\n", body.len()),
        body,
    )
}
pub fn answer(g: &Got, status: &str, headers: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nRound: {}\r\nSeal: s1\r\n{headers}\r\n{body}",
        g.header("round").unwrap_or_default()
    )
}
/// The head of an event stream.
pub fn stream(g: &Got) -> String {
    answer(
        g,
        "200 OK",
        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
        "",
    )
}
pub fn chunk(b: &str) -> String {
    format!("{:x}\r\n{b}\r\n", b.len())
}
pub fn events(r: std::ops::RangeInclusive<u32>) -> String {
    r.map(|n| format!("id: {n}\ndata: piece {n}\n\n")).collect()
}

async fn talk(
    mut s: TcpStream,
    connection: usize,
    [seen, cut]: [Seen; 2],
    script: impl Fn(usize, &Got) -> Vec<Act>,
) {
    let mut b = Vec::new();
    loop {
        let Some(head) = read_head(&mut s, &mut b).await else {
            return;
        };
        let Some((body, whole)) = read_body(&mut s, &mut b, &head, false).await else {
            return;
        };
        let g = Got {
            connection,
            head,
            body,
        };
        if !whole {
            cut.lock().unwrap().push(g);
            return;
        }
        let n = {
            let mut all = seen.lock().unwrap();
            all.push(g.clone());
            all.len() - 1
        };
        for a in script(n, &g) {
            match a {
                Act::Say(b) if s.write_all(&b).await.is_err() => return,
                Act::Say(_) => {}
                Act::Wait(n) => n.notified().await,
                Act::Close => {
                    let _ = s.shutdown().await;
                    return;
                }
                Act::CloseUntilLeft(n) => {
                    let _ = s.shutdown().await;
                    let _ = s.read_to_end(&mut vec![]).await;
                    n.notify_one();
                    return;
                }
                Act::Reset => {
                    let _ = socket2::SockRef::from(&s).set_linger(Some(Duration::ZERO));
                    return;
                }
                Act::UntilLeft(n) => {
                    let mut rest = vec![];
                    let _ = s.read_to_end(&mut rest).await;
                    n.notify_one();
                    return;
                }
            }
        }
    }
}

async fn more(s: &mut TcpStream, b: &mut Vec<u8>) -> bool {
    matches!(s.read_buf(b).await, Ok(n) if n > 0)
}
async fn read_head(s: &mut TcpStream, b: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(n) = b.windows(4).position(|w| w == b"\r\n\r\n") {
            let head: Vec<u8> = b.drain(..n + 4).collect();
            return String::from_utf8(head).ok();
        }
        if !more(s, b).await {
            return None;
        }
    }
}
/// The body and whether it came whole; without a length it lasts until the end if `until_end`.
async fn read_body(
    s: &mut TcpStream,
    b: &mut Vec<u8>,
    head: &str,
    until_end: bool,
) -> Option<(Vec<u8>, bool)> {
    if header(head, "transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
        let mut body = vec![];
        loop {
            let Some(n) = b.windows(2).position(|w| w == b"\r\n") else {
                if !more(s, b).await {
                    return Some((body, false));
                }
                continue;
            };
            let size = usize::from_str_radix(std::str::from_utf8(&b[..n]).ok()?, 16).ok()?;
            while b.len() < n + 2 + size + 2 {
                if !more(s, b).await {
                    return Some((body, false));
                }
            }
            body.extend_from_slice(&b[n + 2..n + 2 + size]);
            b.drain(..n + 2 + size + 2);
            if size == 0 {
                return Some((body, true));
            }
        }
    }
    match header(head, "content-length").and_then(|v| v.parse::<usize>().ok()) {
        Some(n) => {
            while b.len() < n {
                if !more(s, b).await {
                    return Some((std::mem::take(b), false));
                }
            }
            Some((b.drain(..n).collect(), true))
        }
        None if until_end => {
            while more(s, b).await {}
            Some((std::mem::take(b), false))
        }
        None => Some((vec![], true)),
    }
}

/// A lane by its name: host `h`, prefix `/NAME/`.
pub struct Lane {
    pub kind: &'static str,
    pub rounds: u32,
    pub time_limit: Ms,
    /// Channels that a replica accepts; 0: not told.
    pub channels: u32,
    /// What a downstream may send, and how long it may take or rest.
    pub limits: DownstreamLimits,
}
impl Lane {
    pub fn of(kind: &'static str, rounds: u32) -> Self {
        Lane {
            kind,
            rounds,
            time_limit: 15_000,
            channels: 0,
            limits: DownstreamLimits::default(),
        }
    }
}

pub struct Edge {
    pub addr: SocketAddr,
    pub ready: SocketAddr,
    pub brain: SharedProxy,
    pub stopping: Arc<ShutdownGate>,
    pub handle: ServerHandle,
}

fn change(key: &str, version: u64, v: &Value) -> Change {
    Change {
        key: key.into(),
        epoch: 1,
        version,
        value: Blob(serde_json::to_vec(v).unwrap()),
    }
}
fn spec(lane: &Lane) -> Value {
    json!({"zones": [{"name": "z"}], "tiers": [], "canary_percent": 10, "bake_ms": 1, "release": 1, "limits": lane.limits,
        "services": [{"name": "s", "version": "v1", "mode": "placed", "lanes": [], "zones": [],
            "engine": {"slots": 8, "channels": lane.channels}}],
        "paths": [{"lane": "l", "host": "h", "prefix": "/p/", "kind": lane.kind, "time_limit_ms": lane.time_limit,
            "expected_ms": 1_000, "rounds": lane.rounds, "split": [{"service": "s", "weight": 1}]}]})
}

impl Edge {
    /// An edge with one lane at `/p/` and these replicas, in the order in which they are tried.
    pub async fn start(lane: Lane, replicas: &[SocketAddr]) -> Self {
        let ample = Bounds {
            retry_slack: 1_000.0,
            ..Bounds::default()
        };
        Self::within(ample, lane, replicas).await
    }
    /// The same within these bounds.
    pub async fn within(bounds: Bounds, lane: Lane, replicas: &[SocketAddr]) -> Self {
        Self::of(bounds, STARTUP_WAIT, lane, replicas).await
    }
    /// The same; what comes before it may serve waits so long.
    pub async fn of(bounds: Bounds, not_yet: Ms, lane: Lane, replicas: &[SocketAddr]) -> Self {
        let mut b = Proxy::new("edge-1".into(), "z".into(), "edge".into(), 1, 1);
        b.set_bounds(bounds, Default::default());
        let ids: Vec<String> = (0..replicas.len()).map(|i| format!("r{i}")).collect();
        let placed: Vec<Value> = ids
            .iter()
            .zip(replicas)
            .map(|(id, a)| json!({"id": id, "zone": "z", "addr": a.to_string(), "version": "v1", "slots": 8}))
            .collect();
        let record = json!({"service": "s", "phase": "steady", "stable": "v1", "plan_version": 0, "failed_plan": 0,
            "since_ms": 0, "retiring": [], "alerts": [], "replicas": placed,
            "groups": [{"role": "stable", "version": "v1", "share_percent": 100, "replicas": ids, "allow_unload": false}]});
        let m = TableUpdate {
            serving_rule: SERVE_ALL,
            valid_until: u64::MAX,
            is_snapshot: 1,
            changes: [
                change("spec", 1, &spec(&lane)),
                change("rollout/s", 1, &record),
            ]
            .into_iter()
            .collect(),
            ..TableUpdate::default()
        };
        b.on_table_update(m, clock::now());
        assert!(b.is_ready(clock::now()), "the test's spec is none");
        let brain: SharedProxy = Arc::new(Mutex::new(b));
        let (front, ready) = (bound(), bound());
        let (addr, ready_addr) = (front.local_addr().unwrap(), ready.local_addr().unwrap());
        let stopping = Arc::new(ShutdownGate::default());
        let f = Listener {
            proxy: brain.clone(),
            adapter: Arc::new(Plain),
            memory: RequestMemory::new(ProcessLimits::new(0, 0)),
            shutdown: stopping.clone(),
            readiness_addr: ready_addr.to_string(),
            startup_wait: not_yet,
        };
        let agent = nowhere().to_string();
        let actor = ProxyActor::new("edge-1", "127.0.0.1:1", &agent, brain.clone()).start();
        let server =
            edge_proxy::serve(f, actor, ProcessLimits::new(0, 0), vec![front, ready]).unwrap();
        let handle = server.handle();
        actix_rt::spawn(server);
        Edge {
            addr,
            ready: ready_addr,
            brain,
            stopping,
            handle,
        }
    }
    /// The spec changes while the edge runs.
    pub fn set_spec(&self, version: u64, lane: &Lane) {
        let changes = [change("spec", version, &spec(lane))].into_iter().collect();
        lock(&self.brain).on_table_update(
            TableUpdate {
                serving_rule: SERVE_ALL,
                valid_until: u64::MAX,
                changes,
                ..TableUpdate::default()
            },
            clock::now(),
        );
    }
    /// Rounds that the brain holds to be open.
    pub fn open(&self) -> u32 {
        lock(&self.brain)
            .full_report(clock::now())
            .open_streams
            .0
            .iter()
            .map(|o| o.streams)
            .sum()
    }
    /// Sums over the brain's tallies: sent, answered, failed.
    pub fn tallies(&self) -> (u64, u64, u64) {
        let all = lock(&self.brain).full_report(clock::now()).counters.0;
        all.iter().fold((0, 0, 0), |a, t| {
            (a.0 + t.sent, a.1 + t.succeeded, a.2 + t.failed)
        })
    }
    /// Waits until nothing is open: channels to replicas rest, and the next request may take them.
    pub async fn rests(&self) {
        self.until(|e| e.stopping.open_requests() == 0).await;
    }
    pub async fn until(&self, what: impl Fn(&Edge) -> bool) {
        let looked = async {
            while !what(self) {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        };
        tokio::time::timeout(HANG, looked)
            .await
            .expect("it came about");
    }
}
fn bound() -> std::net::TcpListener {
    std::net::TcpListener::bind("127.0.0.1:0").unwrap()
}

/// An answer as a downstream got it.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: String,
    /// It looks complete.
    pub whole: bool,
}
impl Answer {
    pub fn header(&self, n: &str) -> Option<&str> {
        header(&self.head, n)
    }
}

pub struct Downstream {
    s: TcpStream,
    b: Vec<u8>,
}
impl Downstream {
    pub async fn to(a: SocketAddr) -> Self {
        Downstream {
            s: TcpStream::connect(a).await.unwrap(),
            b: vec![],
        }
    }
    pub async fn send(&mut self, b: impl AsRef<[u8]>) {
        self.s.write_all(b.as_ref()).await.unwrap();
    }
    /// The other side ends the channel; gives what came before.
    pub async fn end(&mut self) -> String {
        let read = async { while more(&mut self.s, &mut self.b).await {} };
        tokio::time::timeout(HANG, read).await.expect("it ended");
        String::from_utf8_lossy(&self.b).into_owned()
    }
    /// Reads on until these bytes have come.
    pub async fn until(&mut self, what: &str) {
        let read = async {
            while !self.b.windows(what.len()).any(|w| w == what.as_bytes()) {
                assert!(
                    more(&mut self.s, &mut self.b).await,
                    "it ended before {what:?}"
                );
            }
        };
        tokio::time::timeout(HANG, read).await.expect("it came");
    }
    pub async fn head(&mut self) -> String {
        let head = tokio::time::timeout(HANG, read_head(&mut self.s, &mut self.b)).await;
        head.expect("the head did not hang")
            .expect("an answer's head")
    }
    pub async fn answer(&mut self) -> Answer {
        let read = async {
            let head = read_head(&mut self.s, &mut self.b)
                .await
                .expect("an answer's head");
            let status = head
                .split(' ')
                .nth(1)
                .and_then(|s| s.parse().ok())
                .expect("a status");
            let (body, whole) = read_body(&mut self.s, &mut self.b, &head, true)
                .await
                .expect("a body");
            Answer {
                status,
                head,
                body: String::from_utf8(body).unwrap(),
                whole,
            }
        };
        tokio::time::timeout(HANG, read)
            .await
            .expect("the answer did not hang")
    }
}

pub fn request(round: &str, body: &str) -> String {
    format!(
        "POST /p/x?q=a%20b&c HTTP/1.1\r\nHost: h\r\nRound: {round}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
/// One request on a connection of its own.
pub async fn ask(e: &Edge, q: impl AsRef<[u8]>) -> Answer {
    let mut d = Downstream::to(e.addr).await;
    d.send(q).await;
    d.answer().await
}
