#!/usr/bin/env bash
# Builds the stand-ins that the scripts in this folder start. They use the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
exec rustc --edition 2024 -O -o target/review/standin review/main.rs
