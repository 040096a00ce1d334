#!/bin/sh
# Builds the program of the scripts of cases 11 to 14. It needs the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/review-3 review/11/standin/main.rs
