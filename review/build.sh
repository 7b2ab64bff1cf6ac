#!/bin/sh
# Builds the stand-ins of all cases; they use the standard library only.
cd "$(dirname "$0")/standin" && exec cargo build --release --locked --offline
