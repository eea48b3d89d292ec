#!/bin/bash
# Builds the stand-ins of the scripts, with the toolchain alone. The entries are built by the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/review-case review/standins/main.rs
