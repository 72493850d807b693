#!/bin/sh
# Builds the stand-ins and checks of the cases review/11 to review/15.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standins-3/Cargo.toml
