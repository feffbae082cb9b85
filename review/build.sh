#!/bin/sh
# Builds what the cases' scripts start beside the program itself: the stand-ins, with the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O review/stand/main.rs -o target/review/stand
