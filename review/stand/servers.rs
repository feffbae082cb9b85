//! The platform's list and the replicas, as the pages describe them.

use std::{
    io::{BufReader, Write},
    net::{TcpListener, TcpStream},
    sync::{Arc, Mutex, MutexGuard},
    thread,
    time::Duration,
};

use crate::http;

/// One request that a replica ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub replica: String,
    pub attempt: String,
}

/// A replica of the stand-in platform.
#[derive(Clone, Debug)]
pub struct Replica {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub addr: String,
    pub version: String,
}

/// How replicas frame their answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Framing {
    #[default]
    Length,
    /// No length: the answer ends with its connection, which is closed in order.
    End,
}

#[derive(Default)]
pub struct State {
    pub replicas: Vec<Replica>,
    pub runs: Vec<Run>,
    pub framing: Framing,
}

pub type World = Arc<Mutex<State>>;

pub fn lock(world: &World) -> MutexGuard<'_, State> {
    world
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

fn serve(addr: &str, handle: impl Fn(TcpStream) + Send + Sync + 'static) -> Result<(), String> {
    let listener = TcpListener::bind(addr).map_err(|e| format!("{addr}: {e}"))?;
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || handle(stream));
        }
    });
    Ok(())
}

/// The list of replicas, all on one page.
pub fn platform(addr: &str, world: &World) -> Result<(), String> {
    let world = world.clone();
    serve(addr, move |stream| {
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read(&mut reader, false) {
            let rows: Vec<String> = lock(&world).replicas.iter().map(row).collect();
            let (status, body) = if request.word(1).starts_with("/instances") {
                let list = rows.join(",");
                (
                    "200 OK",
                    format!("{{\"instanceList\":[{list}],\"nextToken\":null}}"),
                )
            } else {
                ("404 Not Found", String::new())
            };
            let head = format!("HTTP/1.1 {status}\r\nContent-Type: application/json\r\n");
            let said = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
            if reader.get_mut().write_all(said.as_bytes()).is_err() {
                return;
            }
        }
    })
}

fn row(r: &Replica) -> String {
    format!(
        r#"{{"instanceId":"{}","targetService":"{}","address":"{}","zone":"{}","releaseNumber":"{}","capacitySlots":64,"state":"available","warmupLeftMs":0,"stage":"combined","modelList":[{{"name":"m","releaseNumber":1,"adapterList":[]}}]}}"#,
        r.id, r.service, r.addr, r.zone, r.version
    )
}

/// Starts a replica and lists it.
pub fn replica(world: &World, r: Replica) -> Result<(), String> {
    lock(world).replicas.push(r.clone());
    let (shared, me) = (world.clone(), r.clone());
    serve(&r.addr, move |stream| {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read(&mut reader, false) {
            if !request.whole || !answer(&shared, &me, &request, reader.get_mut()) {
                return;
            }
        }
    })
}

/// Answers one request; whether the connection stays open.
fn answer(world: &World, me: &Replica, request: &http::Message, out: &mut TcpStream) -> bool {
    let attempt = request.header("x-attempt-id").unwrap_or("").to_string();
    let common = format!("X-Attempt-Id: {attempt}\r\nX-Instance-Load: 1,0,64\r\n");
    let target = request.header("x-target-instance");
    if target.is_some_and(|id| id != me.id) {
        let head = "HTTP/1.1 421 Misdirected Request\r\n";
        let said = format!("{head}{common}X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        return out.write_all(said.as_bytes()).is_ok();
    }
    let (framing, number) = {
        let mut state = lock(world);
        state.runs.push(Run {
            replica: me.id.clone(),
            attempt: attempt.clone(),
        });
        (state.framing, state.runs.len())
    };
    thread::sleep(Duration::from_millis(5));
    let body = format!("{} answers {attempt} for {}\n", me.id, request.word(1)).repeat(20);
    let seal = format!(
        "X-Server-Seal: {}.{number:x}\r\nX-Weight-Versions: 1\r\n",
        me.id
    );
    let head = format!("HTTP/1.1 200 OK\r\n{common}{seal}Content-Type: text/plain\r\n");
    match framing {
        Framing::Length => {
            let said = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
            out.write_all(said.as_bytes()).is_ok()
        }
        Framing::End => {
            let _ = out.write_all(format!("{head}Connection: close\r\n\r\n{body}").as_bytes());
            let _ = out.shutdown(std::net::Shutdown::Write);
            false
        }
    }
}
