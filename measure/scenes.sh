#!/usr/bin/env bash
# Runs all scenes with each of their policies, one at a time, and prints the table that
# docs/MEASURES.md contains.
#
# Options are passed to the driver: `--policies ours,hot-cold`, `--earlier FOLDER` to compare with
# the `jasmined` of an earlier commit, `--reports`, `--slowest menu/arusha`, `--shares`. SCENES
# selects scenes by name. The binaries are copied first, so that a concurrent build doesn't affect
# the runs.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root"
default_scenes="steady burst drain lost cold lag lies slow platform-down storm dinner"

cargo build --release --locked --quiet -p daemon -p standin
cargo build --release --locked --quiet -p rig --example measure
release=${CARGO_TARGET_DIR:-$root/target}/release
bin_copy=$(mktemp -d "${TMPDIR:-/tmp}/jasmine-scenes.XXXXXX")
trap 'rm -rf "$bin_copy"' EXIT
cp "$release"/{jasmined,standin-platform,standin-upstream,standin-link} "$bin_copy"
mkdir "$bin_copy/examples"
cp "$release/examples/measure" "$bin_copy/examples"

files=()
for scene in ${SCENES:-$default_scenes}; do
    files+=("scenes/$scene.yaml")
done
"$bin_copy/examples/measure" "$@" "${files[@]}"
