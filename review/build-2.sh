#!/usr/bin/env bash
# Builds the program of the scripts of cases 6 to 10. It needs the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/review-2 review/6/standin/main.rs
