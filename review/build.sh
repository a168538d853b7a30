#!/bin/bash
# Builds the stand-ins that the cases start. The project itself is built by the `build` line of deploy/service.toml.
set -e
cd "$(dirname "$0")/harness"
cargo build --release --offline --locked
