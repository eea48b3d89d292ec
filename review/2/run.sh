#!/bin/bash
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
case_program=target/review/review-case
if [ ! -x "$case_program" ] || [ ! -x target/release/jasmine-entry ]; then
    echo "build with the command of deploy/system.toml and review/build.sh first"
    exit 2
fi
exec "$case_program" stop-pipelined review/2/record.txt
