//! A short soak of real processes. Its verdict rests on what happened, not on how long it took.

use std::time::Duration;

use fleet_tools::{
    fleet::program,
    soak::{
        checks::{Basis, check},
        run::{Options, soak},
    },
};

#[actix_rt::test]
async fn a_short_soak_finds_nothing() {
    let program = program("landingslip").expect("a folder of programs");
    assert!(
        program.exists(),
        "{} is not built: cargo build --workspace --bins",
        program.display()
    );
    // What this seed plays is told by `soak_plan.rs`.
    let o = Options {
        seed: 55,
        long: Duration::from_secs(40),
        processes: 15,
        program,
        rolling_from: None,
    };
    let (observed, logs) = soak(&o).await.expect("a soak");
    let findings = check(&observed);
    findings
        .iter()
        .for_each(|f| println!("{} ({:?}): {}", f.check, f.basis, f.text));
    let order = findings.iter().filter(|f| f.basis == Basis::Order).count();
    assert_eq!(
        order,
        0,
        "seed {}; logs of all processes: {}",
        o.seed,
        logs.display()
    );
    assert!(
        observed.tried.len() > 100 && !observed.events.is_empty(),
        "nothing was soaked"
    );
    assert_eq!(observed.releases.len(), 2, "releases that were played");
    let _ = std::fs::remove_dir_all(logs);
}
