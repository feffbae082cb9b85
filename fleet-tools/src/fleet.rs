//! A whole fleet as processes on loopback.

use std::{
    collections::BTreeMap,
    fs::File,
    net::{Ipv4Addr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU16, Ordering},
    time::Duration,
};

use awc::Client;
use daemon_parts::{clock, http::call, limits::OPERATOR_CALL_TIMEOUT, operator::Operator};
use fleet_simulator::history::{History, Run, Told};
use remote_calls::{Accepted, Fault, Health, PlatformList, ReplicaRuns, RunState, calls};

use crate::{
    deployment::Deployment,
    link::Link,
    replica::{Behaviour, HARM, Harm},
};

/// One of our processes.
pub struct Process {
    pub name: String,
    pub zone: String,
    pub http: String,
    pub listen: String,
    args: Vec<String>,
    program: &'static str,
    child: Option<Child>,
}

pub struct Fleet {
    pub d: Deployment,
    pub folder: PathBuf,
    pub processes: BTreeMap<String, Process>,
    pub client: Client,
    pub link: Link,
    /// Relays that are to run: where each listens, whose it is, where that process binds.
    relays: Vec<(String, String, String)>,
}

/// A free address on a loopback IP of its own: outgoing channels start from 127.0.0.1, so none of them
/// can take the port between this look and the process's bind.
pub fn free() -> std::io::Result<String> {
    static NEXT: AtomicU16 = AtomicU16::new(1);
    let (n, id) = (NEXT.fetch_add(1, Ordering::Relaxed), std::process::id());
    let ip = Ipv4Addr::new(
        127,
        1 + (id % 200) as u8,
        (n >> 8) as u8 + (id / 200 % 100) as u8,
        n as u8,
    );
    Ok(TcpListener::bind((ip, 0))?.local_addr()?.to_string())
}

/// Where a program of this workspace was built.
pub fn program(n: &str) -> std::io::Result<PathBuf> {
    let exe = std::env::current_exe()?;
    let dir = exe.parent().unwrap_or(Path::new("."));
    // Tests stand one folder below the programs.
    let at = dir.join(n);
    Ok(if at.exists() {
        at
    } else {
        dir.join("..").join(n)
    })
}

impl Process {
    pub fn start(&mut self, folder: &Path) -> std::io::Result<()> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(folder.join(format!("{}.log", self.name)))?;
        let c = Command::new(program(self.program)?)
            .args(&self.args)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(c);
        Ok(())
    }
    /// Changes a flag that it is started with.
    fn set(&mut self, flag: &str, v: &str) {
        if let Some(i) = self.args.iter().position(|a| a == flag) {
            self.args[i + 1] = v.into();
        }
    }
    pub fn signal(&self, s: i32) {
        if let Some(c) = &self.child {
            // SAFETY: the id is of a child that has not been waited for, so it is still that child's.
            unsafe { libc::kill(c.id() as i32, s) };
        }
    }
    pub fn kill(&mut self) {
        if let Some(mut c) = self.child.take() {
            let _ = c.kill();
            let _ = c.wait();
        }
    }
    pub fn running(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|c| matches!(c.try_wait(), Ok(None)))
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // The platform ends its replicas when it is asked to; a kill would leave them.
        for p in self.processes.values() {
            p.signal(libc::SIGTERM);
        }
        let until = clock::now() + 3_000;
        for p in self.processes.values_mut() {
            while p.running() && clock::now() < until && p.program == "stand-in-platform" {
                std::thread::sleep(Duration::from_millis(20));
            }
            p.kill();
        }
    }
}

impl Fleet {
    /// Starts every process of a deployment. Nothing is configured yet.
    pub fn start(d: Deployment, folder: &Path, log: &str) -> std::io::Result<Fleet> {
        std::fs::create_dir_all(folder)?;
        let client = Client::builder().disable_timeout().finish();
        let mut f = Fleet {
            d,
            folder: folder.into(),
            processes: BTreeMap::new(),
            client,
            link: Link::default(),
            relays: vec![],
        };
        let platform = free()?;
        let mut args = vec!["--http".to_string(), platform.clone()];
        for s in &f.d.spec.services {
            for z in &s.zones {
                args.extend([
                    "--start".into(),
                    format!("{}:{}:{}:{}", s.name, z.zone, s.version, z.replicas),
                ]);
            }
            for l in &s.lanes {
                // A warm answer takes a little less than what the spec expects; long lanes stream more pieces.
                let pieces = if l.expected_ms > 1_000 { 24 } else { 4 };
                args.extend([
                    "--lane".into(),
                    format!("{}:{}:{pieces}", l.name, l.expected_ms * 3 / 4),
                ]);
            }
        }
        f.add(
            "platform",
            "",
            "stand-in-platform",
            platform.clone(),
            String::new(),
            args,
        );
        let control: Vec<(String, String, String, String)> =
            f.d.control
                .iter()
                .enumerate()
                .map(|(i, z)| Ok((format!("control-{}", i + 1), z.clone(), free()?, free()?)))
                .collect::<std::io::Result<_>>()?;
        let seeds: Vec<String> = control.iter().map(|c| c.2.clone()).collect();
        let members: Vec<String> = control.iter().map(|c| c.0.clone()).collect();
        for (n, z, listen, http) in &control {
            let data = f.folder.join(n).display().to_string();
            let mut a = args_of(&[
                ("name", n),
                ("zone", z),
                ("listen", listen),
                ("bind", &f.relayed(n, listen)?),
                ("http", http),
                ("data", &data),
                ("platform", &platform),
                ("log", log),
            ]);
            seeds
                .iter()
                .for_each(|s| a.extend(["--seed".into(), s.clone()]));
            members
                .iter()
                .for_each(|m| a.extend(["--member".into(), m.clone()]));
            f.add(n, z, "control-daemon", http.clone(), listen.clone(), a);
        }
        let edges: Vec<String> =
            f.d.edges
                .iter()
                .flat_map(|e| std::iter::repeat_n(e.zone.clone(), e.count))
                .collect();
        for (i, z) in edges.iter().enumerate() {
            let (n, listen) = (format!("edge-{}", i + 1), free()?);
            let bind = f.relayed(&n, &listen)?;
            let mut a = args_of(&[
                ("name", &n),
                ("zone", z),
                ("listen", &listen),
                ("bind", &bind),
                ("log", log),
            ]);
            seeds
                .iter()
                .for_each(|s| a.extend(["--seed".into(), s.clone()]));
            f.add(&n, z, "edge-agent", String::new(), listen.clone(), a);
            let (own, http, p) = (free()?, free()?, format!("proxy-{}", i + 1));
            let a = args_of(&[
                ("name", &p),
                ("zone", z),
                ("listen", &own),
                ("http", &http),
                ("agent", &listen),
                ("log", log),
            ]);
            f.add(&p, z, "edge-proxy", http, own, a);
        }
        let folder = f.folder.clone();
        for p in f.processes.values_mut() {
            p.start(&folder)?;
        }
        f.run_relays();
        Ok(f)
    }

    /// A place for a process to bind behind a relay at its address.
    fn relayed(&mut self, name: &str, listen: &str) -> std::io::Result<String> {
        let bind = free()?;
        self.relays.push((listen.into(), name.into(), bind.clone()));
        Ok(bind)
    }
    fn run_relays(&mut self) {
        for (listen, name, to) in std::mem::take(&mut self.relays) {
            let link = self.link.clone();
            actix_rt::spawn(async move {
                if let Err(e) = link.relay(&listen, name.clone(), to).await {
                    eprintln!("relay of {name}: {e}");
                }
            });
        }
    }

    fn add(
        &mut self,
        name: &str,
        zone: &str,
        program: &'static str,
        http: String,
        listen: String,
        args: Vec<String>,
    ) {
        let p = Process {
            name: name.into(),
            zone: zone.into(),
            http,
            listen,
            args,
            program,
            child: None,
        };
        self.processes.insert(name.into(), p);
    }

    pub fn control(&self) -> Vec<&Process> {
        self.processes
            .values()
            .filter(|p| p.program == "control-daemon")
            .collect()
    }
    pub fn proxies(&self) -> Vec<&Process> {
        self.processes
            .values()
            .filter(|p| p.program == "edge-proxy")
            .collect()
    }
    pub fn restart(&mut self, name: &str) -> std::io::Result<()> {
        let folder = self.folder.clone();
        match self.processes.get_mut(name) {
            Some(p) => {
                p.kill();
                p.start(&folder)
            }
            None => Err(std::io::ErrorKind::NotFound.into()),
        }
    }
    /// Starts a control daemon again with this bound on its database, or with none.
    pub fn limit(&mut self, name: &str, bytes: Option<u64>) -> std::io::Result<()> {
        let file = self.folder.join(format!("{name}.params.json"));
        std::fs::write(&file, format!("{{\"data_limit\": {}}}", bytes.unwrap_or(0)))?;
        let Some(p) = self.processes.get_mut(name) else {
            return Err(std::io::ErrorKind::NotFound.into());
        };
        if !p.args.iter().any(|a| a == "--params") {
            p.args
                .extend(["--params".into(), file.display().to_string()]);
        }
        self.restart(name)
    }
    /// Replaces a control machine by an empty one under the same name at a new address.
    pub fn replace(&mut self, name: &str) -> std::io::Result<()> {
        let (listen, http, folder) = (free()?, free()?, self.folder.clone());
        let bind = self.relayed(name, &listen)?;
        self.run_relays();
        let Some(p) = self.processes.get_mut(name) else {
            return Err(std::io::ErrorKind::NotFound.into());
        };
        p.kill();
        [("--listen", &listen), ("--bind", &bind), ("--http", &http)]
            .iter()
            .for_each(|(flag, v)| p.set(flag, v));
        (p.listen, p.http) = (listen, http);
        let _ = std::fs::remove_dir_all(folder.join(name));
        p.start(&folder)
    }

    /// Replaces an edge machine, agent and proxy, by an empty one of another name at a new address.
    pub fn replace_edge(&mut self, n: usize, new: usize) -> std::io::Result<()> {
        let folder = self.folder.clone();
        let (agent, own, http) = (free()?, free()?, free()?);
        let bind = self.relayed(&format!("edge-{new}"), &agent)?;
        self.run_relays();
        for kind in ["edge", "proxy"] {
            let (old, name) = (format!("{kind}-{n}"), format!("{kind}-{new}"));
            let Some(mut p) = self.processes.remove(&old) else {
                return Err(std::io::ErrorKind::NotFound.into());
            };
            p.kill();
            let edge = [("--name", &name), ("--listen", &agent), ("--bind", &bind)];
            let proxy = [
                ("--name", &name),
                ("--listen", &own),
                ("--http", &http),
                ("--agent", &agent),
            ];
            let flags: &[(&str, &String)] = if kind == "edge" { &edge } else { &proxy };
            flags.iter().for_each(|(flag, v)| p.set(flag, v));
            p.name = name.clone();
            (p.listen, p.http) = if kind == "edge" {
                (agent.clone(), String::new())
            } else {
                (own.clone(), http.clone())
            };
            p.start(&folder)?;
            self.processes.insert(name, p);
        }
        Ok(())
    }
    /// Sends a signal to the nth of the platform's replicas.
    /// Gives its id.
    pub async fn harm(&self, nth: usize, signal: i32) -> Option<String> {
        let p = self.processes.get("platform")?;
        let sent = self
            .client
            .post(format!("http://{}{HARM}", p.http))
            .send_json(&Harm { nth, signal })
            .await;
        sent.ok()?.json().await.ok()
    }

    /// Operators' calls to this fleet.
    pub fn operator(&self) -> Operator {
        Operator {
            client: self.client.clone(),
            control: self.control().iter().map(|p| p.http.clone()).collect(),
        }
    }
    /// Puts the deployment's spec as the first one. As operators do: what became of a write that is unknown is found out
    /// by sending it again, unchanged.
    pub async fn configure(&self, limit: Duration) -> Result<Accepted, Fault> {
        let at = clock::now();
        loop {
            match self.operator().put_spec(self.d.spec.clone(), Some(0)).await {
                Err(f) if f.code == "unknown" && clock::now() - at < limit.as_millis() as u64 => {}
                r => return r,
            }
        }
    }
    pub async fn behave(&self, b: &[Behaviour]) {
        let Some(p) = self.processes.get("platform") else {
            return;
        };
        let _ = self
            .client
            .put(format!("http://{}{}", p.http, crate::replica::BEHAVE))
            .send_json(&b)
            .await;
    }

    /// What callers were told, with every replica's own record, for the checkers.
    pub async fn history(&self, told: Vec<Told>) -> Result<History, Fault> {
        let Some(p) = self.processes.get("platform") else {
            return Ok(History::default());
        };
        let l: PlatformList = call::<(), _>(
            &self.client,
            &p.http,
            calls::PLATFORM_LIST,
            None,
            OPERATOR_CALL_TIMEOUT,
        )
        .await?;
        let mut h = History {
            asked: told.len() as u64,
            end_ms: clock::now(),
            ..History::default()
        };
        for r in &l.replicas {
            let runs: ReplicaRuns = call::<(), _>(
                &self.client,
                &r.addr,
                calls::RUNS,
                None,
                OPERATOR_CALL_TIMEOUT,
            )
            .await?;
            h.runs.extend(runs.runs.into_iter().map(|x| Run {
                run: x.run,
                request: x.request,
                replica: r.id.clone(),
                zone: r.zone.clone(),
                lane: x.lane,
                version: x.version,
                homes: x.homes,
                done: x.state == RunState::Done,
                failed: x.state == RunState::Failed,
                digest: x.digest,
                at_ms: x.at_ms,
                end_ms: x.at_ms,
                ..Run::default()
            }));
        }
        h.told = told;
        Ok(h)
    }

    /// Waits until something holds; the time is a bound on trouble, not a measure.
    pub async fn until<F: AsyncFn(&Fleet) -> bool>(
        &self,
        what: &str,
        limit: Duration,
        f: F,
    ) -> Result<u64, String> {
        let at = clock::now();
        while clock::now() - at < limit.as_millis() as u64 {
            if f(self).await {
                return Ok(clock::now() - at);
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Err(format!("not within {limit:?}: {what}"))
    }
    pub async fn healthy(&self, p: &Process) -> bool {
        let r = call::<(), Health>(
            &self.client,
            &p.http,
            calls::HEALTH,
            None,
            Duration::from_millis(500),
        )
        .await;
        r.is_ok_and(|h| h.ok)
    }
    /// Whether every control daemon has settled.
    pub async fn settled(&self) -> bool {
        for p in self.control() {
            if !self.healthy(p).await {
                return false;
            }
        }
        true
    }
    /// Whether every proxy serves.
    pub async fn serves(&self) -> bool {
        for p in self.proxies() {
            if !self.healthy(p).await {
                return false;
            }
        }
        true
    }
}

fn args_of(pairs: &[(&str, &str)]) -> Vec<String> {
    pairs
        .iter()
        .flat_map(|(k, v)| [format!("--{k}"), v.to_string()])
        .collect()
}
