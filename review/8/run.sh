#!/bin/bash
# A node starts, and the answer to its read of the server list is 0.24 s late.
# A server reports that it drains after that read, and before the node has the
# list from the leader; it ends 5.5 s later.  TROUBLE=0: the same, but the answer
# is not late.
CASE=$(cd "$(dirname "$0")" && pwd)
cd "$CASE/../.."
. review/lib-2.sh

DRAIN_MS=2000 CONTACT_MS=3000 LATE_MS=240

WORK_MS=1000

start_platform 0 0
for i in 1 2 3; do start_server $i $WORK_MS; done
new_port RELAY; new_port STORE_A; new_port PEER_A; new_port PEER_B
configure 1
build/review-2/rack-relay "$RELAY" "$STORE_A:$STORE" 2>"$TMP/relay.log" &
PIDS+=($!)
write_settings b "$STORE" "$PEER_B" 1000
write_settings a "$STORE_A" "$PEER_A" 100
start_node b
wait_until_served b /safe/x
sleep 3
grep -q duty_gained "$TMP/b.log" || cannot_run "b does not lead"

if [ "$TROUBLE" = 1 ]; then
  curl -sf "http://127.0.0.1:$RELAY/slow/$LATE_MS/kv-range?prefix=servers" \
    >/dev/null || cannot_run relay
fi
start_node a
started=$(now)
note "node a starts"
if [ "$TROUBLE" = 1 ]; then
  for _ in {1..100}; do
    [ "$(curl -s "http://127.0.0.1:$RELAY/slowed")" = 1 ] && break
    sleep 0.01
  done
  note "the store has got node a's read of the list; its answer is late"
else
  sleep 0.1
fi
entry 1 draining
kill -USR1 "$PID_i1"
drained=$(now)
note "server i-1 reports that it drains; it goes on serving"
# Node a is in touch from here on.
while [ "$(now)" -le $((started + CONTACT_MS + 1700)) ]; do sleep 0.1; done
note "six requests"
: >"$TMP/failed"
before=$(grep -c 'server i-1: runs' "$TMP/servers.log")
CALLS=()
calls a /once/x 6
sleep 0.5
late=$(($(grep -c 'server i-1: runs' "$TMP/servers.log") - before))
note "i-1 has run $late of them, $(($(now) - drained)) ms after its report"
while [ "$(now)" -le $((drained + 5500)) ]; do sleep 0.05; done
kill -KILL "$PID_i1"
note "server i-1 ends, $(($(now) - drained)) ms after its report"
wait "${CALLS[@]}"
cat "$TMP/servers.log" >>"$RECORD"
for n in a b; do
  grep -hE 'servers_changed|node_linked|duty_gained|serve_started' \
    "$TMP/$n.log" | sed "s/^/node $n: /" >>"$RECORD"
done
note "requests at i-1 later than $DRAIN_MS ms after its report: $late;" \
  "requests of these six that ran and were lost: $(wc -l <"$TMP/failed")"
[ "$late" = 0 ]
