//! The `edge-agent` program: reads its settings and runs the agent.

use daemon_parts::params::{self, EXIT_FAILED};

#[actix_web::main]
async fn main() {
    let command = params::command(
        "edge-agent",
        "Connects the proxy on its machine to the control plane",
    );
    let params = params::read_or_exit(command, &["name", "zone", "listen", "seeds"]);
    if let Err(fault) = edge_agent::run(params).await {
        eprintln!("{fault:?}");
        std::process::exit(EXIT_FAILED);
    }
}
