#!/bin/bash
# A node is cut off from the store and from the other node; meanwhile a server
# leaves without reporting it.  TROUBLE=0: the same without the cut.
CASE=$(cd "$(dirname "$0")" && pwd)
cd "$CASE/../.."
. review/lib-2.sh

DRAIN_MS=2000 CONTACT_MS=3000 CUT_MS=3000

start_platform 0 3
new_port RELAY; new_port STORE_A; new_port PEER_A
new_port PEER_B; new_port PEER_B_FOR_A
configure 1
build/review-2/rack-relay "$RELAY" "\"peer\":\"127.0.0.1:$PEER_B\"" \
  "\"peer\":\"127.0.0.1:$PEER_B_FOR_A\"" \
  "$STORE_A:$STORE" "$PEER_B_FOR_A:$PEER_B" 2>"$TMP/relay.log" &
PIDS+=($!)
write_settings b "$STORE" "$PEER_B" 1000
write_settings a "$STORE_A" "$PEER_A" 100
start_node b
wait_until_served b /safe/x
start_node a
wait_until_served a /safe/x
# Node b leads, and node a gets the list over its link.
sleep 3
grep -q duty_gained "$TMP/b.log" || cannot_run "b does not lead"
grep -q node_linked "$TMP/a.log" || cannot_run "a and b are not linked"
for _ in {1..6}; do call a /once/x; done

if [ "$TROUBLE" = 1 ]; then
  note "node a is cut off from the store and from node b"
  curl -sf "http://127.0.0.1:$RELAY/cut" >/dev/null || cannot_run relay
fi
sleep 2
platform '{"server": "p1", "unlisted": true, "leaving": true}'
left=$(now)
note "server p1 leaves: its entry is removed, it goes on serving"
sleep "0.$((CUT_MS - 2000 - 100))"
if [ "$TROUBLE" = 1 ]; then
  curl -sf "http://127.0.0.1:$RELAY/heal" >/dev/null || cannot_run relay
  note "node a reaches the store and node b again"
fi
healed=$(now)
# Node a is in touch from here on; p1 serves on for as long as this takes.
while [ "$(now)" -le $((healed + CONTACT_MS + 500)) ]; do sleep 0.1; done
late=0
for _ in {1..20}; do
  at=$(now)
  call a /once/x
  if [ "${ANSWER#* }" = p1 ] && [ "$at" -gt $((left + DRAIN_MS)) ]; then
    late=$((late + 1))
    note "p1 has run it $((at - left)) ms after it left," \
      "$((at - healed)) ms after the end of the cut"
  fi
  sleep 0.1
done
for n in a b; do
  grep -hE 'servers_changed|store_lost|store_back|node_lost|node_linked|duty_gained' \
    "$TMP/$n.log" | sed "s/^/node $n: /" >>"$RECORD"
done
note "requests at p1 later than $DRAIN_MS ms after it left: $late"
[ "$late" = 0 ]
