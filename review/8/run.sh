#!/bin/bash
# A node starts, and the answer to its read of the server list is 0.24 s late.
# A server reports that it drains after that read, and before the node has the
# list from the leader.  TROUBLE=0: the same, but the answer is not late.
CASE=$(cd "$(dirname "$0")" && pwd)
cd "$CASE/../.."
. review/lib-2.sh

DRAIN_MS=2000 CONTACT_MS=3000 LATE_MS=240

start_platform 0 3
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
platform '{"server": "p1", "draining": true, "leaving": true}'
drained=$(now)
note "server p1 reports that it drains; it goes on serving"
# Node a is in touch from here on.
while [ "$(now)" -le $((started + CONTACT_MS + 1500)) ]; do sleep 0.1; done
late=0
for _ in {1..20}; do
  at=$(now)
  call a /once/x
  if [ "${ANSWER#* }" = p1 ] && [ "$at" -gt $((drained + DRAIN_MS)) ]; then
    late=$((late + 1))
    note "p1 has run it $((at - drained)) ms after it reported"
  fi
  sleep 0.1
done
for n in a b; do
  grep -hE 'servers_changed|node_linked|duty_gained|serve_started' \
    "$TMP/$n.log" | sed "s/^/node $n: /" >>"$RECORD"
done
note "requests at p1 later than $DRAIN_MS ms after its report: $late"
[ "$late" = 0 ]
