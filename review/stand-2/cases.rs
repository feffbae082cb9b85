//! The cases.

use super::*;

/// Runs a case; says whether its rule was broken.
pub fn run(case: &str, folder: &str, has_trouble: bool) -> io::Result<bool> {
    let record = Arc::new(Record::new(folder)?);
    match case {
        "exposure" => exposure(&record, has_trouble),
        "founding" => founding(&record, has_trouble),
        "unframed" => unframed(&record, has_trouble),
        "killed-proxy" => killed_proxy(&record, has_trouble),
        _ => Err(io::Error::other("there is no such case")),
    }
}

/// Starts a fleet with 18 replicas and its first configuration, and waits until it serves.
fn begin(record: &Arc<Record>, answer: Box<Answer>, edges: usize) -> io::Result<(Fleet, Arc<World>, Vec<SocketAddr>)> {
    let mut fleet = Fleet::prepare(edges)?;
    let world = World::new(record, answer);
    world.serve_list(fleet.list())?;
    world.start(&fleet, 0, &[8, 6, 4], "v1", 0)?;
    fleet.run_all()?;
    let controls: Vec<SocketAddr> = fleet.core().iter().map(|index| fleet.machines[*index].control()).collect();
    let put = ("PUT", "/configuration", "If-Match: 0\r\n", &*configuration(5));
    operate(record, &controls, put, 15_000).ok_or(io::Error::other("the first configuration was not taken"))?;
    let until = record.now() + 15_000;
    for index in fleet.edges() {
        while !call(fleet.machines[index].ready(), "GET", "/readiness", "", "", Duration::from_secs(1)).is_ok_and(|answer| answer.0.status() == 200) {
            if record.now() > until {
                return Err(io::Error::other("an edge does not get ready"));
            }
            thread::sleep(Duration::from_millis(100));
        }
    }
    record.tell("all edges are ready");
    Ok((fleet, world, controls))
}

/// EXPOSURE: every process of the core is killed at once right after a rollout was acknowledged, and back within a second.
/// The new version goes bad late, a second before its term.
fn exposure(record: &Arc<Record>, has_trouble: bool) -> io::Result<bool> {
    let number = |name: &str, default: u64| std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(default);
    let (before_s, completion_s, kill_ms) = (number("BEFORE_S", 32), number("COMPLETION_S", 12), number("KILL_MS", 400));
    let bad_from = Arc::new(AtomicU64::new(u64::MAX));
    let is_bad_from = bad_from.clone();
    let answer = move |world: &World, replica: &Replica, _: &Head| {
        let count = replica.runs.load(Ordering::Relaxed);
        // From then on it fails four answers in ten.
        if replica.version == "v2" && world.record.now() >= is_bad_from.load(Ordering::Relaxed) && count * 7 % 10 < 4 {
            Reply::Failure
        } else {
            Reply::Events(3)
        }
    };
    let (mut fleet, world, controls) = begin(record, Box::new(answer), 2)?;
    let clients = Clients::new();
    clients.resolve(fleet.core().iter().map(|index| fleet.machines[*index].directory()).collect(), CHAT.0);
    clients.start(record, 60, 400, CHAT);
    thread::sleep(Duration::from_secs(before_s));
    let body = format!(r#"{{"targetService":"model","targetVersion":"v2","completionS":{completion_s}}}"#);
    let order = ("POST", "/rollouts", "", &*body);
    let (ordered, _) = operate(record, &controls, order, 5_000).ok_or(io::Error::other("the rollout was not taken"))?;
    let term = ordered + completion_s * 1_000;
    bad_from.store(term - 1_000, Ordering::Relaxed);
    world.start(&fleet, 20, &[8, 6, 4], "v2", 3_000)?;
    record.tell(&format!("rollout of v2 acknowledged; term at {term}"));
    let mut in_touch_from = ordered;
    if has_trouble {
        thread::sleep(Duration::from_millis(kill_ms));
        for index in fleet.core() {
            fleet.machines[index].kill();
        }
        record.tell("all core processes killed");
        thread::sleep(Duration::from_millis(500));
        for index in fleet.core() {
            fleet.run(index)?;
        }
        in_touch_from = record.now() + CONTACT_MS;
        record.tell(&format!("all core processes started again; machines are in touch from {in_touch_from}"));
    }
    let mut state = String::new();
    while record.now() < term + 1_000 {
        if let Some((_, text)) = operate(record, &controls, ("GET", "/rollouts/model", "", ""), 900) {
            if text != state {
                record.tell(&text);
                state = text;
            }
        }
        thread::sleep(Duration::from_millis(500));
    }
    clients.stop.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_millis(300));
    let tries: HashMap<String, u64> = clients.tries.lock().unwrap().iter().map(|one| (one.id.clone(), one.sent)).collect();
    let runs = world.runs.lock().unwrap().clone();
    let mut by_second: BTreeMap<u64, (u64, u64)> = BTreeMap::new();
    let (mut all, mut new, mut in_touch, mut bad) = (0, 0, 0, 0);
    for run in runs.iter().filter(|run| (ordered..term).contains(&run.at)) {
        all += 1;
        let second = by_second.entry((run.at - ordered) / 1_000).or_default();
        second.0 += 1;
        if run.version == "v2" {
            new += 1;
            second.1 += 1;
            bad += u64::from(run.failed);
            in_touch += u64::from(tries.get(&run.id).is_some_and(|sent| *sent >= in_touch_from));
        }
    }
    for (second, (of_all, of_new)) in &by_second {
        record.tell(&format!("second {second} after the order: {of_new} of {of_all} ran on v2"));
    }
    let allowed = 0.1 * all as f64 + 50.0;
    record.tell(&format!(
        "between order and term {all} requests reached the service, {new} of them v2 ({bad} failed), {in_touch} from machines in touch; allowed {allowed}"
    ));
    Ok(in_touch as f64 > allowed)
}

/// Fault: one core machine is taken away for good while the machines start for the first time, and an empty one is added
/// two seconds later at another address. The other two are up all the time.
fn founding(record: &Arc<Record>, has_trouble: bool) -> io::Result<bool> {
    let mut fleet = Fleet::prepare(2)?;
    let world = World::new(record, Box::new(|_, _, _| Reply::Events(3)));
    world.serve_list(fleet.list())?;
    world.start(&fleet, 0, &[8, 6, 4], "v1", 0)?;
    // All machines start within 0.3 s of each other, in any order: this one is the first.
    fleet.run(0)?;
    record.tell(&format!("{} is started", fleet.machines[0].name));
    thread::sleep(Duration::from_millis(200));
    if has_trouble {
        fleet.machines[0].kill();
        record.tell(&format!("{} is gone for good", fleet.machines[0].name));
    }
    thread::sleep(Duration::from_millis(90));
    (1..fleet.machines.len()).try_for_each(|index| fleet.run(index))?;
    record.tell("all other machines are started");
    let mut cores: Vec<usize> = fleet.core();
    if has_trouble {
        thread::sleep(Duration::from_millis(2_000));
        let added = fleet.add("core", 0, 13);
        fleet.write(added, false)?;
        fleet.run(added)?;
        record.tell(&format!("{} is added, with an empty disk", fleet.machines[added].name));
        cores = vec![1, 2, added];
    }
    let controls: Vec<SocketAddr> = cores.iter().map(|index| fleet.machines[*index].control()).collect();
    let directories = cores.iter().map(|index| fleet.machines[*index].directory()).collect();
    let clients = Clients::new();
    clients.resolve(directories, CHAT.0);
    clients.start(record, 30, 500, CHAT);
    let put = ("PUT", "/configuration", "If-Match: 0\r\n", &*configuration(5));
    let taken = operate(record, &controls, put, 40_000);
    thread::sleep(Duration::from_secs(5));
    clients.stop.store(true, Ordering::Relaxed);
    let running = fleet.machines.iter_mut().all(|machine| machine.children.iter_mut().all(|(_, child)| matches!(child.try_wait(), Ok(None))));
    let tries = clients.tries.lock().unwrap();
    let served = tries.iter().filter(|one| one.status == 200 && one.whole).count();
    record.tell(&format!(
        "all processes run: {running}; the first configuration was taken: {}; {served} of {} requests were served",
        taken.is_some(), tries.len()
    ));
    Ok(taken.is_none() && served == 0)
}

/// LOST: edge machines are stopped in turn while replicas give answers without a length, which end with their connection.
fn unframed(record: &Arc<Record>, has_trouble: bool) -> io::Result<bool> {
    const GRACE_MS: u64 = 8_000;
    let answer = |_: &World, _: &Replica, head: &Head| Reply::Unframed(format!("card for {}", head.get("x-attempt-id")));
    let (mut fleet, world, _) = begin(record, Box::new(answer), 2)?;
    let clients = Clients::new();
    clients.resolve(fleet.core().iter().map(|index| fleet.machines[*index].directory()).collect(), PLAIN.0);
    // Past the time after a configuration that counts as planned work.
    thread::sleep(Duration::from_secs(6));
    clients.start(record, 30, 500, PLAIN);
    thread::sleep(Duration::from_secs(8));
    let mut stopped = vec![];
    if has_trouble {
        for index in fleet.edges().into_iter().take(2) {
            let machine = &fleet.machines[index];
            machine.signal("TERM");
            record.tell(&format!("SIGTERM to {}", machine.name));
            stopped.push((machine.front(), record.now()));
            thread::sleep(Duration::from_millis(1_300));
        }
    }
    thread::sleep(Duration::from_millis(GRACE_MS + 1_000));
    clients.stop.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_millis(700));
    let runs: HashMap<String, u64> = world.runs.lock().unwrap().iter().map(|run| (run.id.clone(), run.at)).collect();
    let tries = clients.tries.lock().unwrap().clone();
    let mut lost = 0;
    for one in &tries {
        let ran = runs.get(&one.id);
        record.say(&format!("try {one:?} ran at {ran:?}"));
        let planned = stopped.iter().any(|(front, at)| *front == one.front && one.sent >= *at && one.ended <= at + GRACE_MS + 1_000);
        lost += u32::from(planned && ran.is_some() && !one.whole);
    }
    let whole = tries.iter().filter(|one| one.whole).count();
    record.tell(&format!(
        "{} tries, {} of them ran, {whole} got a whole answer; around a SIGTERM {lost} were passed on, ran to their end, and got none",
        tries.len(), runs.len()
    ));
    for machine in &mut fleet.machines {
        machine.kill();
    }
    Ok(lost > 0)
}

/// Fault: before traffic starts, the proxy process of each edge machine in turn is killed once and started again after 0.1 s.
fn killed_proxy(record: &Arc<Record>, has_trouble: bool) -> io::Result<bool> {
    let number = |name: &str, default: u64| std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(default);
    let (delay_ms, traffic_s) = (number("DELAY_MS", 100), number("TRAFFIC_S", 40));
    let (mut fleet, world, _) = begin(record, Box::new(|_, _, _| Reply::Events(3)), 2)?;
    thread::sleep(Duration::from_secs(1));
    for index in fleet.edges() {
        if has_trouble {
            fleet.machines[index].kill_role("proxy");
            record.tell(&format!("the proxy of {} is killed", fleet.machines[index].name));
            thread::sleep(Duration::from_millis(delay_ms));
            fleet.run_roles(index, &["proxy"])?;
        }
        thread::sleep(Duration::from_millis(1_000));
    }
    thread::sleep(Duration::from_secs(2));
    record.tell("traffic starts");
    let clients = Clients::new();
    clients.resolve(fleet.core().iter().map(|index| fleet.machines[*index].directory()).collect(), CHAT.0);
    clients.start(record, 30, 500, CHAT);
    thread::sleep(Duration::from_secs(traffic_s));
    clients.stop.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_millis(500));
    for index in fleet.edges() {
        let machine = &mut fleet.machines[index];
        let runs = machine.children.iter_mut().all(|(_, child)| matches!(child.try_wait(), Ok(None)));
        let ready = call(machine.ready(), "GET", "/readiness", "", "", Duration::from_secs(1)).map_or(0, |answer| answer.0.status());
        record.tell(&format!("{}: its processes run: {runs}; readiness {ready}", machine.name));
    }
    let mut by_status: BTreeMap<u16, u32> = BTreeMap::new();
    for one in clients.tries.lock().unwrap().iter() {
        record.say(&format!("try {one:?}"));
        *by_status.entry(one.status).or_default() += 1;
    }
    let served = clients.tries.lock().unwrap().iter().filter(|one| one.status == 200 && one.whole).count();
    let runs = world.runs.lock().unwrap().len();
    record.tell(&format!("tries by status (0: none): {by_status:?}; {runs} runs at replicas; {served} served"));
    Ok(served == 0)
}
