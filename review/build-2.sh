#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start; needs no network and no other crate.
cd "$(dirname "$0")/.." || exit 2
exec cargo build --release --locked --offline --manifest-path review/standins-2/Cargo.toml
