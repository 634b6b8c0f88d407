#!/bin/sh
# Builds the stand-ins of the cases 11 to 15; needs no network and no library.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standin-3/Cargo.toml --target-dir target/review-3
