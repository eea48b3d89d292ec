#!/usr/bin/env bash
# Starts a deployment of three regions on loopback with the sizes of an example user, runs a mixed
# load with a drain, a leaving upstream and a planned stop, and prints a table by class. The last
# line is `N requests, V violations`; the exit status is not zero if V > 0.
#
# Every process is ended by its id when the script ends, also on Ctrl-C. Free ports are reserved, so
# that two demos can run side by side. If DEMO_KEEP is set, the folder with the logs, records and the
# report is kept; after a failure it is always kept.
set -euo pipefail

usage() {
    echo "usage: $0 kilima|cascade" >&2
    exit 2
}

# Sizes as service=upstreams:slots:service_ms, and the one-way delay between regions.
case "${1:-}" in
kilima)
    regions=(arusha moshi dar)
    services=(menu=15:9:20 orders=12:6:30 binders=12:3:150)
    between_regions_us=55000
    ;;
cascade)
    regions=(puget willamette inland)
    services=(status=20:6:20 workorders=12:6:30 logs=12:3:150)
    between_regions_us=12000
    ;;
*) usage ;;
esac
[ $# -eq 1 ] || usage
user=$1
entries_per_region=4
domains=(a b)

root=$(cd "$(dirname "$0")" && pwd)
cd "$root"
cargo build --release --locked --quiet -p ctl -p daemon -p load -p standin
bin=${CARGO_TARGET_DIR:-$root/target}/release

dir=$(mktemp -d "${TMPDIR:-/tmp}/jasmine-demo.XXXXXX")
ports=${TMPDIR:-/tmp}/jasmine-demo-ports
mkdir -p "$ports"
child_pids=()
reserved=()

# Ends all started processes, newest first, and waits for them.
cleanup() {
    local status=$? i
    trap - EXIT INT TERM
    for ((i = ${#child_pids[@]} - 1; i >= 0; i--)); do
        kill -KILL "${child_pids[i]}" 2>/dev/null || true
        wait "${child_pids[i]}" 2>/dev/null || true
    done
    for port in "${reserved[@]}"; do
        rmdir "$ports/$port" 2>/dev/null || true
    done
    if [ "$status" -eq 0 ] && [ -z "${DEMO_KEEP:-}" ]; then
        rm -rf "$dir"
    else
        echo "logs are kept in $dir" >&2
    fi
    exit "$status"
}
trap cleanup EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# Sets `addr` to an address with a free port. Another demo may look for one at the same time, so the
# port is reserved by creating a folder, which only one of them can do.
free_addr() {
    local port
    while :; do
        port=$((10000 + RANDOM % 22000))
        mkdir "$ports/$port" 2>/dev/null || continue
        reserved+=("$port")
        if ! (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then
            addr=127.0.0.1:$port
            return
        fi
    done
}

# Starts a program with its output in a log; its process id is appended to `child_pids`.
start() {
    local log=$dir/$1.log program=$2
    shift 2
    "$bin/$program" "$@" >"$log" 2>&1 &
    child_pids+=($!)
}

# Waits until a log contains a matching line.
wait_line() {
    local i
    for ((i = 0; i < 600; i++)); do
        grep -q "$2" "$dir/$1.log" 2>/dev/null && return
        sleep 0.05
    done
    echo "$1 did not start:" >&2
    cat "$dir/$1.log" >&2
    exit 1
}

# Prints the address that a stand-in announced for a name.
announced() {
    awk -v name="$2" '$1 == "listening" && NF == 3 && $2 == name { print $3; exit }
        $1 == "listening" && NF == 2 && name == "" { print $2; exit }' "$dir/$1.log"
}

# Instances and their addresses.
ids=()
declare -A region_of domain_of callers_of peers_of operator_of
for region in "${regions[@]}"; do
    for ((i = 0; i < entries_per_region; i++)); do
        id=$region-$i
        ids+=("$id")
        region_of[$id]=$region
        domain_of[$id]=${domains[i % 2]}
        free_addr && callers_of[$id]=$addr
        free_addr && peers_of[$id]=$addr
        free_addr && operator_of[$id]=$addr
    done
done

# Platform, with its list of instances.
{
    echo '{"instances":['
    separator=
    for id in "${ids[@]}"; do
        printf '%s{"id":"%s","region":"%s","failure_domain":"%s","callers_addr":"%s","peers_addr":"%s","operator_addr":"%s","state":"live"}\n' \
            "$separator" "$id" "${region_of[$id]}" "${domain_of[$id]}" \
            "${callers_of[$id]}" "${peers_of[$id]}" "${operator_of[$id]}"
        separator=,
    done
    echo ']}'
} >"$dir/list.json"
start platform standin-platform --list "$dir/list.json"
wait_line platform '^listening'
platform=$(announced platform "")

# Upstreams, distributed evenly over the regions and their failure domains.
{
    echo '['
    separator=
    for service in "${services[@]}"; do
        name=${service%%=*}
        IFS=: read -r count slots service_ms <<<"${service#*=}"
        for ((i = 0; i < count; i++)); do
            region=${regions[i % ${#regions[@]}]}
            printf '%s{"id":"%s-%s-%s","service":"%s","region":"%s","domain":"%s","slots":%s,"service_ms":%s,"seed":%s}\n' \
                "$separator" "$region" "$name" "$((i / ${#regions[@]}))" "$name" "$region" \
                "${domains[i / ${#regions[@]} % 2]}" "$slots" "$service_ms" "$i"
            separator=,
        done
    done
    echo ']'
} >"$dir/upstreams.json"
start upstreams standin-upstream --spec "$dir/upstreams.json" --platform "http://$platform"
wait_line upstreams '^listening control'
upstreams=$(announced upstreams control)

# Links: a relay from each region to each daemon of the other regions.
relays=()
for region in "${regions[@]}"; do
    for id in "${ids[@]}"; do
        [ "${region_of[$id]}" != "$region" ] || continue
        for to in "${callers_of[$id]}" "${peers_of[$id]}"; do
            relays+=(--relay "name=$region>$to,to=$to,delay_us=$between_regions_us")
        done
    done
done
start links standin-link "${relays[@]}"
wait_line links '^listening control'
declare -A dial_of
while read -r _ name dial_addr; do
    dial_of[$name]=$dial_addr
done < <(grep '^listening' "$dir/links.log")

# Daemons.
declare -A pid_of
for id in "${ids[@]}"; do
    {
        cat <<SETTINGS
instance: $id
region: ${region_of[$id]}
failure_domain: ${domain_of[$id]}
callers_addr: ${callers_of[$id]}
peers_addr: ${peers_of[$id]}
operator_addr: ${operator_of[$id]}
platform_url: http://$platform
peer_key: key-of-the-demo-only
traffic_threads: 1
dial:
SETTINGS
        for other in "${ids[@]}"; do
            [ "${region_of[$other]}" != "${region_of[$id]}" ] || continue
            for to in "${callers_of[$other]}" "${peers_of[$other]}"; do
                echo "  - {listed: \"$to\", dial: \"${dial_of["${region_of[$id]}>$to"]}\"}"
            done
        done
    } >"$dir/$id.yaml"
    start "$id" jasmined "$dir/$id.yaml"
    pid_of[$id]=$!
done

# Configuration. It is retried because a daemon that has just started may not accept it yet.
ctl=("$bin/jasminectl")
for id in "${ids[@]}"; do
    ctl+=(--daemon "${operator_of[$id]}")
done
for ((i = 0; ; i++)); do
    if "${ctl[@]}" accept "examples/$user.yaml" --wait >"$dir/accept.log" 2>&1; then
        break
    fi
    if [ "$i" -ge 100 ]; then
        cat "$dir/accept.log" >&2
        exit 1
    fi
    sleep 0.2
done
# Only the result is printed: progress messages from the daemons' start would look like failures.
tail -n 2 "$dir/accept.log"

# Waits until a daemon answers `GET /v1/ready` with status 200.
wait_ready() {
    local i host=${1%:*} port=${1#*:} line
    for ((i = 0; i < 600; i++)); do
        line=
        if exec 3<>"/dev/tcp/$host/$port"; then
            printf 'GET /v1/ready HTTP/1.1\r\nHost: demo\r\nConnection: close\r\n\r\n' >&3
            read -r line <&3 || true
            exec 3>&-
        fi 2>/dev/null
        [[ $line != *" 200 "* ]] || return 0
        sleep 0.1
    done
    echo "$1 was not ready" >&2
    exit 1
}
for id in "${ids[@]}"; do
    wait_ready "${callers_of[$id]}"
done
echo "$user: ${#ids[@]} daemons ready in ${#regions[@]} regions"

# Planned stop of one entry during the load. The drain and the leaving upstream are events of the
# scene, so that the load driver's checks know when they began.
stopped=${regions[1]}-0
(
    sleep 12
    kill -TERM "${pid_of[$stopped]}"
) &
child_pids+=($!)

load=("$bin/jasmine-load" run "scenes/$user.yaml" --config "examples/$user.yaml")
load+=(--platform "$platform" --upstreams "$upstreams")
for id in "${ids[@]}"; do
    load+=(--daemon "${region_of[$id]}=${callers_of[$id]}")
done
load+=(--target "upstreams=$upstreams" --target "operator=${operator_of[${ids[0]}]}")
load+=(--output "$dir/report.json" --records "$dir/records.jsonl")
status=0
"${load[@]}" >"$dir/load.log" || status=$?

# A planned stop under load has to end with status 0 within its time limit.
for ((i = 0; i < 300; i++)); do
    kill -0 "${pid_of[$stopped]}" 2>/dev/null || break
    sleep 0.1
done
if kill -0 "${pid_of[$stopped]}" 2>/dev/null; then
    echo "$stopped did not stop"
    status=1
elif wait "${pid_of[$stopped]}"; then
    echo "$stopped stopped as planned"
else
    echo "$stopped stopped with status $?"
    status=1
fi
cat "$dir/load.log"
exit "$status"
