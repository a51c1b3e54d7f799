#!/bin/sh
# Builds the stand-ins of the review's scripts. They use the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -C opt-level=2 -o target/review/standins review/standins/main.rs
