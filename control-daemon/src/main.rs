//! The control daemon: control state on disk, key owners, duties, the rollout loop.

use control_daemon::face::Face;
use daemon_parts::params::{self, EXIT_FAILED};

#[actix_web::main]
async fn main() {
    let needs = [
        "name", "zone", "listen", "http", "seeds", "members", "data", "platform",
    ];
    let p = params::read_or_exit(
        params::command(
            "control-daemon",
            "Keeps landingslip's control state and runs its duties",
        ),
        &needs,
    );
    if let Err(e) = control_daemon::run(p, Face::default()).await {
        eprintln!("{e:?}");
        std::process::exit(EXIT_FAILED);
    }
}
