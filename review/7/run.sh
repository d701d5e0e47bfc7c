#!/bin/bash
# A node is cut off from the store and from the other node; meanwhile a server
# leaves without reporting it, and ends 5.5 s later.  TROUBLE=0: the same without
# the cut.
CASE=$(cd "$(dirname "$0")" && pwd)
cd "$CASE/../.."
. review/lib-2.sh

DRAIN_MS=2000 CONTACT_MS=3000 CUT_MS=3000

WORK_MS=1000

start_platform 0 0
for i in 1 2 3; do start_server $i $WORK_MS; done
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
CALLS=()
calls a /once/x 6
wait "${CALLS[@]}"

if [ "$TROUBLE" = 1 ]; then
  note "node a is cut off from the store and from node b"
  curl -sf "http://127.0.0.1:$RELAY/cut" >/dev/null || cannot_run relay
fi
sleep 2
remove_entry 1
kill -USR1 "$PID_i1"
left=$(now)
note "server i-1 leaves: its entry is removed, it goes on serving"
sleep "0.$((CUT_MS - 2000 - 100))"
if [ "$TROUBLE" = 1 ]; then
  curl -sf "http://127.0.0.1:$RELAY/heal" >/dev/null || cannot_run relay
  note "node a reaches the store and node b again"
fi
healed=$(now)
# Node a is in touch from here on.
while [ "$(now)" -le $((healed + CONTACT_MS + 1000)) ]; do sleep 0.1; done
note "six requests"
: >"$TMP/failed"
before=$(grep -c 'server i-1: runs' "$TMP/servers.log")
CALLS=()
calls a /once/x 6
sleep 0.5
late=$(($(grep -c 'server i-1: runs' "$TMP/servers.log") - before))
note "i-1 has run $late of them, $(($(now) - left)) ms after it left"
while [ "$(now)" -le $((left + 5500)) ]; do sleep 0.05; done
kill -KILL "$PID_i1"
note "server i-1 ends, $(($(now) - left)) ms after it left"
wait "${CALLS[@]}"
cat "$TMP/servers.log" >>"$RECORD"
for n in a b; do
  grep -hE 'servers_changed|store_lost|store_back|node_lost|node_linked|duty_gained' \
    "$TMP/$n.log" | sed "s/^/node $n: /" >>"$RECORD"
done
note "requests at i-1 later than $DRAIN_MS ms after it left: $late;" \
  "requests of these six that ran and were lost: $(wc -l <"$TMP/failed")"
[ "$late" = 0 ]
