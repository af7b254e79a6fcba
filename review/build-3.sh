#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts. They use the standard library alone, so that
# neither a package nor a network is needed.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/rig review/standins-3/main.rs
