//! The edge agent: knows the fleet, follows the control daemons, feeds the proxy beside it.

use daemon_parts::params::{self, EXIT_FAILED};

#[actix_web::main]
async fn main() {
    let p = params::read_or_exit(
        params::command(
            "edge-agent",
            "Keeps the link to the control plane and feeds the proxy on its machine",
        ),
        &["name", "zone", "listen", "seeds"],
    );
    if let Err(e) = edge_agent::run(p).await {
        eprintln!("{e:?}");
        std::process::exit(EXIT_FAILED);
    }
}
