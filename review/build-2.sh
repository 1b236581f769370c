#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/release
rustc --edition 2024 -O -o target/release/review-2 review/standin-2/main.rs
