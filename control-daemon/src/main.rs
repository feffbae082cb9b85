//! The control daemon: control state on disk, key owners, singleton roles, the rollout loop.

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
            "Keeps landingslip's control state and runs its duties",
        ),
        &required,
    );
    if let Err(report) = control_daemon::run(params, PlatformAdapter::default()).await {
        eprintln!("{report:?}");
        std::process::exit(EXIT_FAILED);
    }
}
