//! The cases.

use super::*;

/// Runs a case; says whether its rule was broken.
pub fn run(case: &str, folder: &str, has_trouble: bool) -> io::Result<bool> {
    let record = Arc::new(Record::new(folder)?);
    match case {
        "stale-order" => stale_order(&record, has_trouble),
        "returned-order" => returned_order(&record, has_trouble),
        "founding" => founding(&record, has_trouble),
        _ => Err(io::Error::other("there is no such case")),
    }
}

/// Starts a fleet with 18 replicas and its first configuration, and waits until it serves.
fn begin(
    record: &Arc<Record>,
    answer: Box<Answer>,
    edges: usize,
) -> io::Result<(Fleet, Arc<World>, Vec<SocketAddr>)> {
    let mut fleet = Fleet::prepare(edges)?;
    let world = World::new(record, answer);
    world.serve_list(fleet.list())?;
    world.start(&fleet, 0, &[8, 6, 4], "v1", 0)?;
    fleet.run_all()?;
    let controls: Vec<SocketAddr> = fleet
        .core()
        .iter()
        .map(|index| fleet.machines[*index].control())
        .collect();
    let put = (
        "PUT",
        "/configuration",
        "If-Match: 0\r\n",
        &*configuration(5),
    );
    operate(record, &controls, put, 15_000)
        .ok_or(io::Error::other("the first configuration was not taken"))?;
    let until = record.now() + 15_000;
    for index in fleet.edges() {
        while !call(
            fleet.machines[index].ready(),
            "GET",
            "/readiness",
            "",
            "",
            Duration::from_secs(1),
        )
        .is_ok_and(|answer| answer.0.status() == 200)
        {
            if record.now() > until {
                return Err(io::Error::other("an edge does not get ready"));
            }
            thread::sleep(Duration::from_millis(100));
        }
    }
    record.tell("all edges are ready");
    Ok((fleet, world, controls))
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
        record.tell(&format!(
            "{} is added, with an empty disk",
            fleet.machines[added].name
        ));
        cores = vec![1, 2, added];
    }
    let controls: Vec<SocketAddr> = cores
        .iter()
        .map(|index| fleet.machines[*index].control())
        .collect();
    let directories = cores
        .iter()
        .map(|index| fleet.machines[*index].directory())
        .collect();
    let clients = Clients::new();
    clients.resolve(directories, CHAT.0);
    clients.start(record, 30, 500, CHAT);
    let put = (
        "PUT",
        "/configuration",
        "If-Match: 0\r\n",
        &*configuration(5),
    );
    let taken = operate(record, &controls, put, 40_000);
    thread::sleep(Duration::from_secs(5));
    clients.stop.store(true, Ordering::Relaxed);
    let running = fleet.machines.iter_mut().all(|machine| {
        machine
            .children
            .iter_mut()
            .all(|(_, child)| matches!(child.try_wait(), Ok(None)))
    });
    write_all(record, &clients, &world);
    let tries = clients.tries.lock().unwrap();
    let served = tries
        .iter()
        .filter(|one| one.status == 200 && one.whole)
        .count();
    record.tell(&format!(
        "all processes run: {running}; the first configuration was taken: {}; {served} of {} requests were served",
        taken.is_some(), tries.len()
    ));
    Ok(taken.is_none() && served == 0)
}

/// The name of the daemon that a status document gives as the owner of a key.
fn owner_of(text: &str, key: &str) -> Option<String> {
    let after = text.split_once(&format!("\"key\":\"{key}\""))?.1;
    let owner = after.split_once("\"owner\":\"")?.1;
    Some(owner.split('"').next()?.to_string())
}

/// EVAC: an order to take an evacuation back gets no clear answer, as the daemon that took it is killed; it waits in the sockets
/// of the frozen owner of its key. The operator evacuates the zone again, which is acknowledged; then the owner wakes.
fn stale_order(record: &Arc<Record>, has_trouble: bool) -> io::Result<bool> {
    const FREEZE_MS: u64 = 4_000;
    const EVACUATION_MS: u64 = 5_000;
    const ZONE: usize = 0;
    let rounds: u64 = std::env::var("ROUNDS")
        .ok()
        .and_then(|v| v.parse().ok())
        .unwrap_or(8);
    let (mut fleet, world, controls) = begin(record, Box::new(|_, _, _| Reply::Events(3)), 2)?;
    let clients = Clients::new();
    clients.resolve(
        fleet
            .core()
            .iter()
            .map(|index| fleet.machines[*index].directory())
            .collect(),
        CHAT.0,
    );
    clients.start(record, 45, 300, CHAT);
    thread::sleep(Duration::from_secs(3));
    let path = format!("/evacuation/{}", ZONES[ZONE].0);
    let key = format!("zone/{}", ZONES[ZONE].0);
    let evacuate = |what: &str| {
        operate(record, &controls, (what, &path, "", ""), 10_000)
            .ok_or(io::Error::other("an evacuation was not taken"))
    };
    evacuate("POST")?;
    // Which daemon has the key, and which one has it while that is frozen.
    let owner = |fleet: &Fleet, asked: usize| -> io::Result<usize> {
        let (_, status) = call(
            fleet.machines[asked].control(),
            "GET",
            "/v1/status",
            "",
            "",
            Duration::from_secs(1),
        )?;
        let name = owner_of(&status, &key).unwrap_or_default();
        fleet
            .core()
            .into_iter()
            .find(|index| fleet.machines[*index].name == name)
            .ok_or(io::Error::other("the key has no owner"))
    };
    thread::sleep(Duration::from_millis(500));
    let first = owner(&fleet, 0)?;
    let asked = (first + 1) % 3;
    let mut second = asked;
    if has_trouble {
        fleet.machines[first].signal("STOP");
        thread::sleep(Duration::from_millis(1_700));
        let found = owner(&fleet, asked);
        fleet.machines[first].signal("CONT");
        second = found?;
    }
    let third = fleet
        .core()
        .into_iter()
        .find(|index| *index != first && *index != second)
        .unwrap_or(0);
    let name = |index: usize| ["zurich", "geneva", "lugano"][index];
    record.tell(&format!(
        "the key of {} is with {}, and with {} while that is frozen",
        ZONES[ZONE].0,
        name(first),
        name(second)
    ));
    thread::sleep(Duration::from_millis(2_500));
    for round in 0..rounds {
        let begun = record.now();
        if has_trouble {
            fleet.machines[first].signal("STOP");
            record.tell(&format!("{} freezes", name(first)));
            thread::sleep(Duration::from_millis(300 + 37 * round));
        }
        let take_back = {
            let (address, path) = (fleet.machines[third].control(), path.clone());
            thread::spawn(move || call(address, "DELETE", &path, "", "", Duration::from_secs(1)))
        };
        if has_trouble {
            thread::sleep(Duration::from_millis(100));
            fleet.machines[third].kill();
            record.tell(&format!("{} is killed", name(third)));
        }
        let answer = take_back.join().unwrap().map(|(head, _)| head.status());
        record.tell(&format!("operator DELETE {path}: {answer:?}"));
        if has_trouble {
            thread::sleep(Duration::from_millis(400));
            fleet.run(third)?;
        }
        let (acknowledged, _) = evacuate("POST")?;
        record.tell(&format!("operator POST {path}: acknowledged"));
        thread::sleep(Duration::from_millis(
            (begun + FREEZE_MS).saturating_sub(record.now()),
        ));
        let mut in_touch_from = record.now();
        if has_trouble {
            fleet.machines[first].signal("CONT");
            in_touch_from = record.now() + CONTACT_MS;
            record.tell(&format!("{} wakes", name(first)));
        }
        let from = in_touch_from.max(acknowledged + EVACUATION_MS);
        thread::sleep(Duration::from_millis(
            (from + 1_500).saturating_sub(record.now()),
        ));
        let sent: HashMap<String, u64> = clients
            .tries
            .lock()
            .unwrap()
            .iter()
            .map(|one| (one.id.clone(), one.sent))
            .collect();
        let in_zone: Vec<String> = world
            .replicas
            .lock()
            .unwrap()
            .iter()
            .filter(|replica| replica.zone == ZONE)
            .map(|replica| replica.id.clone())
            .collect();
        let is_late = |run: &&Run| {
            run.at >= from
                && in_zone.contains(&run.replica)
                && sent.get(&run.id).is_some_and(|at| *at >= from)
        };
        let late: Vec<Run> = world
            .runs
            .lock()
            .unwrap()
            .iter()
            .filter(is_late)
            .cloned()
            .collect();
        record.tell(&format!(
            "round {round}: {} requests ran in {}, sent by machines in touch more than {EVACUATION_MS} ms after its evacuation was acknowledged",
            late.len(), ZONES[ZONE].0
        ));
        if !late.is_empty() {
            clients.stop.store(true, Ordering::Relaxed);
            write_all(record, &clients, &world);
            return Ok(true);
        }
    }
    clients.stop.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_millis(300));
    write_all(record, &clients, &world);
    Ok(false)
}

/// EVAC: an order to take an evacuation back reaches the disk of one control daemon alone, as the others are killed, and gets no
/// clear answer. The others evacuate the zone again, which is acknowledged; then the one comes back with its disk.
fn returned_order(record: &Arc<Record>, has_trouble: bool) -> io::Result<bool> {
    const EVACUATION_MS: u64 = 5_000;
    const DOWN_MS: u64 = 3_500;
    const ZONE: usize = 0;
    let rounds: u64 = std::env::var("ROUNDS")
        .ok()
        .and_then(|v| v.parse().ok())
        .unwrap_or(7);
    let (mut fleet, world, controls) = begin(record, Box::new(|_, _, _| Reply::Events(3)), 2)?;
    let clients = Clients::new();
    clients.resolve(
        fleet
            .core()
            .iter()
            .map(|index| fleet.machines[*index].directory())
            .collect(),
        CHAT.0,
    );
    clients.start(record, 45, 300, CHAT);
    thread::sleep(Duration::from_secs(3));
    let path = format!("/evacuation/{}", ZONES[ZONE].0);
    let evacuate = |what: &str| {
        operate(record, &controls, (what, &path, "", ""), 10_000)
            .ok_or(io::Error::other("an evacuation was not taken"))
    };
    evacuate("POST")?;
    for round in 0..rounds {
        thread::sleep(Duration::from_millis(1_000));
        // The order goes to the daemon that has the zone's key.
        let (_, status) = call(
            controls[0],
            "GET",
            "/v1/status",
            "",
            "",
            Duration::from_secs(1),
        )?;
        let name = owner_of(&status, &format!("zone/{}", ZONES[ZONE].0)).unwrap_or_default();
        let owner = fleet
            .core()
            .into_iter()
            .find(|index| fleet.machines[*index].name == name)
            .ok_or(io::Error::other("the key has no owner"))?;
        let others: Vec<usize> = fleet
            .core()
            .into_iter()
            .filter(|index| *index != owner)
            .collect();
        if has_trouble {
            for index in &others {
                fleet.machines[*index].kill();
            }
            record.tell("two control processes are killed");
        }
        let take_back = {
            let (address, path) = (fleet.machines[owner].control(), path.clone());
            thread::spawn(move || call(address, "DELETE", &path, "", "", Duration::from_secs(1)))
        };
        thread::sleep(Duration::from_millis(400));
        let killed_at = record.now();
        if has_trouble {
            fleet.machines[owner].kill();
            record.tell(&format!("the third, {name}, is killed too"));
            for index in &others {
                fleet.run(*index)?;
            }
            record.tell("the first two are started again");
        }
        let answer = take_back.join().unwrap().map(|(head, _)| head.status());
        record.tell(&format!("operator DELETE {path}: {answer:?}"));
        let (acknowledged, _) = evacuate("POST")?;
        record.tell(&format!("operator POST {path}: acknowledged"));
        let mut in_touch_from = record.now();
        if has_trouble {
            thread::sleep(Duration::from_millis(
                (killed_at + DOWN_MS)
                    .max(acknowledged + 200)
                    .saturating_sub(record.now()),
            ));
            fleet.run(owner)?;
            in_touch_from = record.now() + CONTACT_MS;
            record.tell(&format!("{name} is started again, with its disk"));
        }
        let from = in_touch_from.max(acknowledged + EVACUATION_MS) + 300;
        thread::sleep(Duration::from_millis(
            (from + 2_000).saturating_sub(record.now()),
        ));
        let sent: HashMap<String, u64> = clients
            .tries
            .lock()
            .unwrap()
            .iter()
            .map(|one| (one.id.clone(), one.sent))
            .collect();
        let in_zone: Vec<String> = world
            .replicas
            .lock()
            .unwrap()
            .iter()
            .filter(|replica| replica.zone == ZONE)
            .map(|replica| replica.id.clone())
            .collect();
        let is_late = |run: &&Run| {
            run.at >= from
                && in_zone.contains(&run.replica)
                && sent.get(&run.id).is_some_and(|at| *at >= from)
        };
        let late: Vec<Run> = world
            .runs
            .lock()
            .unwrap()
            .iter()
            .filter(is_late)
            .cloned()
            .collect();
        record.tell(&format!(
            "round {round}: {} requests ran in {}, sent by machines in touch more than {EVACUATION_MS} ms after its evacuation was acknowledged",
            late.len(), ZONES[ZONE].0
        ));
        if !late.is_empty() {
            clients.stop.store(true, Ordering::Relaxed);
            write_all(record, &clients, &world);
            return Ok(true);
        }
    }
    clients.stop.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_millis(300));
    write_all(record, &clients, &world);
    Ok(false)
}
