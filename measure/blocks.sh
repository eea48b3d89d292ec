#!/usr/bin/env bash
# A daemon's memory and look-ups with a large block table.
#
#   measure/blocks.sh BLOCKS [SECONDS]
#
# Accepts a table of BLOCKS blocks through one daemon, and lets another adopt it as it starts. Then
# accepts ten differences of 1,000 blocks while look-ups go on, and at last a table of as many blocks
# that shares none with the one in force. Prints one row of a table; memory is of the daemon that
# accepted, of the one that only adopted, and of one that started afterwards.
. "$(dirname "$0")/lib.sh"

BLOCKS=$1
SECONDS_EACH=${2:-10}
DAEMONS=3
REGIONS=1
DOMAINS=1
SERVICES=menu
UPSTREAMS=1
# Sites; the blocks' preferences name three of them each.
SITES=${SITES:-6}

# Three of four blocks are IPv4 of 24 bits, the rest IPv6 of 48; 500 preferences; no block twice.
# Tables 0 and 1 have no block in common as long as there are at most 7 million.
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

# The configuration with all sites as regions; only r0 has daemons here.
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
    # The same without blocks in it, which stand in a file of their own from now on.
    sed '/^blocks:/,$d' "$DIR/config.yaml" >"$DIR/config2.yaml"
}

memory() { # I
    local pid=${DAEMON_PIDS[$1]}
    echo "$(($(status_kib "$pid" VmRSS) / 1024)) ($(($(status_kib "$pid" VmHWM) / 1024)))"
}

# Begins at `begun`, so that the writing of the file is no part of what is timed.
accept_table() { # TABLE
    write_blocks "$1"
    begun=$(now)
    ctl 0 --request-timeout-s 120 accept "$DIR/config2.yaml" --blocks "$DIR/blocks$1.txt" --wait \
        >"$DIR/accept.log" 2>&1 || { cat "$DIR/accept.log" >&2; exit 1; }
}

look_up() { # OUTPUT
    "$DIR/bin/jasmine-load" lookups --addr "$(host 0):7001" --class menu --connections 8 \
        --seconds "$SECONDS_EACH" --output "$1" >"$DIR/lookups.log"
}

bring_up_two() {
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

bring_up_two
fresh=$(memory 0)
accept_table 0
took=$(awk "BEGIN { printf \"%.1f\", $(now) - $begun }")
accepted="$(memory 0) | $(memory 1)"
start_daemon 2
wait_ready 2
sleep 2
started=$(memory 2)
look_up "$DIR/quiet.json"
look_up "$DIR/busy.json" &
driver=$!
for k in 1 2 3 4 5 6 7 8 9 10; do
    write_difference "$k"
    ctl 0 accept "$DIR/config2.yaml" --blocks "$DIR/difference.txt" >"$DIR/accept.log" 2>&1 ||
        cat "$DIR/accept.log" >&2
    sleep 0.5
done
wait "$driver"
differences="$(memory 0), $(memory 1), $(memory 2)"
accept_table 1
sleep 1
other="$(memory 0), $(memory 1), $(memory 2)"
figures() { jq -r '"\(.per_s | round)/s, p99 \(.p99_us) us, p99.9 \(.p999_us) us"' "$1"; }
if [ -n "${HEADER:-}" ]; then
    echo "| blocks | VmRSS (VmHWM) MiB before | accepting daemon | adopting daemon | started after | after 10 differences: accepting, adopting, started | after another table | seconds until in force at both | look-ups quiet | look-ups with 10 differences |"
    echo "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
fi
echo "| $BLOCKS | $fresh | $accepted | $started | $differences | $other | $took | $(figures "$DIR/quiet.json") | $(figures "$DIR/busy.json") |"
echo "load average: $(cut -d' ' -f1-3 /proc/loadavg)" >&2
