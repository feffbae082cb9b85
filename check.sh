#!/bin/sh
# The whole test command: format, lints, documentation and its links, build of every program, tests. Tests that
# KNOWN-RED.txt lists run too; their failures are printed and passed over, all others count.
set -eu
cd "$(dirname "$0")"
# A run from nothing builds once: what speeds up a second build only doubles the disk that it takes.
export CARGO_INCREMENTAL=0
.ci/known-red-test
cargo fmt --all --check
cargo clippy --workspace --all-targets --locked -- -D warnings
RUSTDOCFLAGS="-D warnings" cargo doc --workspace --no-deps --locked
cargo build --workspace --bins --locked
known=KNOWN-RED.txt
[ -f "$known" ] || known=/dev/null
{ cargo test --workspace --locked --no-fail-fast 2>&1 && echo "cargo test ended with 0" || echo "cargo test ended with $?"; } |
  tee target/tests.log
awk -f .ci/known-red.awk "$known" target/tests.log
cargo run --package coordination --example embed --locked
