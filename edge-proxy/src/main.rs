//! The edge proxy: answers callers where to go, and passes their requests to replicas.

use daemon_parts::params::{self, EXIT_FAILED};

#[actix_web::main]
async fn main() {
    let needs = ["name", "zone", "listen", "http", "agent"];
    let p = params::read_or_exit(
        params::command("edge-proxy", "Takes callers' requests to replicas")
            .arg(params::without_flag()),
        &needs,
    );
    if let Err(e) = edge_proxy::run(p, None, coordination::state_table::parse_own_spec).await {
        eprintln!("{e:?}");
        std::process::exit(EXIT_FAILED);
    }
}
