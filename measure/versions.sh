#!/usr/bin/env bash
# What versions cost, and how soon they are in force everywhere.
#
#   measure/versions.sh DAEMONS REGIONS DOMAINS RATE_PER_MINUTE [SECONDS]
#
# Each version revises a target. Afterwards times a few accepts from the request until every daemon
# has the version in force, first with the platform as it is, then with each of its calls slowed
# by a second. RATE 0 gives the cost of none, to subtract.
. "$(dirname "$0")/lib.sh"

DAEMONS=$1
REGIONS=$2
DOMAINS=$3
RATE=$4
SECONDS_EACH=${5:-30}
LATENCY=200

revise() { # FLAGS...
    LATENCY=$((LATENCY + 1))
    ctl $((LATENCY % DAEMONS)) target set menu --latency-ms "$LATENCY" "$@" >"$DIR/revise.log" 2>&1 ||
        cat "$DIR/revise.log" >&2
}

# Milliseconds from the request until no daemon's metrics show an older version.
time_revision() {
    local i want begun
    want=$(($(version_of 0) + 1))
    begun=$(date +%s%3N)
    revise &
    for ((i = 0; i < DAEMONS; i++)); do
        until [ "$(version_of "$i")" -ge "$want" ]; do sleep 0.02; done
    done
    echo $(($(date +%s%3N) - begun))
    wait $!
    LATENCY=$((LATENCY + 1))
}

version_of() { metrics_of "$1" | awk '$1 == "jasmine_config_version" { print $2 }'; }

bring_up
sleep 6
sample >"$DIR/before"
for ((left = SECONDS_EACH * RATE / 60; left > 0; left--)); do
    revise
    sleep "$(awk "BEGIN { print 60 / $RATE }")"
done
[ "$RATE" -gt 0 ] || sleep "$SECONDS_EACH"
sample >"$DIR/after"
times=$(for _ in 1 2 3 4 5; do time_revision; done | paste -sd' ')
curl -s -X POST "http://$PLATFORM/fault" -H 'Content-Type: application/json' -d \
    "$(for part in table objects list; do echo "{\"$part\":{\"kind\":\"slow\",\"delay_ms\":1000,\"ratio\":1.0}}"; done | jq -sc add)" >"$DIR/fault.log"
sleep 3
slow=$(for _ in 1 2 3; do time_revision; done | paste -sd' ')
if [ -n "${HEADER:-}" ]; then
    echo "| daemons | versions a minute | $COMPARED | ms until in force everywhere | with the platform slow by 1 s a call |"
    echo "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
fi
echo "| $DAEMONS | $RATE | $(compare "$DIR/before" "$DIR/after") | $times | $slow |"
echo "load average: $(cut -d' ' -f1-3 /proc/loadavg)" >&2
