//! The shipped runbooks against a fleet of real processes. Bounds are on trouble only.

use std::{path::PathBuf, process::Command, time::Duration};

use fleet_tools::{deployment::Deployment, fleet::Fleet};
use googletest::prelude::*;

const LONG: Duration = Duration::from_secs(240);

/// Runs a runbook to its end and gives its exit code and what it printed.
async fn run(f: &Fleet, name: &str, set: &[&str]) -> (Option<i32>, String) {
    let dir = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../runbook-runner/runbooks");
    let exe = std::env::current_exe().unwrap();
    let exe = exe.parent().unwrap().join("../runbook-runner");
    let mut c = Command::new(exe);
    c.arg(dir.join(format!("{name}.json")));
    f.control().iter().for_each(|p| {
        c.args(["--control", &p.http]);
    });
    set.iter().for_each(|s| {
        c.args(["--set", s]);
    });
    // Off this thread: the relays between the processes run on it.
    let out = actix_web::web::block(move || c.output())
        .await
        .unwrap()
        .unwrap();
    (
        out.status.code(),
        String::from_utf8_lossy(&out.stdout).into_owned(),
    )
}

#[gtest]
fn shipped_runbooks_run_to_their_end() {
    actix_rt::System::new().block_on(runbooks());
}

async fn runbooks() {
    let d = Deployment::named("dentaplan").unwrap();
    let folder = std::env::temp_dir().join(format!("landingslip-runbooks-{}", std::process::id()));
    let mut f = Fleet::start(d, &folder, "error").unwrap();
    f.until("control settles", LONG, async |f| f.settled().await)
        .await
        .unwrap();
    f.configure(LONG).await.unwrap();
    f.until("every proxy serves", LONG, async |f| f.serves().await)
        .await
        .unwrap();
    let mut ended = vec![];
    let mut note = |name: &str, (code, text): (Option<i32>, String)| {
        if code != Some(0) {
            ended.push(format!("{name}: {code:?}\n{text}"));
        }
    };
    note(
        "evacuate-zone",
        run(&f, "evacuate-zone", &["zone=bern"]).await,
    );
    note("lost-region", run(&f, "lost-region", &["zone=bern"]).await);
    note(
        "restore-zone",
        run(&f, "restore-zone", &["zone=bern"]).await,
    );
    f.replace_edge(1, 7).unwrap();
    note(
        "replace-edge",
        run(&f, "replace-edge", &["edge=edge-7"]).await,
    );
    note("full-disk", run(&f, "full-disk", &[]).await);
    note("member-cut-off", run(&f, "member-cut-off", &[]).await);
    note("second-loss", run(&f, "second-loss", &[]).await);
    note("member-behind", run(&f, "member-behind", &[]).await);
    let names: Vec<String> = f
        .processes
        .keys()
        .filter(|n| *n != "platform")
        .cloned()
        .collect();
    names
        .iter()
        .filter_map(|n| f.processes.get_mut(n).map(|p| p.kill()))
        .for_each(drop);
    names.iter().for_each(|n| f.restart(n).unwrap());
    note("total-loss", run(&f, "total-loss", &[]).await);
    note(
        "revert",
        run(&f, "revert", &["service=assistant", "version=v1"]).await,
    );
    expect_that!(ended, is_empty());
    drop(f);
    let _ = std::fs::remove_dir_all(&folder);
}
