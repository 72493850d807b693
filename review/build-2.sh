#!/bin/sh
# Builds the stand-ins of the second review's cases, without a network, behind the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
