#!/bin/sh
# Builds what the scripts in review/6 to review/10 start beside the program of the deploy file: the stand-ins of the
# store, the replicas and the requesters. They use the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -D warnings -o target/review-2/cases review/standins-2/main.rs
