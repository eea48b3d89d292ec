#!/usr/bin/env bash
# Cost of configuration versions, and the time until they are in force at every daemon.
#
#   measure/versions.sh DAEMONS REGIONS DOMAINS RATE_PER_MINUTE [SECONDS]
#
# Each version changes a latency target. Afterwards a few accepts are timed, from the request until
# the version is in force at every daemon, first with the platform at normal speed, then with each of
# its calls delayed by 1 s. A rate of 0 gives the baseline to subtract.
. "$(dirname "$0")/lib.sh"

DAEMONS=$1
REGIONS=$2
DOMAINS=$3
RATE=$4
SECONDS_EACH=${5:-30}
LATENCY=200

change_target() { # FLAGS...
    LATENCY=$((LATENCY + 1))
    ctl $((LATENCY % DAEMONS)) target set menu --latency-ms "$LATENCY" "$@" >"$DIR/change_target.log" 2>&1 ||
        cat "$DIR/change_target.log" >&2
}

# Prints the milliseconds from the request until no daemon's metrics show an older version.
time_change() {
    local i wanted_version start_ms
    wanted_version=$(($(version_of 0) + 1))
    start_ms=$(date +%s%3N)
    change_target &
    for ((i = 0; i < DAEMONS; i++)); do
        until [ "$(version_of "$i")" -ge "$wanted_version" ]; do sleep 0.02; done
    done
    echo $(($(date +%s%3N) - start_ms))
    wait $!
    LATENCY=$((LATENCY + 1))
}

version_of() { metrics_of "$1" | awk '$1 == "jasmine_config_version" { print $2 }'; }

bring_up
sleep 6
sample >"$DIR/before"
for ((left = SECONDS_EACH * RATE / 60; left > 0; left--)); do
    change_target
    sleep "$(awk "BEGIN { print 60 / $RATE }")"
done
[ "$RATE" -gt 0 ] || sleep "$SECONDS_EACH"
sample >"$DIR/after"
times=$(for _ in 1 2 3 4 5; do time_change; done | paste -sd' ')
curl -s -X POST "http://$PLATFORM/fault" -H 'Content-Type: application/json' -d \
    "$(for part in table objects list; do echo "{\"$part\":{\"kind\":\"slow\",\"delay_ms\":1000,\"ratio\":1.0}}"; done | jq -sc add)" >"$DIR/fault.log"
sleep 3
slow_times=$(for _ in 1 2 3; do time_change; done | paste -sd' ')
if [ -n "${HEADER:-}" ]; then
    echo "| daemons | versions a minute | $COMPARED_COLUMNS | ms until in force everywhere | with the platform slow by 1 s a call |"
    echo "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
fi
echo "| $DAEMONS | $RATE | $(compare "$DIR/before" "$DIR/after") | $times | $slow_times |"
echo "load average: $(cut -d' ' -f1-3 /proc/loadavg)" >&2
