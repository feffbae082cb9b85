//! Soaks a whole fleet of real processes in faults and planned work. For development only.

use std::{path::PathBuf, process::ExitCode, time::Duration};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use daemon_parts::params::EXIT_PARAMS;
use fleet_tools::{
    fleet::program,
    soak::{
        checks::{Basis, check},
        report::{Report, totals},
        run::{Options, soak},
    },
};

/// Processes at least: three control daemons and three edges of two each. And at most, on one machine.
const PROCESSES: (u64, u64) = (9, 400);

fn command() -> Command {
    Command::new("soak")
        .about("Plays faults and planned work in series on a whole fleet of real processes, and checks what came of it")
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("N")
                .value_parser(value_parser!(u64))
                .default_value("1")
                .help("Draws everything"),
        )
        .arg(
            Arg::new("minutes")
                .long("minutes")
                .value_name("MINUTES")
                .value_parser(|s: &str| match s.parse::<f64>() {
                    Ok(m) if (0.3..=600.0).contains(&m) => Ok(m),
                    _ => Err("must be 0.3 to 600"),
                })
                .default_value("1")
                .help("How long faults are played; start and end come besides"),
        )
        .arg(
            Arg::new("processes")
                .long("processes")
                .value_name("N")
                .value_parser(value_parser!(u64).range(PROCESSES.0..=PROCESSES.1))
                .default_value("19")
                .help("Processes of the fleet"),
        )
        .arg(
            Arg::new("order-only")
                .long("order-only")
                .action(ArgAction::SetTrue)
                .help("Fails only on findings that rest on no wall clock"),
        )
        .arg(
            Arg::new("rolling-from")
                .long("rolling-from")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .conflicts_with("minutes")
                .help("Starts the fleet from this program, and in place of faults moves its machines one by one to the usual one and back"),
        )
        .arg(
            Arg::new("report")
                .long("report")
                .value_name("FOLDER")
                .value_parser(value_parser!(PathBuf))
                .help("Writes the report there: soak-SEED.md and soak-SEED.json"),
        )
}

fn options(m: &ArgMatches) -> Result<Options, String> {
    let program = program("landingslip").map_err(|e| e.to_string())?;
    if !program.exists() {
        return Err(format!("{} is not built", program.display()));
    }
    let rolling_from = m.get_one::<PathBuf>("rolling-from").cloned();
    if let Some(former) = rolling_from.as_ref().filter(|file| !file.is_file()) {
        return Err(format!("{} is no file", former.display()));
    }
    let minutes: f64 = m.get_one("minutes").copied().unwrap_or(1.0);
    Ok(Options {
        seed: m.get_one("seed").copied().unwrap_or(1),
        long: Duration::from_secs_f64(minutes * 60.0),
        processes: m
            .get_one::<u64>("processes")
            .copied()
            .unwrap_or(PROCESSES.0) as usize,
        program,
        rolling_from,
    })
}

#[actix_rt::main]
async fn main() -> ExitCode {
    let m = command().get_matches();
    let o = match options(&m) {
        Ok(o) => o,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(EXIT_PARAMS as u8);
        }
    };
    let (observed, logs) = match soak(&o).await {
        Ok(x) => x,
        Err(e) => {
            eprintln!("seed {}: {e}", o.seed);
            return ExitCode::FAILURE;
        }
    };
    let findings = check(&observed);
    let played = match &o.rolling_from {
        Some(former) => format!("--rolling-from {}", former.display()),
        None => format!("--minutes {}", o.long.as_secs_f64() / 60.0),
    };
    let again = format!(
        "soak --seed {} {played} --processes {}",
        o.seed, o.processes
    );
    let report = Report {
        observed: &observed,
        findings: &findings,
        again,
        logs: logs.display().to_string(),
    };
    println!(
        "{}",
        serde_json::to_string(&totals(&observed, findings.len())).unwrap_or_default()
    );
    println!("{}", report.page());
    if let Some(folder) = m.get_one::<PathBuf>("report") {
        let json = serde_json::to_vec(&report).unwrap_or_default();
        let written = std::fs::create_dir_all(folder)
            .and_then(|()| {
                std::fs::write(folder.join(format!("soak-{}.md", o.seed)), report.page())
            })
            .and_then(|()| std::fs::write(folder.join(format!("soak-{}.json", o.seed)), json));
        if let Err(e) = written {
            eprintln!("writing the report: {e}");
            return ExitCode::FAILURE;
        }
    }
    if findings.is_empty() {
        let _ = std::fs::remove_dir_all(&logs);
    }
    let counts = |b: Basis| b == Basis::Order || !m.get_flag("order-only");
    if findings.iter().any(|f| counts(f.basis)) {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    }
}
