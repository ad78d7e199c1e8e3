#!/usr/bin/env bash
# Builds the stand-ins and cases of review/6 to 10; they need the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/lib-2/Cargo.toml --target-dir target/review-2
