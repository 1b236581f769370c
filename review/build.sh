#!/bin/sh
# Builds the stand-ins and drivers of the review's scripts, with the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standin review/standin/main.rs
