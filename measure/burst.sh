#!/usr/bin/env bash
# Cost of the loss and return of a failure domain for the other daemons and the platform.
#
#   measure/burst.sh DAEMONS REGIONS DOMAINS [SECONDS]
#
# Kills all daemons of the first domain of the first region at once, measures five windows of
# SECONDS, restarts them at once and measures three more. There is no load. Prints one row for each
# window.
. "$(dirname "$0")/lib.sh"

DAEMONS=$1
REGIONS=$2
DOMAINS=$3
SECONDS_EACH=${4:-5}

in_domain() { [ "$(region_of "$1") $(domain_of "$1")" = "r0 d0" ]; }

print_window() { # NAME
    local seconds
    platform_counts >"$DIR/counts1"
    sample >"$DIR/before"
    sleep "$SECONDS_EACH"
    sample >"$DIR/after"
    platform_counts >"$DIR/counts2"
    seconds=$(awk 'NR == FNR { start[$1] = $2; next } { sum += $2 - start[$1]; n++ } END { print sum / n }' \
        "$DIR/before" "$DIR/after")
    echo "| $1 | $(compare "$DIR/before" "$DIR/after") | $(jq -rs --argjson t "$seconds" \
        'transpose | map((.[1] - .[0]) / $t | . * 10 | round / 10) | map(tostring) | join(" / ")' \
        "$DIR/counts1" "$DIR/counts2") |"
}

bring_up
[ -z "${HEADER:-}" ] || {
    echo "| window | $COMPARED_COLUMNS | reads / commits / conflicts / lists / objects a second, all |"
    echo "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
}
sleep 8
print_window "before the loss"
killed=()
for ((i = 0; i < DAEMONS; i++)); do
    in_domain "$i" || continue
    killed+=("$i")
    DOWN[$i]=1
done
for i in "${killed[@]}"; do kill -KILL "${DAEMON_PIDS[i]}"; done
for k in 1 2 3 4 5; do print_window "$(((k - 1) * SECONDS_EACH)) to $((k * SECONDS_EACH)) s after the loss of ${#killed[@]}"; done
restart_time=$(now)
for i in "${killed[@]}"; do start_daemon "$i"; done
# Restarted daemons are not sampled; the windows cover the daemons that kept running.
for k in 1 2 3; do print_window "$(((k - 1) * SECONDS_EACH)) to $((k * SECONDS_EACH)) s after their return"; done
for i in "${killed[@]}"; do wait_ready "$i"; done
echo "all ready again at most $(awk "BEGIN { printf \"%.1f\", $(now) - $restart_time }") s after their start"
echo "load average: $(cut -d' ' -f1-3 /proc/loadavg)" >&2
