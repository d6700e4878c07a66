#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8: the platform's store, minions and clients in one program.
# It uses the standard library alone.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target/review-2"
rustc -O --edition 2021 -o "$root/target/review-2/world" "$root/review/standin-2/main.rs"
