#!/bin/sh
# Builds every program that the scripts of review/4 and later start beside the daemon. Needs no network: the stand-ins use
# the standard library alone. The daemon is built by the deploy file's build line.
set -e
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review-2 cargo build --release --locked --offline --manifest-path review/standin-2/Cargo.toml
