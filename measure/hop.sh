#!/usr/bin/env bash
# What an entry adds to a request, its look-ups, its memory under a download of 200 MB, and both
# again with the platform frozen.
#
#   measure/hop.sh [SECONDS]
#
# One daemon with one traffic thread and one upstream of 64 slots without service time. Direct and
# carried requests alternate in one run.
. "$(dirname "$0")/lib.sh"

SECONDS_EACH=${1:-5}
DAEMONS=1
REGIONS=1
DOMAINS=1
SERVICES=menu
UPSTREAMS=1

bring_up
# The upstream of the others has a service time, which would hide the hop.
start "$DIR/fast.log" "$DIR/bin/standin-upstream" --platform "http://$PLATFORM" \
    --upstream id=fast,service=menu,region=r0,domain=d0,listen=127.0.0.1:0,slots=64,service_ms=0
fast=$(announced "$DIR/fast.log" fast)
curl -sf -X DELETE "http://$PLATFORM/list/upstreams/r0-menu-0"
sleep 4

look_up() {
    "$DIR/bin/jasmine-load" lookups --addr "$(host 0):7001" --class menu --seconds "$SECONDS_EACH"
}
hop() {
    "$DIR/bin/jasmine-load" hop --entry "$(host 0):7001" --upstream "$fast" --class menu \
        --seconds "$SECONDS_EACH" "$@"
}

echo "look-ups: $(look_up)"
echo "one at a time:"
hop
echo "as many as one traffic thread carries, 32 at a time:"
hop --connections 32
echo "one at a time, beside another load:"
hop --connections "${BESIDE:-5}" >"$DIR/background.log" &
background=$!
hop
wait "$background"
sed 's/^/  the load: /' "$DIR/background.log"
before=$(status_kib "${DAEMON_PIDS[0]}" VmRSS)
bytes=$(curl -s "http://$(host 0):7001/v1/work/menu/bytes/200000000" | wc -c)
after=$(status_kib "${DAEMON_PIDS[0]}" VmHWM)
echo "a download of $bytes bytes: resident $before KiB before, at most $after KiB ever"
frozen='{"kind":"freeze"}'
curl -sf -X POST "http://$PLATFORM/fault" -H 'content-type: application/json' \
    -d "{\"table\":$frozen,\"objects\":$frozen,\"list\":$frozen}" >/dev/null
echo "platform frozen, look-ups: $(look_up)"
echo "platform frozen, one at a time:"
hop
echo "load average: $(cut -d' ' -f1-3 /proc/loadavg)"
