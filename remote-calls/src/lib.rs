//! The product's JSON interface: types and paths are built from `schema/calls.openapi.json` by `build.rs`, and the
//! operator's spec is checked in [`spec_check`].
//!
//! The daemons serve these calls, `operator-command` and `runbook-runner` make them, and replicas and platforms that speak
//! the product's own interface answer them. `tests/schema.rs` holds every path, type and property to its spelling.

#![deny(missing_docs)]

mod access_key;
mod fault;
pub mod spec_check;

pub use access_key::AccessKey;
pub use types::*;

#[allow(
    clippy::all,
    clippy::min_ident_chars,
    clippy::missing_errors_doc,
    missing_docs,
    reason = "generated from the schema, whose descriptions are the documentation"
)]
mod types {
    include!(concat!(env!("OUT_DIR"), "/types.rs"));
}

/// A call: method and path.
pub type Call = (&'static str, &'static str);

/// Method and path of each call, by operation id.
pub mod calls {
    use super::Call;
    include!(concat!(env!("OUT_DIR"), "/paths.rs"));
}

/// The path of a call with its one `{parameter}` replaced by a value; a path without one as it is.
pub fn fill(call: Call, value: &str) -> String {
    let (_, path) = call;
    let Some((before, rest)) = path.split_once('{') else {
        return path.to_string();
    };
    let Some((_, after)) = rest.split_once('}') else {
        return path.to_string();
    };
    format!("{before}{value}{after}")
}
