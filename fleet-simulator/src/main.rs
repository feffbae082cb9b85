//! Runs whole fleets in virtual time by seed, checks what was observed, and prints how to replay a failure.

use std::{
    collections::{BTreeMap, BTreeSet},
    process::exit,
    sync::{
        Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
};

use clap::{Arg, ArgAction, Command};
use coordination::{
    policy::{Mechanism, Policy},
    rendezvous::{combine_hashes, rendezvous_weight},
};
use fleet_simulator::{
    checkers::{self, Found},
    deployment::Deployment,
    effect_digest::EffectDigest,
    figures::Figures,
    history::History,
    schedule::{self, SCHEDULES, Schedule},
    shrink,
    world::Guard,
};

fn main() {
    let list: String = SCHEDULES
        .iter()
        .map(|schedule| format!("  {:18} {}\n", schedule.name, schedule.summary))
        .collect();
    let number = |n: &'static str, d: &'static str, h: &'static str| {
        Arg::new(n)
            .long(n)
            .default_value(d)
            .value_parser(clap::value_parser!(u64))
            .help(h)
    };
    let m = Command::new("fleet-simulator")
        .about("Runs whole fleets in virtual time")
        .after_help(format!("Schedules:\n{list}"))
        .arg(
            Arg::new("deployment")
                .long("deployment")
                .default_value("dentaplan")
                .help("dentaplan, registry, both by all, grown, or a .json file"),
        )
        .arg(Arg::new("schedule").long("schedule").default_value("all").help("a schedule's name, or all"))
        .arg(number("seed", "1", "First seed"))
        .arg(number("seeds", "1", "How many seeds"))
        .arg(number("scale", "1", "So many times the edges, replicas and callers"))
        .arg(Arg::new("trace").long("trace").action(ArgAction::SetTrue).help("Print the events of a run"))
        .arg(Arg::new("figures").long("figures").action(ArgAction::SetTrue).help("Print figures over all the seeds"))
        .arg(
            Arg::new("digests")
                .long("digests")
                .action(ArgAction::SetTrue)
                .help("Print a digest of all effects and one of what was observed, for each deployment and schedule"),
        )
        .arg(Arg::new("shrink").long("shrink").action(ArgAction::SetTrue).help("Shrink what fails to a smallest schedule"))
        .arg(
            Arg::new("faults")
                .long("faults")
                .value_name("JSON")
                .help("Run these faults instead of a schedule's: [[ms, fault], ...]"),
        )
        .arg(Arg::new("without").long("without").value_name("GUARD").help("Switch this guard off, as clocks or same_run"))
        .arg(
            Arg::new("leave-out")
                .long("leave-out")
                .value_name("MECHANISM")
                .value_parser(clap::value_parser!(Mechanism))
                .value_delimiter(',')
                .action(ArgAction::Append)
                .help("Leave these mechanisms of placement out, as doubt or agreed_order"),
        )
        .arg(Arg::new("history").long("history").value_name("FILE").help("Write what was observed in the last run, as JSON"))
        .get_matches();
    let text = |n: &str| m.get_one::<String>(n).cloned().unwrap_or_default();
    let num = |n: &str| m.get_one::<u64>(n).copied().unwrap_or(1);
    let bad = |e: String| -> ! {
        eprintln!("{e}");
        exit(2)
    };
    let deployments: Vec<Deployment> = match text("deployment").as_str() {
        "all" => ["dentaplan", "registry"]
            .iter()
            .filter_map(|n| Deployment::named(n))
            .collect(),
        n => match Deployment::named(n) {
            Some(d) => vec![d],
            None => bad(format!("no deployment {n}")),
        },
    };
    let scale = num("scale") as usize;
    if !(1..=16).contains(&scale) {
        bad(format!("scale {scale}: must be 1 to 16"));
    }
    let deployments: Vec<Deployment> = deployments.into_iter().map(|d| d.scaled(scale)).collect();
    let names: Vec<&str> = match text("schedule").as_str() {
        "all" => SCHEDULES.iter().map(|schedule| schedule.name).collect(),
        n => match SCHEDULES.iter().find(|schedule| schedule.name == n) {
            Some(schedule) => vec![schedule.name],
            None => bad(format!("no schedule {n}; --help lists them")),
        },
    };
    let given: Option<Schedule> = m.get_one::<String>("faults").map(|f| {
        let read = deployments
            .iter()
            .map(|d| schedule::read(f, d))
            .collect::<Result<Vec<_>, _>>();
        read.unwrap_or_else(|e| bad(e)).pop().unwrap_or_default()
    });
    if given.is_some() && names.len() > 1 {
        bad("--faults wants one --schedule, whose length it takes".into());
    }
    let seeds = num("seed")..num("seed") + num("seeds");
    let mut cases: Vec<Case> = vec![];
    for d in &deployments {
        for n in &names {
            cases.extend(seeds.clone().map(|s| (d, *n, s)));
        }
    }
    if cases.is_empty() {
        bad("no seeds, nothing to run".into());
    }
    let off: Option<Guard> = m.get_one::<String>("without").map(|g| {
        serde_json::from_value(g.as_str().into())
            .unwrap_or_else(|e| bad(format!("no guard {g}: {e}")))
    });
    let left_out = m
        .get_many::<Mechanism>("leave-out")
        .into_iter()
        .flatten()
        .copied();
    let looks = Looks {
        off,
        policy: Policy::without(left_out),
        trace: m.get_flag("trace"),
        figures: m.get_flag("figures"),
        digests: m.get_flag("digests"),
        shrink: m.get_flag("shrink"),
        history: m.get_one::<String>("history").cloned(),
        given,
    };
    // Runs share nothing, so they go over all cores; what each prints is kept whole and told in order.
    let next = AtomicUsize::new(0);
    let done: Mutex<BTreeMap<usize, Ran>> = Mutex::default();
    let cores = thread::available_parallelism().map_or(4, |n| n.get());
    thread::scope(|s| {
        for _ in 0..cores {
            s.spawn(|| {
                loop {
                    let i = next.fetch_add(1, Ordering::Relaxed);
                    let Some(c) = cases.get(i) else { return };
                    let r = one(c, &looks);
                    done.lock().unwrap_or_else(|e| e.into_inner()).insert(i, r);
                }
            });
        }
    });
    let done = done.into_inner().unwrap_or_else(|e| e.into_inner());
    let mut by: BTreeMap<String, usize> = BTreeMap::new();
    let mut tables: BTreeMap<String, Figures> = BTreeMap::new();
    for (i, (text, found, f, _)) in &done {
        print!("{text}");
        tables
            .entry(format!("{} {}", cases[*i].0.name, cases[*i].1))
            .or_default()
            .join(f.clone());
        let names: BTreeSet<&str> = found.iter().filter_map(|f| f.split(':').next()).collect();
        names
            .iter()
            .for_each(|n| *by.entry(n.to_string()).or_default() += 1);
    }
    let failed = done.values().filter(|d| !d.1.is_empty()).count();
    if looks.digests {
        digests(&cases, &done)
            .iter()
            .for_each(|line| println!("{line}"));
    }
    if looks.figures {
        tables
            .iter()
            .for_each(|(name, f)| println!("{name}\n{}", table(f)));
    }
    println!(
        "{} runs, {failed} failed {}",
        cases.len(),
        if by.is_empty() {
            String::new()
        } else {
            format!("{by:?}")
        }
    );
    exit(i32::from(failed > 0))
}

/// Deployment, schedule, seed.
type Case<'a> = (&'a Deployment, &'a str, u64);

/// What to print of a run, what was found, its figures, its digests.
type Ran = (String, Found, Figures, Digests);

/// What two builds are compared by: all effects of a run's daemons, and what callers, replicas and operators observed.
#[derive(Clone, Copy, Debug, Default)]
struct Digests {
    effects: u64,
    observed: u64,
}

/// A line for each deployment and schedule over all its seeds.
fn digests(cases: &[Case], done: &BTreeMap<usize, Ran>) -> Vec<String> {
    let mut by_schedule: BTreeMap<String, Digests> = BTreeMap::new();
    for (index, (.., run)) in done {
        let (deployment, schedule, _) = cases[*index];
        let sum = by_schedule
            .entry(format!("{} {schedule}", deployment.name))
            .or_default();
        sum.effects = combine_hashes(sum.effects, run.effects);
        sum.observed = combine_hashes(sum.observed, run.observed);
    }
    by_schedule
        .iter()
        .map(|(name, sum)| {
            format!(
                "{name} effects {:016x} observed {:016x}",
                sum.effects, sum.observed
            )
        })
        .collect()
}

/// What is to be shown of each run.
struct Looks {
    trace: bool,
    figures: bool,
    digests: bool,
    shrink: bool,
    given: Option<Schedule>,
    off: Option<Guard>,
    policy: Policy,
    history: Option<String>,
}

/// One run.
fn one((d, name, seed): &Case, l: &Looks) -> Ran {
    let d = &(*d).clone().under(name);
    let mut out = String::new();
    let Some(s) = l.given.clone().or_else(|| schedule::named(name, *seed, d)) else {
        return Default::default();
    };
    let c = shrink::Case {
        d,
        seed: *seed,
        length: schedule::length(name),
        off: l.off,
        policy: l.policy,
        with_effect_digest: l.digests,
    };
    let w = c.world(&s);
    let found = checkers::check(&w.h);
    if let Some(f) = &l.history
        && let Err(e) = std::fs::write(f, serde_json::to_vec(&w.h).unwrap_or_default())
    {
        out += &format!("{f}: {e}\n");
    }
    if l.trace {
        w.trace.iter().for_each(|l| out += &format!("{l}\n"));
        if let Some(r) = w.rollout() {
            out += &format!(
                "rollout {:?} stable {} target {:?} alerts {:?}\n",
                r.phase, r.stable, r.target, r.alerts
            );
        }
    }
    let replay = format!(
        "fleet-simulator --deployment {} --schedule {name} --seed {seed} --trace",
        d.name
    );
    if !found.is_empty() {
        out += &format!("FAILED {replay}\n");
        found
            .iter()
            .take(5)
            .for_each(|f| out += &format!("  {f}\n"));
    }
    if l.shrink
        && let Some(checker) = found.first().and_then(|f| f.split(':').next())
    {
        let least = c.shrink(&s, checker);
        let json = serde_json::to_string(&least).unwrap_or_default();
        out += &format!(
            "  {checker} fails still with {} of {} faults: {replay} --faults '{json}'\n",
            least.len(),
            s.len()
        );
    }
    let figures = if l.figures {
        Figures::from(&w.h)
    } else {
        Figures::default()
    };
    let digests = if l.digests {
        Digests {
            effects: w.effect_digest.as_ref().map_or(0, EffectDigest::value),
            observed: rendezvous_weight(&observed(&w.h), ""),
        }
    } else {
        Digests::default()
    };
    (out, found, figures, digests)
}

/// What was observed, but for the names by which messages are counted: those are names in the code.
fn observed(history: &History) -> String {
    let mut observed = serde_json::to_value(history).unwrap_or_default();
    if let Some(fields) = observed.as_object_mut() {
        fields.remove("messages");
    }
    observed.to_string()
}

fn table(f: &Figures) -> String {
    let row = |n: &String| match f.of(n) {
        Ok((mean, lo, hi, count)) => {
            format!("  {n:52} mean {mean:>9.1} least {lo:>9.1} most {hi:>9.1} of {count}\n")
        }
        Err(e) => format!("  {e}\n"),
    };
    f.names().map(row).collect()
}
