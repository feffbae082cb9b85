//! The program of the edge proxy, without a platform's adapter.

use daemon_parts::params::{self, EXIT_FAILED};

#[actix_web::main]
async fn main() {
    let required = ["name", "zone", "listen", "http", "agent"];
    let params = params::read_or_exit(
        params::command("edge-proxy", "Takes callers' requests to replicas")
            .arg(params::without_flag()),
        &required,
    );
    if let Err(error) =
        edge_proxy::run(params, None, coordination::state_table::parse_native_spec).await
    {
        eprintln!("{error:?}");
        std::process::exit(EXIT_FAILED);
    }
}
