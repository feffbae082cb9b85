#!/bin/sh
# The whole test command: format, lints, documentation and its links, build of every program, tests. Tests that
# KNOWN-RED.txt lists run too; their failures are printed and passed over, all others count.
set -eu
cd "$(dirname "$0")"
# A run from nothing builds once: what speeds up a second build only doubles the disk that it takes.
export CARGO_INCREMENTAL=0
.ci/known-red-test
cargo fmt --all --check
cargo clippy --workspace --lib --bins --locked -- -D warnings
# Tests may use preludes, messages by value, and one-letter names in closures of a line.
cargo clippy --workspace --all-targets --locked -- -D warnings -A clippy::wildcard_imports \
  -A clippy::needless_pass_by_value -A clippy::min_ident_chars \
  -A clippy::many_single_char_names -A clippy::too_many_lines
RUSTDOCFLAGS="-D warnings" cargo doc --workspace --no-deps --locked
cargo build --workspace --bins --locked
known=KNOWN-RED.txt
[ -f "$known" ] || known=/dev/null
{ cargo test --workspace --locked --no-fail-fast 2>&1 && echo "cargo test ended with 0" || echo "cargo test ended with $?"; } |
  tee target/tests.log
awk -f .ci/known-red.awk "$known" target/tests.log
cargo run --package coordination --example embed --locked
