#!/usr/bin/env bash
# Memory and look-up performance of a daemon with a large block table.
#
#   measure/blocks.sh BLOCKS [SECONDS]
#
# Accepts a table of BLOCKS blocks through one daemon while a second adopts it, and starts a third
# afterwards. Then accepts ten differences of 1,000 blocks during look-ups, and finally a table of
# the same size that has no block in common with the one in force. Prints one row of a table; memory
# is given for the daemon that accepted, the one that adopted, and the one that started later.
. "$(dirname "$0")/lib.sh"

BLOCKS=$1
SECONDS_EACH=${2:-10}
DAEMONS=3
REGIONS=1
DOMAINS=1
SERVICES=menu
UPSTREAMS=1
# Number of regions; each preference of the blocks lists three of them.
SITES=${SITES:-6}

# Three quarters of the blocks are IPv4 /24, the rest IPv6 /48, with 500 preferences and no
# duplicates. Tables 0 and 1 have no block in common up to 7 million blocks.
write_blocks() { # TABLE
    awk -v n="$BLOCKS" -v sites="$SITES" -v table="$1" 'BEGIN {
        srand(1 + table)
        for (i = 0; i < 500; i++) {
            a = int(rand() * sites); b = (a + 1 + int(rand() * (sites - 2))) % sites; c = (b + 1) % sites
            if (c == a) c = (c + 1) % sites
            print "@" i " r" a ",r" b ",r" c
        }
        for (i = 0; i < n; i++) {
            p = int(rand() * 500)
            if (i % 4 < 3) {
                v = int(i * 14000000 / n) + table
                printf "%d.%d.%d.0/24 @%d\n", 1 + int(v / 65536), int(v / 256) % 256, v % 256, p
            } else printf "%x:%x:%x::/48 @%d\n", 8193 + table, int(i / 65536), i % 65536, p
        }
    }' >"$DIR/blocks$1.txt"
}

write_difference() { # NUMBER
    awk -v k="$1" -v n="$BLOCKS" -v sites="$SITES" 'BEGIN {
        srand(k + 2)
        for (j = 0; j < 1000; j++) {
            a = int(rand() * sites); b = (a + 1) % sites; c = (a + 2) % sites
            printf "+%d.%d.%d.%d/28 r%d,r%d,r%d\n", 1 + int(rand() * 200), int(rand() * 256), j % 250, k * 16, a, b, c
        }
    }' >"$DIR/difference.txt"
}

# Configuration with SITES regions, of which only r0 has daemons.
write_config() {
    {
        echo "name: measure"
        echo "regions:"
        for ((r = 0; r < SITES; r++)); do echo "  - {id: r$r, failure_domains: [d0]}"; done
        echo "services: [menu]"
        echo "classes:"
        echo "  - {id: menu, service: menu, idempotent: true, priority: 0, latency_ms: 200," \
            "headroom_pct: 20, deadline_ms: 5000, success_pct: 99.9}"
        echo "caps:"
        awk -v n="$SITES" 'BEGIN { for (a = 0; a < n; a++) for (b = 0; b < n; b++) if (a != b)
            print "  - {from: r" a ", to: r" b ", bytes_per_s: 25000000, in_flight: 30, growth_per_s: 6}" }'
        echo "blocks:"
        echo "  - {block: 10.1.0.0/16, regions: [r0]}"
    } >"$DIR/config.yaml"
    # The same configuration without blocks, which are passed in a separate file from here on.
    sed '/^blocks:/,$d' "$DIR/config.yaml" >"$DIR/config2.yaml"
}

memory() { # I
    local pid=${DAEMON_PIDS[$1]}
    echo "$(($(status_kib "$pid" VmRSS) / 1024)) ($(($(status_kib "$pid" VmHWM) / 1024)))"
}

# Sets `accept_start` after writing the file, so that the writing is not timed.
accept_table() { # TABLE
    write_blocks "$1"
    accept_start=$(now)
    ctl 0 --request-timeout-s 120 accept "$DIR/config2.yaml" --blocks "$DIR/blocks$1.txt" --wait \
        >"$DIR/accept.log" 2>&1 || { cat "$DIR/accept.log" >&2; exit 1; }
}

look_up() { # OUTPUT
    "$DIR/bin/jasmine-load" lookups --addr "$(host 0):7001" --class menu --connections 8 \
        --seconds "$SECONDS_EACH" --output "$1" >"$DIR/lookups.log"
}

start_two_daemons() {
    copy_binaries
    start_stand_ins
    start_daemon 0
    start_daemon 1
    write_config
    local tries
    for tries in {1..50}; do
        ctl 0 accept "$DIR/config.yaml" >"$DIR/accept.log" 2>&1 && break
        sleep 0.2
    done
    wait_ready 0
    wait_ready 1
}

start_two_daemons
memory_before=$(memory 0)
accept_table 0
seconds_until_in_force=$(awk "BEGIN { printf \"%.1f\", $(now) - $accept_start }")
memory_after_accept="$(memory 0) | $(memory 1)"
start_daemon 2
wait_ready 2
sleep 2
memory_after_late_start=$(memory 2)
look_up "$DIR/quiet.json"
look_up "$DIR/busy.json" &
driver_pid=$!
for k in 1 2 3 4 5 6 7 8 9 10; do
    write_difference "$k"
    ctl 0 accept "$DIR/config2.yaml" --blocks "$DIR/difference.txt" >"$DIR/accept.log" 2>&1 ||
        cat "$DIR/accept.log" >&2
    sleep 0.5
done
wait "$driver_pid"
memory_after_differences="$(memory 0), $(memory 1), $(memory 2)"
accept_table 1
sleep 1
memory_after_other_table="$(memory 0), $(memory 1), $(memory 2)"
lookup_results() { jq -r '"\(.per_s | round)/s, p99 \(.p99_us) us, p99.9 \(.p999_us) us"' "$1"; }
if [ -n "${HEADER:-}" ]; then
    echo "| blocks | VmRSS (VmHWM) MiB before | accepting daemon | adopting daemon | started after | after 10 differences: accepting, adopting, started | after another table | seconds until in force at both | look-ups quiet | look-ups with 10 differences |"
    echo "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
fi
echo "| $BLOCKS | $memory_before | $memory_after_accept | $memory_after_late_start | $memory_after_differences | $memory_after_other_table | $seconds_until_in_force | $(lookup_results "$DIR/quiet.json") | $(lookup_results "$DIR/busy.json") |"
echo "load average: $(cut -d' ' -f1-3 /proc/loadavg)" >&2
