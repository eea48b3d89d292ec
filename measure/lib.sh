# Starts real daemons with stand-ins on loopback for the measurements in this folder.
#
# This file is sourced, not run. Every process is a child of the calling script and is ended by its
# id when the script ends, for any reason. Each daemon listens on its own address 127.A.B.C with a
# random A, so that concurrent runs don't conflict over ports; stand-ins use free ports.
#
# BIN is the folder with the release binaries (default target/release). They are copied first, so
# that a concurrent build doesn't change the measured programs.

set -euo pipefail

BIN=${BIN:-target/release}
DIR=$(mktemp -d "${TMPDIR:-/tmp}/jasmine-measure.XXXXXX")
PIDS=()
DAEMON_PIDS=()
# Numbers of the daemons that a script has killed; they are not sampled.
declare -A DOWN=()
NET=$((RANDOM % 150 + 64))
# Daemon settings that differ from the defaults, as YAML lines.
TERMS=${TERMS:-}
# Services, each with a class of the same name.
SERVICES=${SERVICES:-menu orders}
# Upstreams of each service in each region.
UPSTREAMS=${UPSTREAMS:-3}
# Platform address in the daemons' settings; a script may set it to a relay.
PLATFORM=

cleanup() {
    trap - EXIT INT TERM
    local pid
    for pid in "${PIDS[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    # A planned stop waits until callers' look-ups have expired, which measurements don't need.
    sleep 1
    for pid in "${PIDS[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    if [ -z "${KEEP:-}" ]; then rm -rf "$DIR"; else echo "kept: $DIR" >&2; fi
}
trap cleanup EXIT
trap 'exit 130' INT TERM

# Monotonic time in seconds, with fractions.
now() { cut -d' ' -f1 /proc/uptime; }

copy_binaries() {
    local name
    mkdir "$DIR/bin"
    for name in jasmined jasminectl jasmine-load standin-platform standin-upstream; do
        cp "$BIN/$name" "$DIR/bin/"
    done
}

# Waits for `listening NAME ADDR` in a log and prints the address; NAME may be empty.
announced() { # LOG NAME
    local tries=200 addr=
    while [ -z "$addr" ]; do
        tries=$((tries - 1))
        [ "$tries" -gt 0 ] || { echo "$1 announced no \"$2\"" >&2; return 1; }
        sleep 0.05
        addr=$(awk -v name="$2" '$1 == "listening" && (name == "" || $2 == name) { print $NF }' \
            "$1" | tail -1)
    done
    echo "$addr"
}

host() { echo "127.$NET.$(($1 / 200)).$(($1 % 200 + 1))"; }
region_of() { echo "r$(($1 % REGIONS))"; }
domain_of() { echo "d$(($1 / REGIONS % DOMAINS))"; }

# Starts a process in the background with its output in LOG. Its id is set in LAST_PID and added to
# PIDS.
start() { # LOG COMMAND...
    local log=$1
    shift
    "$@" >"$log" 2>&1 &
    LAST_PID=$!
    PIDS+=("$LAST_PID")
}

# Starts the platform and the upstreams. Needs DAEMONS, REGIONS and DOMAINS (in each region).
start_stand_ins() {
    local i host
    for ((i = 0; i < DAEMONS; i++)); do
        host=$(host "$i")
        jq -nc --arg id "e$i" --arg r "$(region_of "$i")" --arg d "$(domain_of "$i")" --arg h "$host" \
            '{id:$id,region:$r,failure_domain:$d,callers_addr:($h+":7001"),
              peers_addr:($h+":7002"),operator_addr:($h+":7003"),state:"live"}'
    done >"$DIR/instances"
    # PHANTOMS more instances are listed in the same regions but don't run. They show effects that
    # depend only on the number of listed instances, such as intervals.
    for ((i = DAEMONS; i < DAEMONS + ${PHANTOMS:-0}; i++)); do
        echo "{\"id\":\"e$i\",\"region\":\"$(region_of "$i")\",\"failure_domain\":\"$(domain_of "$i")\"," \
            "\"callers_addr\":\"127.0.0.1:1\",\"peers_addr\":\"127.0.0.1:1\",\"operator_addr\":\"127.0.0.1:1\"," \
            "\"state\":\"live\"}"
    done >>"$DIR/instances"
    jq -sc '{instances:.,upstreams:[]}' "$DIR/instances" >"$DIR/list.json"
    start "$DIR/platform.log" "$DIR/bin/standin-platform" --list "$DIR/list.json"
    PLATFORM=$(announced "$DIR/platform.log" "")
    local r s u
    for ((r = 0; r < REGIONS; r++)); do
        for s in $SERVICES; do
            for ((u = 0; u < UPSTREAMS; u++)); do
                echo "{\"id\":\"r$r-$s-$u\",\"service\":\"$s\",\"region\":\"r$r\"," \
                    "\"domain\":\"d$((u % DOMAINS))\",\"slots\":9,\"service_ms\":10,\"seed\":$u}"
            done
        done
    done | jq -sc . >"$DIR/upstreams.json"
    start "$DIR/upstreams.log" "$DIR/bin/standin-upstream" --spec "$DIR/upstreams.json" \
        --platform "http://$PLATFORM"
    UPSTREAM_CONTROL=$(announced "$DIR/upstreams.log" control)
}

start_daemon() { # I
    local i=$1 host
    host=$(host "$i")
    cat >"$DIR/e$i.yaml" <<YAML
instance: e$i
region: $(region_of "$i")
failure_domain: $(domain_of "$i")
callers_addr: $host:7001
peers_addr: $host:7002
operator_addr: $host:7003
platform_url: http://$PLATFORM
peer_key: key-of-the-measurements-only
traffic_threads: 1
log_level: info
${TERMS:+terms:
$TERMS}
YAML
    start "$DIR/e$i.log" "$DIR/bin/jasmined" "$DIR/e$i.yaml"
    DAEMON_PIDS[i]=$LAST_PID
}

# Writes the operators' configuration that is accepted first.
write_config() {
    local r s to rank=0 names
    names=$(seq -s, -f r%g 0 $((REGIONS - 1)))
    {
        echo "name: measure"
        echo "regions:"
        local domains
        domains=$(seq -s, -f d%g 0 $((DOMAINS - 1)))
        for ((r = 0; r < REGIONS; r++)); do echo "  - {id: r$r, failure_domains: [$domains]}"; done
        echo "services: [${SERVICES// /, }]"
        echo "classes:"
        for s in $SERVICES; do
            echo "  - {id: $s, service: $s, idempotent: $([ "$s" = orders ] && echo false || echo true)," \
                "priority: $((rank++)), latency_ms: 200, headroom_pct: 20, deadline_ms: 5000," \
                "success_pct: 99.9}"
        done
        [ "$REGIONS" -gt 1 ] && echo "caps:"
        for ((r = 0; r < REGIONS; r++)); do
            for ((to = 0; to < REGIONS; to++)); do
                [ "$r" = "$to" ] || echo "  - {from: r$r, to: r$to, bytes_per_s: 25000000," \
                    "in_flight: 30, growth_per_s: 6}"
            done
        done
        echo "blocks:"
        for ((r = 0; r < REGIONS; r++)); do
            echo "  - {block: 10.$((r + 1)).0.0/16, regions: [r$r,$names]}" |
                sed "s/\[r$r,\(.*\)r$r,\?\(.*\)\]/[r$r,\1\2]/;s/,\]/]/"
        done
    } >"$DIR/config.yaml"
}

ctl() { # I ARGS...
    local host
    host=$(host "$1")
    shift
    "$DIR/bin/jasminectl" --daemon "$host:7003" --author measure "$@"
}

wait_ready() { # I
    local tries=400
    until curl -sf -o "$DIR/ready" --max-time 1 "http://$(host "$1"):7001/v1/ready"; do
        tries=$((tries - 1))
        [ "$tries" -gt 0 ] || { echo "e$1 is not ready; see $DIR/e$1.log" >&2; return 1; }
        sleep 0.1
    done
}

# Starts the whole deployment; all daemons are ready on return.
bring_up() {
    local i
    copy_binaries
    start_stand_ins
    for ((i = 0; i < DAEMONS; i++)); do start_daemon "$i"; done
    write_config
    for ((i = 0; i < 100; i++)); do
        ctl 0 accept "$DIR/config.yaml" >"$DIR/accept.log" 2>&1 && break
        sleep 0.2
    done
    for ((i = 0; i < DAEMONS; i++)); do wait_ready "$i"; done
}

# Numbers of calls to the platform so far, as a JSON list: table reads, commits, conflicts, list
# reads, and objects read or stored.
platform_counts() {
    curl -s "http://$PLATFORM/counters" | jq -c '[.reads, .commits, .conflicts, .lists, .objects]'
}

# CPU time of thread $2 of process $1, in nanoseconds; the main thread is the control thread.
thread_ns() { cut -d' ' -f1 "/proc/$1/task/$2/schedstat"; }
process_ns() { cat "/proc/$1"/task/*/schedstat | awk '{ sum += $1 } END { printf "%d\n", sum }'; }
status_kib() { awk -v key="$2:" '$1 == key { print $2 }' "/proc/$1/status"; }

metrics_of() { curl -s --max-time 2 "http://$(host "$1"):7001/metrics"; }

# One line per daemon: number, time, control ns, process ns, VmRSS KiB, sent bytes, platform calls.
sample() {
    local i pid
    for ((i = 0; i < DAEMONS; i++)); do
        [ -z "${DOWN[$i]:-}" ] || continue
        pid=${DAEMON_PIDS[i]}
        metrics_of "$i" >"$DIR/metrics"
        echo "$i $(now) $(thread_ns "$pid" "$pid") $(process_ns "$pid") $(status_kib "$pid" VmRSS)" \
            "$(awk '$1 == "jasmine_peer_sent_bytes_total" { bytes = $2 }
                    /^jasmine_platform_calls_total/ { calls += $2 }
                    END { printf "%d %d", bytes, calls }' "$DIR/metrics")"
    done
}

# Prints a table row from two samples: means and maximums over the daemons.
compare() { # BEFORE AFTER
    awk 'NR == FNR { for (k = 2; k <= 7; k++) a[$1, k] = $k; next }
        {
            t = $2 - a[$1, 2]
            c = ($3 - a[$1, 3]) / t / 1e7; p = ($4 - a[$1, 4]) / t / 1e7
            b = ($6 - a[$1, 6]) / t; q = ($7 - a[$1, 7]) / t; m = $5 / 1024
            n++; cs += c; ps += p; bs += b; qs += q; ms += m
            if (c > cm) cm = c; if (b > bm) bm = b; if (m > mm) mm = m
        }
        END { printf "%.2f | %.2f | %.2f | %.0f | %.0f | %.1f | %.1f | %.2f", \
            cs / n, cm, ps / n, bs / n, bm, ms / n, mm, qs / n }' "$1" "$2"
}
COMPARED_COLUMNS='control % of a core, mean | most | process % | sent B/s, mean | most | VmRSS MiB, mean | most | platform calls/s'
