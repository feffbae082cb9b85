//! The processes of the program on loopback, started with the commands of the deploy file.

use std::{
    fs::{self, File},
    io::{self, Write},
    net::TcpListener,
    os::unix::process::CommandExt,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Message},
    servers::{self, Replica, World},
};

pub const ZONES: [(&str, &str); 3] = [
    ("zurich-a", "zurich"),
    ("geneva-b", "geneva"),
    ("lugano-a", "lugano"),
];
pub const HOST: &str = "practice.example";
const PROGRAM: &str = "target/release/landingslip";
/// Ports behind the first: control plane, directory, front, readiness, list, replicas; internal ports from 20 on.
const PORTS: u16 = 60;

unsafe extern "C" {
    fn prctl(option: i32, value: u64) -> i32;
    fn kill(process: i32, signal: i32) -> i32;
}
const PR_SET_PDEATHSIG: i32 = 1;
const SIGHUP: i32 = 1;
const SIGKILL: u64 = 9;

pub struct Node {
    pub name: String,
    pub ip: String,
    pub is_edge: bool,
    /// Role, more arguments, and the process.
    pub processes: Vec<(&'static str, Vec<String>, Option<Child>)>,
}

pub struct Fleet {
    pub nodes: Vec<Node>,
    pub world: World,
    pub folder: PathBuf,
    port: u16,
    net: u8,
    record: Mutex<File>,
    begun: Instant,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for (_, _, child) in self.nodes.iter_mut().flat_map(|n| &mut n.processes) {
            if let Some(child) = child {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// A network of loopback addresses and a range of ports that are free there.
fn free_place() -> Result<(u8, u16), String> {
    let seed = std::process::id();
    for n in 0..200u32 {
        let net = (100 + (seed + n * 7) % 100) as u8;
        let port = (20_000 + (seed + n * 131) % 80 * 100) as u16;
        let is_free = |p: u16| TcpListener::bind(format!("127.{net}.1.1:{p}")).is_ok();
        if (port..port + PORTS).all(is_free) {
            return Ok((net, port));
        }
    }
    Err("no free ports".into())
}

impl Fleet {
    /// Prepares three core machines, and edges and replicas in three zones.
    pub fn new(record: &str, edges: usize, services: &[&str]) -> Result<Fleet, String> {
        let (net, port) = free_place()?;
        let folder =
            std::env::temp_dir().join(format!("landingslip-review-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let file = File::create(format!("{record}/record.txt")).map_err(|e| e.to_string())?;
        let mut fleet = Fleet {
            nodes: vec![],
            world: World::default(),
            folder,
            port,
            net,
            record: Mutex::new(file),
            begun: Instant::now(),
        };
        for i in 0..3 {
            fleet.nodes.push(Node {
                name: format!("core-{}-1", ZONES[i].0),
                ip: format!("127.{net}.1.{}", 10 + i),
                is_edge: false,
                processes: vec![("control", vec![], None)],
            });
        }
        for i in 0..edges {
            fleet.nodes.push(Node {
                name: format!("edge-{}-{}", ZONES[i % 3].0, i / 3 + 1),
                ip: format!("127.{net}.2.{}", 10 + i),
                is_edge: true,
                processes: vec![("agent", vec![], None), ("proxy", vec![], None)],
            });
        }
        servers::platform(&fleet.platform(), &fleet.world)?;
        for (s, service) in services.iter().enumerate() {
            for (z, zone) in ZONES.iter().enumerate() {
                for n in 0..2 {
                    let replica = Replica {
                        id: format!("i-{service}-{}-{n}", zone.0),
                        service: (*service).into(),
                        zone: zone.0.into(),
                        addr: format!("127.{net}.3.{}:{}", 10 + s * 20 + z * 2 + n, port + 5),
                        version: "v1".into(),
                    };
                    servers::replica(&fleet.world, replica)?;
                }
            }
        }
        for i in 0..fleet.nodes.len() {
            fleet.write_settings(i)?;
        }
        Ok(fleet)
    }

    fn platform(&self) -> String {
        format!("127.{}.4.4:{}", self.net, self.port + 4)
    }
    pub fn control(&self, i: usize) -> String {
        format!("{}:{}", self.nodes[i].ip, self.port)
    }
    pub fn front(&self, node: usize) -> String {
        format!("{}:{}", self.nodes[node].ip, self.port + 2)
    }
    pub fn readiness(&self, node: usize) -> String {
        format!("{}:{}", self.nodes[node].ip, self.port + 3)
    }
    /// Where the others reach a process of a machine: its agent or daemon (0), its proxy (1).
    pub fn internal(&self, node: usize, process: u16) -> String {
        format!("{}:{}", self.nodes[node].ip, self.port + 20 + process)
    }
    pub fn internal_above(&self, node: usize, process: u16, offset: u16) -> String {
        format!(
            "{}:{}",
            self.nodes[node].ip,
            self.port + 20 + process + offset
        )
    }
    pub fn edges(&self) -> std::ops::Range<usize> {
        3..self.nodes.len()
    }

    fn write_settings(&self, i: usize) -> Result<(), String> {
        let (node, p) = (&self.nodes[i], self.port);
        let ip = &node.ip;
        let zone = ZONES
            .iter()
            .find(|z| node.name.contains(z.0))
            .unwrap_or(&ZONES[0]);
        let seeds: Vec<String> = (0..3).map(|c| format!("\"{}\"", self.control(c))).collect();
        let zones: String = ZONES
            .iter()
            .map(|(z, r)| format!("{z} = \"{r}\"\n"))
            .collect();
        let (class, serves, data, disk) = if node.is_edge {
            let serves = format!("front = \"{ip}:{}\"\nreadiness = \"{ip}:{}\"", p + 2, p + 3);
            ("edge", serves, String::new(), 0)
        } else {
            let data = self.folder.join(format!("{}-data", node.name));
            let serves = format!(
                "controlPlane = \"{ip}:{p}\"\ndirectory = \"{ip}:{}\"",
                p + 1
            );
            (
                "core",
                serves,
                format!("dataDirectory = \"{}\"", data.display()),
                128,
            )
        };
        let text = format!(
            "nodeName = \"{name}\"\nmachineClass = \"{class}\"\nservedRoles = []\nip = \"{ip}\"\nzone = \"{zone}\"\n\
             region = \"{region}\"\ninternalPorts = [{first}, {last}]\nseedNodes = [{seeds}]\ninitialStart = true\n\
             lossCounted = {counted}\ndiscoverySource = \"platform\"\nentryType = \"registry\"\nheartbeatMs = 1200\n{data}\n\
             [zones]\n{zones}[bindAddresses]\n{serves}\n[limits]\ncpuShare = 0.25\ncpuCores = 1\nmemoryMb = 260\n\
             fileDescriptors = 4100\nlinkMbps = 1000.0\ndiskMb = {disk}\n[faultTolerance]\nmachineLosses = 1\nzones = 1\n\
             regionLosses = 1\n[timingBounds]\nseedLagS = 3\naddressReuseS = 2\ncontactMs = 4000\nackMs = 5000\nsyncS = 4\n\
             drainMs = 4000\ngraceS = 8\nlossSlackMs = 200\nconfigApplyMs = 3000\nrevertSlackMs = 250\nmaxStretchMs = 6000\n\
             retryRatio = 0.2\nretryWindowS = 10\nretrySlack = 52\nexposureShare = 0.1\nexposureSlack = 50\n\
             rollbackMs = 5000\nwarmupOvershoot = 1.5\nwarmupSlack = 5\nevacuationMs = 5000\nrecoveryS = 12\npassMs = 400\n\
             ttl_max_s = 5\n[platformApi]\naddress = \"{platform}\"\nratePerS = 40.0\nassignedDuties = []\nmaxLagMs = 800\n",
            name = node.name,
            zone = zone.0,
            region = zone.1,
            first = p + 20,
            last = p + 35,
            seeds = seeds.join(", "),
            counted = !node.is_edge,
            platform = self.platform(),
        );
        fs::write(self.folder.join(format!("{}.toml", node.name)), text).map_err(|e| e.to_string())
    }

    /// Starts one process of a machine.
    pub fn start(&mut self, node: usize, process: usize) -> Result<(), String> {
        let settings = self.folder.join(format!("{}.toml", self.nodes[node].name));
        let (role, more, child) = &mut self.nodes[node].processes[process];
        let log = File::options()
            .create(true)
            .append(true)
            .open(settings.with_extension(format!("{role}.log")))
            .map_err(|e| e.to_string())?;
        let mut command = Command::new(PROGRAM);
        command
            .arg(&*role)
            .args(&*more)
            .env("LANDINGSLIP_NODE_FILE", &settings);
        let errors = log.try_clone().map_err(|e| e.to_string())?;
        command.stdin(Stdio::null()).stdout(log).stderr(errors);
        // A case that is ended from outside leaves no process behind.
        let with_parent = || match unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) } {
            0 => Ok(()),
            _ => Err(io::Error::last_os_error()),
        };
        // SAFETY: between fork and exec the child makes this one system call only.
        unsafe { command.pre_exec(with_parent) };
        *child = Some(command.spawn().map_err(|e| format!("{PROGRAM}: {e}"))?);
        Ok(())
    }
    pub fn start_all(&mut self) -> Result<(), String> {
        for node in 0..self.nodes.len() {
            for process in 0..self.nodes[node].processes.len() {
                self.start(node, process)?;
            }
        }
        Ok(())
    }
    /// SIGKILL.
    pub fn kill(&mut self, node: usize, process: usize) {
        if let Some(child) = &mut self.nodes[node].processes[process].2 {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// SIGHUP to all processes of a machine.
    pub fn hang_up(&self, node: usize) {
        for child in self.nodes[node]
            .processes
            .iter()
            .filter_map(|p| p.2.as_ref())
        {
            // SAFETY: the child has not been waited for, so the id is still its own.
            unsafe { kill(child.id() as i32, SIGHUP) };
        }
    }

    /// Writes a line into the record.
    pub fn note(&self, text: impl AsRef<str>) {
        let at = self.begun.elapsed().as_secs_f64();
        let mut file = self
            .record
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        let _ = writeln!(file, "{at:8.3} {}", text.as_ref());
    }

    /// An operator's call: moves on to the next daemon after a failure, a 5xx, 408, 429 or a second of silence.
    pub fn order(
        &self,
        method: &str,
        path: &str,
        from: Option<u64>,
        body: &str,
    ) -> Result<Message, String> {
        let end = Instant::now() + Duration::from_secs(20);
        let from = from.map(|n| n.to_string());
        for turn in 0.. {
            let mut headers = vec![("Host", "control"), ("Content-Type", "application/json")];
            headers.extend(from.iter().map(|n| ("If-Match", n.as_str())));
            let to = self.control(turn % 3);
            let answer = http::ask(
                &to,
                method,
                path,
                &headers,
                body.as_bytes(),
                Duration::from_secs(1),
            );
            match answer {
                Ok(a) if a.whole && a.status() < 500 && ![408, 429].contains(&a.status()) => {
                    self.note(format!("operator: {method} {path} at {to}: {}", a.status()));
                    return Ok(a);
                }
                other => {
                    let what = other.map_or_else(|e| e.to_string(), |a| a.status().to_string());
                    self.note(format!(
                        "operator: {method} {path} at {to}: {what}, goes on"
                    ));
                }
            }
            if Instant::now() > end {
                break;
            }
            thread::sleep(Duration::from_millis(100 + 100 * turn as u64));
        }
        Err(format!("no clear answer to {method} {path}"))
    }

    /// Waits until something holds.
    pub fn until(&self, what: &str, seconds: u64, holds: impl Fn() -> bool) -> Result<(), String> {
        let end = Instant::now() + Duration::from_secs(seconds);
        while !holds() {
            if Instant::now() > end {
                return Err(format!("not within {seconds} s: {what}"));
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    pub fn is_ready(&self, edge: usize) -> bool {
        let headers = [("Host", "ready")];
        let to = self.readiness(edge);
        http::ask(
            &to,
            "GET",
            "/readiness",
            &headers,
            b"",
            Duration::from_secs(1),
        )
        .is_ok_and(|a| a.status() == 200)
    }
}

/// One route of a configuration: name, type, prefix, service.
pub type Route<'a> = (&'a str, &'a str, &'a str, &'a str);

/// A configuration as operators send it.
pub fn configuration(release: u64, routes: &[Route], services: &[&str]) -> String {
    let route = |(name, kind, prefix, service): &Route| {
        format!(
            r#"{{"name":"{name}","hostName":"{HOST}","pathPrefix":"{prefix}","routeType":"{kind}","timeoutMs":5000,"targetLatencyMs":600,"priorityLevel":0,"targetService":"{service}","maxAttempts":1,"sessionAffinity":true,"resumable":false,"targetGapMs":300,"homeRegions":[]}}"#
        )
    };
    let service = |name: &&str| {
        format!(
            r#"{{"name":"{name}","healthPath":"/health","maxConnections":360,"protocol":"h1","tls":false,"warmupS":3.0,"warmupRateS":26.0,"engine":{{"capacitySlots":64,"cacheTokens":348621,"tokenBytes":18432,"linkMbps":88000.0,"stride":4,"modelList":[{{"name":"m"}}]}}}}"#
        )
    };
    let routes: Vec<String> = routes.iter().map(route).collect();
    let services: Vec<String> = services.iter().map(service).collect();
    format!(
        r#"{{"releaseNumber":{release},"routeTable":[{}],"serviceTable":[{}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
        routes.join(","),
        services.join(",")
    )
}
