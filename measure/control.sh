#!/usr/bin/env bash
# Cost of the control thread per daemon, idle and under a light load.
#
#   measure/control.sh DAEMONS REGIONS DOMAINS [SECONDS]
#
# DOMAINS is the number of failure domains in each region. Prints two rows of a table.
. "$(dirname "$0")/lib.sh"

DAEMONS=$1
REGIONS=$2
DOMAINS=$3
SECONDS_EACH=${4:-20}

write_scene() {
    local r
    {
        echo "duration_ms: $(((SECONDS_EACH + 12) * 1000))"
        echo "regions:"
        for ((r = 0; r < REGIONS; r++)); do echo "  - {name: r$r, block: 10.$((r + 1)).0.0/16}"; done
        echo "classes:"
        echo "  - {name: menu, rate_per_s: $((DAEMONS * 20)), deadline_ms: 2000, work: bytes}"
        echo "  - {name: orders, rate_per_s: $((DAEMONS * 4)), deadline_ms: 2000, work: echo," \
            "bytes: 200, filing: ticket}"
    } >"$DIR/scene.yaml"
}

# Reads every daemon's view of the instances ten times; prints the number of instances, and how many
# of them are old and silent.
view_freshness() {
    local i
    for _ in 1 2 3 4 5 6 7 8 9 10; do
        for ((i = 0; i < DAEMONS; i++)); do
            curl -s --max-time 2 "http://$(host "$i"):7003/op/v1/instances"
        done
        sleep 0.3
    done | jq -rs '[.[].instances[] | .freshness] |
        "\(length) / \(map(select(. == "old")) | length) / \(map(select(. == "silent")) | length)"'
}

print_row() { # NAME
    local reads
    platform_counts >"$DIR/counts1"
    sample >"$DIR/before"
    sleep "$SECONDS_EACH"
    sample >"$DIR/after"
    platform_counts >"$DIR/counts2"
    reads=$(jq -rs --argjson t "$(($(awk 'NR==1{print int($2*100)}' "$DIR/after") - $(awk 'NR==1{print int($2*100)}' "$DIR/before")))" \
        '[.[0][:4], .[1][:4]] | transpose | map((.[1] - .[0]) * 100 / $t | . * 10 | round / 10) | map(tostring) | join(" / ")' \
        "$DIR/counts1" "$DIR/counts2")
    echo "| $DAEMONS | $REGIONS×$DOMAINS | $1 | $(compare "$DIR/before" "$DIR/after") | $reads | $(view_freshness) |"
}

bring_up
if [ -n "${HEADER:-}" ]; then
    echo "| daemons | regions×domains | load | $COMPARED_COLUMNS | table reads / commits / conflicts / list reads a second, all | instances in views / old / silent |"
    echo "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
fi
sleep 8
print_row idle
write_scene
args=()
for ((i = 0; i < DAEMONS; i++)); do args+=(--daemon "$(region_of "$i")=$(host "$i"):7001"); done
start "$DIR/load.log" "$DIR/bin/jasmine-load" run "$DIR/scene.yaml" "${args[@]}" \
    --platform "$PLATFORM" --upstreams "$UPSTREAM_CONTROL"
load_pid=$LAST_PID
sleep 3
print_row "24/s each"
wait "$load_pid" || echo "the load driver ended with $?" >&2
[ -z "${VERBOSE:-}" ] || { cat "$DIR/load.log"; metrics_of 0; }
echo "load average: $(cut -d' ' -f1-3 /proc/loadavg)" >&2
