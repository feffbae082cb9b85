//! Checks that the keys and flags of settings, which operators use, keep their spelling.

use coordination::policy::Mechanism;
use daemon_parts::params::{Params, command, without_flag};
use serde_json::{Value, json};

/// Returns the error for an unknown key in a settings file, which lists all known keys.
fn known_keys(document: Value) -> String {
    serde_json::from_value::<Params>(document)
        .unwrap_err()
        .to_string()
}

fn flags() -> String {
    let command = command("daemon", "").arg(without_flag());
    let flags: Vec<&str> = command
        .get_arguments()
        .filter_map(|flag| flag.get_long())
        .collect();
    flags.join(" ")
}

#[test]
fn keys_and_flags_keep_their_spelling() {
    let mechanisms: Vec<&str> = Mechanism::ALL
        .iter()
        .map(|mechanism| mechanism.name())
        .collect();
    let lines = [
        known_keys(json!({ "": 0 })),
        known_keys(json!({ "bounds": { "": 0 } })),
        known_keys(json!({ "policy": { "": 0 } })),
        known_keys(json!({ "policy": { "without": [""] } })),
        mechanisms.join(" "),
        flags(),
    ];
    insta::assert_snapshot!(lines.join("\n"));
}
