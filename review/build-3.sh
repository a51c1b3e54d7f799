#!/bin/sh
# Builds the stand-ins of the cases 11 to 15, which need the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
rustc --edition 2024 -O -o target/review-3 review/standins-3/main.rs
