#!/usr/bin/env bash
# Runs all scenes under their policies, one at a time, and prints the table of docs/MEASURES.md.
#
# Options go on to the driver: `--policies ours,hot-cold`, `--earlier FOLDER` for the `jasmined` of
# an earlier commit beside this one's, `--reports`, `--slowest menu/arusha`, `--shares`. SCENES names
# some of the scenes. The binaries are copied first, so that a build meanwhile changes nothing.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root"
all="steady burst drain lost cold lag lies slow platform-down storm dinner"

cargo build --release --locked --quiet -p daemon -p standin
cargo build --release --locked --quiet -p rig --example measure
release=${CARGO_TARGET_DIR:-$root/target}/release
copy=$(mktemp -d "${TMPDIR:-/tmp}/jasmine-scenes.XXXXXX")
trap 'rm -rf "$copy"' EXIT
cp "$release"/{jasmined,standin-platform,standin-upstream,standin-link} "$copy"
mkdir "$copy/examples"
cp "$release/examples/measure" "$copy/examples"

files=()
for scene in ${SCENES:-$all}; do
    files+=("scenes/$scene.yaml")
done
"$copy/examples/measure" "$@" "${files[@]}"
