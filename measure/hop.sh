#!/usr/bin/env bash
# Latency that an entry adds to a request, rate of its look-ups, and its memory during a download of
# 200 MB; requests and look-ups are measured again with the platform frozen.
#
#   measure/hop.sh [SECONDS]
#
# One daemon with one traffic thread, and one upstream with 64 slots and no service time. Direct and
# forwarded requests alternate within a run.
. "$(dirname "$0")/lib.sh"

SECONDS_EACH=${1:-5}
DAEMONS=1
REGIONS=1
DOMAINS=1
SERVICES=menu
UPSTREAMS=1

bring_up
# The default upstream has a service time, which would hide the cost of the hop.
start "$DIR/fast.log" "$DIR/bin/standin-upstream" --platform "http://$PLATFORM" \
    --upstream id=fast,service=menu,region=r0,domain=d0,listen=127.0.0.1:0,slots=64,service_ms=0
fast_addr=$(announced "$DIR/fast.log" fast)
curl -sf -X DELETE "http://$PLATFORM/list/upstreams/r0-menu-0"
sleep 4

look_up() {
    "$DIR/bin/jasmine-load" lookups --addr "$(host 0):7001" --class menu --seconds "$SECONDS_EACH"
}
hop() {
    "$DIR/bin/jasmine-load" hop --entry "$(host 0):7001" --upstream "$fast_addr" --class menu \
        --seconds "$SECONDS_EACH" "$@"
}

echo "look-ups: $(look_up)"
echo "one at a time:"
hop
echo "throughput of one traffic thread, 32 at a time:"
hop --connections 32
echo "one at a time, with a background load:"
hop --connections "${BESIDE:-5}" >"$DIR/background.log" &
background_pid=$!
hop
wait "$background_pid"
sed 's/^/  background load: /' "$DIR/background.log"
rss_before=$(status_kib "${DAEMON_PIDS[0]}" VmRSS)
bytes=$(curl -s "http://$(host 0):7001/v1/work/menu/bytes/200000000" | wc -c)
rss_peak=$(status_kib "${DAEMON_PIDS[0]}" VmHWM)
echo "a download of $bytes bytes: resident $rss_before KiB before, peak $rss_peak KiB"
frozen='{"kind":"freeze"}'
curl -sf -X POST "http://$PLATFORM/fault" -H 'content-type: application/json' \
    -d "{\"table\":$frozen,\"objects\":$frozen,\"list\":$frozen}" >/dev/null
echo "platform frozen, look-ups: $(look_up)"
echo "platform frozen, one at a time:"
hop
echo "load average: $(cut -d' ' -f1-3 /proc/loadavg)"
