#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. Run it in the repository after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/stand_ins review/stand_ins.rs
