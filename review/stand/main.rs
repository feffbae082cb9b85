//! Stand-ins for a small deployment, with the standard library alone: a platform, replicas, clients, an operator, a relay
//! that resets connections, and the processes of the program `landingslip`. One function a case; its name is the first
//! argument. Exit code 1: the rule was broken; 0: it held; 2: the case could not run.

mod cases;
mod fleet;
mod http;
mod relay;
mod servers;

use std::{env, process::exit};

fn main() {
    let name = env::args().nth(1).unwrap_or_default();
    let folder = env::args().nth(2).unwrap_or_else(|| ".".into());
    // Without its trouble a case must pass.
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let result = std::panic::catch_unwind(|| cases::run(&name, &folder, trouble));
    exit(match result {
        Ok(Ok(true)) => 0,
        Ok(Ok(false)) => 1,
        Ok(Err(reason)) => {
            eprintln!("could not run: {reason}");
            2
        }
        Err(_) => 2,
    })
}
