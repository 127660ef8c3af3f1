#!/usr/bin/env bash
# Builds the stand-ins of the script cases; they need only the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -D warnings -o target/review/standins review/common/main.rs
