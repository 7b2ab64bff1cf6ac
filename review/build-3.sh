#!/bin/sh
# Builds every stand-in that a script of the third review starts; no dependencies, no network.
set -eu
cd "$(dirname "$0")/standins-3"
cargo build --release --locked --offline
