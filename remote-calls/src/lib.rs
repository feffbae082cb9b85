//! Every remote call of landingslip: types and paths are built from `schema/calls.openapi.json`,
//! and the operator's spec is read and checked here.

mod fault;
pub mod spec_check;

pub use types::*;

#[allow(clippy::all, missing_docs)]
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

/// A path with its one `{parameter}` filled in.
pub fn fill(c: Call, v: &str) -> String {
    let Some((a, rest)) = c.1.split_once('{') else {
        return c.1.to_string();
    };
    let Some((_, b)) = rest.split_once('}') else {
        return c.1.to_string();
    };
    format!("{a}{v}{b}")
}
