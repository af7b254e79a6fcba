#!/usr/bin/env bash
# Builds the stand-ins and the cases' programs, with the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
flags=(--edition 2024 -C opt-level=2)
rustc "${flags[@]}" --crate-type rlib --crate-name standins --out-dir "$out" review/standins/lib.rs
for source in review/[1-5]/case.rs; do
  number=$(basename "$(dirname "$source")")
  rustc "${flags[@]}" --crate-name "case$number" --extern "standins=$out/libstandins.rlib" \
    -o "$out/case$number" "$source"
done
