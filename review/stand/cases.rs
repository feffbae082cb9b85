//! The cases. Each says whether the rule held.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    fleet::{Fleet, HOST, Route, configuration},
    http::{self, Client, Message},
    relay::Relay,
    servers::{Framing, lock},
};

const SERVICE: &str = "terminhelfer";
/// Bounds of the settings.
const CONTACT: Duration = Duration::from_millis(4_000);
const CONFIG_APPLY: Duration = Duration::from_millis(3_000);
const RECOVERY: Duration = Duration::from_secs(12);

pub fn run(name: &str, folder: &str, trouble: bool) -> Result<bool, String> {
    match name {
        "reset" => reset(folder, trouble),
        "restart" => restart(folder, trouble),
        "unframed" => unframed(folder, trouble),
        _ => Err(format!("there is no case {name:?}")),
    }
}

static LAST_ATTEMPT: AtomicU64 = AtomicU64::new(0);

fn next_attempt() -> String {
    format!("a{:08x}", LAST_ATTEMPT.fetch_add(1, Ordering::Relaxed) + 1)
}

fn client_headers(attempt: &str) -> [(&str, &str); 5] {
    [
        ("Host", HOST),
        ("X-Attempt-Id", attempt),
        ("X-Time-Remaining", "5000"),
        ("X-Model", "m"),
        ("X-Token-Count", "291,44"),
    ]
}

/// A client's request to one edge, on a connection of its own.
fn request(to: &str, path: &str) -> Result<Message, String> {
    let attempt = next_attempt();
    let patience = Duration::from_secs(6);
    http::ask(to, "POST", path, &client_headers(&attempt), b"{}", patience)
        .map_err(|e| e.to_string())
}

fn status(answer: &Result<Message, String>) -> u16 {
    answer.as_ref().map_or(0, Message::status)
}

fn told(answer: &Result<Message, String>) -> String {
    match answer {
        Ok(a) if a.whole => a.status().to_string(),
        Ok(a) => format!("{}, cut after {} bytes", a.status(), a.body.len()),
        Err(e) => e.clone(),
    }
}

fn put(fleet: &Fleet, from: u64, release: u64, routes: &[Route]) -> Result<Instant, String> {
    let document = configuration(release, routes, &[SERVICE]);
    let answer = fleet.order("PUT", "/configuration", Some(from), &document)?;
    match answer.status() {
        200 => Ok(Instant::now()),
        _ => Err(answer.text()),
    }
}

/// Waits until every edge is ready and serves a path.
fn all_serve(fleet: &Fleet, path: &str) -> Result<(), String> {
    for edge in fleet.edges() {
        let name = &fleet.nodes[edge].name;
        fleet.until(&format!("{name} serves"), 30, || {
            fleet.is_ready(edge) && status(&request(&fleet.front(edge), path)) == 200
        })?;
    }
    fleet.note("every edge is ready and serves");
    Ok(())
}

/// One connection of an edge machine, that from its agent to its proxy, is reset just before an operator changes the
/// configuration, three times. Each time requests are judged once the machine is in touch again and the change is due.
fn reset(folder: &str, trouble: bool) -> Result<bool, String> {
    const OFFSET: u16 = 8;
    const CHANGES: u64 = 3;
    let mut fleet = Fleet::new(folder, 3, &[SERVICE])?;
    let edge = fleet.edges().start;
    fleet.nodes[edge].processes[1].1 = vec!["--bind-port-offset".into(), OFFSET.to_string()];
    let relay = Relay::start(
        &fleet.internal(edge, 1),
        &fleet.internal_above(edge, 1, OFFSET),
    )?;
    fleet.start_all()?;
    sleep(Duration::from_secs(2));
    let paths: Vec<String> = (0..=CHANGES).map(|n| format!("/part-{n}/")).collect();
    // Each configuration has one route of its own beside the one that stays.
    let routes = |n: u64| {
        [
            ("r-chat", "idempotent", "/chat/", SERVICE),
            ("r-part", "idempotent", paths[n as usize].as_str(), SERVICE),
        ]
    };
    put(&fleet, 0, 1, &routes(0))?;
    all_serve(&fleet, "/part-0/x")?;
    sleep(CONTACT);
    let mut broken = 0;
    for n in 1..=CHANGES {
        if trouble {
            let count = relay.reset();
            let name = &fleet.nodes[edge].name;
            fleet.note(format!(
                "{count} connection of {name} is reset, from its agent to its proxy"
            ));
        }
        let reset_at = Instant::now();
        let acked_at = put(&fleet, n, n + 1, &routes(n))?;
        let in_touch = reset_at + CONTACT + Duration::from_millis(500);
        let due = acked_at + CONFIG_APPLY + Duration::from_millis(100);
        sleep(in_touch.max(due).saturating_duration_since(Instant::now()));
        let (old, new) = (
            format!("{}x", paths[n as usize - 1]),
            format!("{}x", paths[n as usize]),
        );
        for _ in 0..10 {
            for e in fleet.edges() {
                let name = &fleet.nodes[e].name;
                let late = acked_at.elapsed().as_millis();
                let (dropped, added) = (
                    request(&fleet.front(e), &old),
                    request(&fleet.front(e), &new),
                );
                let is_old = status(&dropped) == 200 || status(&added) == 404;
                broken += u32::from(is_old);
                let verdict = if is_old {
                    "as only the older version allows"
                } else {
                    "as the newest says"
                };
                let (dropped, added) = (told(&dropped), told(&added));
                fleet.note(format!(
                    "{late} ms after version {} was acknowledged, {name}: {old} (dropped) {dropped}, {new} (added) {added}: {verdict}",
                    n + 1
                ));
            }
            sleep(Duration::from_millis(300));
        }
    }
    fleet.note(format!(
        "CONFIG: {broken} looks found an older version in force"
    ));
    Ok(broken == 0)
}

/// The proxies of half of the edges are killed at the same moment and started again after a short delay, and five seconds
/// later those of the other half.
fn restart(folder: &str, trouble: bool) -> Result<bool, String> {
    const RESTART_AFTER: Duration = Duration::from_millis(100);
    let mut fleet = Fleet::new(folder, 6, &[SERVICE])?;
    fleet.start_all()?;
    sleep(Duration::from_secs(2));
    put(&fleet, 0, 1, &[("r-chat", "idempotent", "/chat/", SERVICE)])?;
    all_serve(&fleet, "/chat/x")?;
    sleep(CONTACT);
    let served_before = serve_round(&fleet, Duration::from_secs(3));
    let edges: Vec<usize> = fleet.edges().collect();
    for half in edges.chunks(edges.len() / 2).filter(|_| trouble) {
        for edge in half {
            fleet.kill(*edge, 1);
        }
        fleet.note(format!(
            "SIGKILL to the proxies of {} edges at once",
            half.len()
        ));
        sleep(RESTART_AFTER);
        for edge in half {
            fleet.start(*edge, 1)?;
        }
        fleet.note("these proxies are started again");
        sleep(Duration::from_secs(5));
    }
    sleep(RECOVERY + Duration::from_secs(1));
    let served_after = serve_round(&fleet, Duration::from_secs(20));
    for edge in fleet.edges() {
        fleet.note(format!(
            "{}: ready {}",
            fleet.nodes[edge].name,
            fleet.is_ready(edge)
        ));
    }
    if served_before < 0.25 {
        return Err("too little is served before".into());
    }
    fleet.note(format!(
        "RECOVER: {:.3} of the requests served before, {:.3} of those sent later than 12 s after the processes were back",
        served_before, served_after
    ));
    Ok(served_after >= 0.25)
}

/// Clients send to all edges in turn, and after a refusal to the next one; gives the share that is served.
fn serve_round(fleet: &Fleet, time: Duration) -> f64 {
    let end = Instant::now() + time;
    let (mut sent, mut served) = (0, 0);
    let mut turn = 0;
    while Instant::now() < end {
        sent += 1;
        let edges = fleet.edges().len();
        let mut answers = vec![];
        for further in 0..2 {
            let edge = fleet.edges().start + (turn + further) % edges;
            let answer = request(&fleet.front(edge), "/chat/x");
            answers.push(format!("{} {}", fleet.nodes[edge].name, told(&answer)));
            if answer.as_ref().is_ok_and(|a| a.status() == 200 && a.whole) {
                served += 1;
                break;
            }
        }
        turn += 1;
        if turn % 5 == 1 {
            fleet.note(format!("request {turn}: {}", answers.join(", then ")));
        }
        sleep(Duration::from_millis(50));
    }
    fleet.note(format!("{served} of {sent} requests served"));
    f64::from(served) / f64::from(sent.max(1))
}

/// Sound replicas answer without a length, and end the answer with their connection, closed in order.
fn unframed(folder: &str, trouble: bool) -> Result<bool, String> {
    let mut fleet = Fleet::new(folder, 3, &[SERVICE])?;
    fleet.start_all()?;
    sleep(Duration::from_secs(2));
    put(
        &fleet,
        0,
        1,
        &[("r-chat", "non_idempotent", "/chat/", SERVICE)],
    )?;
    all_serve(&fleet, "/chat/x")?;
    sleep(CONTACT);
    let mut broken = 0;
    for n in 0..10 {
        for edge in fleet.edges() {
            lock(&fleet.world).framing = Framing::Length;
            // Planned work on the machine, with or without the trouble.
            fleet.hang_up(edge);
            let Ok(mut client) = Client::open(&fleet.front(edge), Duration::from_secs(6)) else {
                return Err("an edge takes no connection".into());
            };
            for turn in 0..2 {
                if turn == 1 && trouble {
                    lock(&fleet.world).framing = Framing::End;
                }
                let attempt = next_attempt();
                let answer = client
                    .ask("POST", "/chat/x", &client_headers(&attempt), b"{}")
                    .map_err(|e| e.to_string());
                let ran: Vec<String> = {
                    let state = lock(&fleet.world);
                    let mine = state.runs.iter().filter(|r| r.attempt == attempt);
                    mine.map(|r| r.replica.clone()).collect()
                };
                let is_whole = answer.as_ref().is_ok_and(|a| a.whole);
                broken += u32::from(turn == 1 && !is_whole && ran.len() == 1);
                fleet.note(format!(
                    "{n}: {}, request {turn} of its connection: run by {}, client told {}",
                    fleet.nodes[edge].name,
                    ran.join(" "),
                    told(&answer)
                ));
            }
        }
    }
    fleet.note(format!("LOST: {broken} requests on kept connections were run by a sound replica and had no whole answer"));
    Ok(broken <= 3)
}
