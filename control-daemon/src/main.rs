//! The control daemon: stores control state on disk, owns keys, and runs singleton roles and the rollout loop.

use control_daemon::platform_adapter::PlatformAdapter;
use daemon_parts::params::{self, EXIT_FAILED};

#[actix_web::main]
async fn main() {
    let required = [
        "name", "zone", "listen", "http", "seeds", "members", "data", "platform",
    ];
    let params = params::read_or_exit(
        params::command(
            "control-daemon",
            "Stores landingslip's control state and runs its singleton roles and rollouts",
        ),
        &required,
    );
    if let Err(report) = control_daemon::run(params, PlatformAdapter::default()).await {
        eprintln!("{report:?}");
        std::process::exit(EXIT_FAILED);
    }
}
