#!/bin/sh
# Builds the stand-ins of all cases. They use the standard library alone, so no network is needed.
set -eu
cd "$(dirname "$0")/standins"
exec cargo build --release --locked --offline
