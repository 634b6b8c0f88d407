#!/bin/sh
# Builds the stand-ins of the cases; the libraries are those that the project's own build has fetched.
set -e
cd "$(dirname "$0")/.."
exec cargo build --release --locked --offline --manifest-path review/standin/Cargo.toml --target-dir target/review
