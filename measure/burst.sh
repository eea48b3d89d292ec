#!/usr/bin/env bash
# What the loss of a failure domain and its return cost the others and the platform.
#
#   measure/burst.sh DAEMONS REGIONS DOMAINS [SECONDS]
#
# Kills the daemons of the first domain of the first region at once, looks at windows of SECONDS
# until all is calm, starts them again at once, and looks again. No load. Prints a row a window.
. "$(dirname "$0")/lib.sh"

DAEMONS=$1
REGIONS=$2
DOMAINS=$3
SECONDS_EACH=${4:-5}

in_domain() { [ "$(region_of "$1") $(domain_of "$1")" = "r0 d0" ]; }

window() { # NAME
    local seconds
    platform_counts >"$DIR/counts1"
    sample >"$DIR/before"
    sleep "$SECONDS_EACH"
    sample >"$DIR/after"
    platform_counts >"$DIR/counts2"
    seconds=$(awk 'NR == FNR { begun[$1] = $2; next } { sum += $2 - begun[$1]; n++ } END { print sum / n }' \
        "$DIR/before" "$DIR/after")
    echo "| $1 | $(compare "$DIR/before" "$DIR/after") | $(jq -rs --argjson t "$seconds" \
        'transpose | map((.[1] - .[0]) / $t | . * 10 | round / 10) | map(tostring) | join(" / ")' \
        "$DIR/counts1" "$DIR/counts2") |"
}

bring_up
[ -z "${HEADER:-}" ] || {
    echo "| window | $COMPARED | reads / commits / conflicts / lists / objects a second, all |"
    echo "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
}
sleep 8
window calm
domain=()
for ((i = 0; i < DAEMONS; i++)); do
    in_domain "$i" || continue
    domain+=("$i")
    DOWN[$i]=1
done
for i in "${domain[@]}"; do kill -KILL "${DAEMON_PIDS[i]}"; done
for k in 1 2 3 4 5; do window "$(((k - 1) * SECONDS_EACH)) to $((k * SECONDS_EACH)) s after the loss of ${#domain[@]}"; done
begun=$(now)
for i in "${domain[@]}"; do start_daemon "$i"; done
# Their own samples begin with them; the windows are of those that stayed.
for k in 1 2 3; do window "$(((k - 1) * SECONDS_EACH)) to $((k * SECONDS_EACH)) s after their return"; done
for i in "${domain[@]}"; do wait_ready "$i"; done
echo "all ready again at most $(awk "BEGIN { printf \"%.1f\", $(now) - $begun }") s after their start"
echo "load average: $(cut -d' ' -f1-3 /proc/loadavg)" >&2
