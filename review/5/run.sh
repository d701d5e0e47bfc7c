#!/bin/bash
# The open connections between the nodes and a sound replica go silent, and the
# clients abandon the two streams on them.  The route of the streams is not
# resumable and was added by a later version.  TROUBLE=0: the same, but the
# connections stay as they are.
CASE=$(cd "$(dirname "$0")" && pwd)
cd "$CASE/../.."
. review/lib-2.sh

RECOVER_MS=12000 ENGINES=3

TELL=',{"name": "t", "host": "h", "prefix": "/tell/", "kind": "streaming",
  "timeout_ms": 8000, "goal_ms": 400, "gap_goal_ms": 250, "priority": 1,
  "service": "lm", "max_attempts": 2}'

stream () { # NODE ID SECONDS
  local f=FRONT_$1 status events
  status=$(curl -sN -m "$3" -o "$TMP/stream-$2" -w '%{http_code}' \
    -H 'Host: h' -H "X-Lapisline-Request-Id: $2" -H 'X-Api-Key: k1' \
    -H 'X-Lapisline-Model: big' -H 'X-Lapisline-Deadline-Ms: 8000' \
    -X POST -d hello "http://127.0.0.1:${!f}/tell/x")
  events=$(grep -c '^id:' "$TMP/stream-$2" 2>/dev/null)
  rm -f "$TMP/stream-$2"
  ANSWER="$status ${events:-0}"
  note "client: $2 POST /tell/x at $1 -> $status, ${events:-0} events"
}

start_platform $ENGINES 2
new_port PEER_A; new_port PEER_B; new_port RELAY; new_port STORE_R

# The nodes reach the servers of the model through the relay.
ROWS=()
for ((i = 1; i <= ENGINES; i++)); do
  address=$(curl -s "http://127.0.0.1:$STORE/kv-key?key=servers/e$i" |
    sed 's/.*"value": *"\([^"]*\)".*/\1/; s/\\//g' | base64 -d |
    sed 's/.*"address": *"127.0.0.1:\([0-9]*\)".*/\1/')
  [ "${#address}" = 5 ] || cannot_run "e$i has no port of five digits"
  new_port "SERVER_e$i"; p=SERVER_e$i
  ROWS+=("\"127.0.0.1:$address\"" "\"127.0.0.1:${!p}\"")
  TARGETS+=("${!p}:$address")
done
build/review-2/rack-relay "$RELAY" "${ROWS[@]}" "${TARGETS[@]}" \
  "$STORE_R:$STORE" 2>"$TMP/relay.log" &
PIDS+=($!)

configure 1
write_settings a "$STORE_R" "$PEER_A" 1000
write_settings b "$STORE_R" "$PEER_B" 1000
start_node a; start_node b
wait_until_served a /safe/x
wait_until_served b /safe/x
configure 2 "$TELL"
note "version 2 adds the route /tell/"
platform '{"event_ms": 100, "events": 20}'
for n in a b; do
  for i in {1..50}; do
    stream $n "warm-$n-$i" 5
    [ "$ANSWER" = "200 20" ] && break
    sleep 0.2
  done
  [ "$ANSWER" = "200 20" ] || cannot_run "$n does not serve streams"
done
head=$(curl -s "http://127.0.0.1:$STORE/control/counts" |
  grep -o '"e[0-9]*": *{[^}]*"leads": *true' | grep -o 'e[0-9]*' | head -1)
[ -n "$head" ] || cannot_run "no replica has a leader"
port=SERVER_$head
note "the replica is led by $head"

# Clients abandon a stream after a gap of 2 s.
stream a silent-a 3.2 &
one=$!
stream b silent-b 3.2 &
two=$!
sleep 1
if [ "$TROUBLE" = 1 ]; then
  curl -sf "http://127.0.0.1:$RELAY/silence/${!port}" >/dev/null ||
    cannot_run relay
  note "the open connections to $head go silent; new ones work"
fi
wait $one $two
end=$(now)
i=0
while [ "$(now)" -le $((end + RECOVER_MS)) ]; do
  i=$((i + 1))
  stream a "after-a-$i" 5; stream b "after-b-$i" 5; sleep 0.5
done
note "$RECOVER_MS ms later; from here on it counts"
served=0 first=0
for i in {1..12}; do
  for n in a b; do
    stream $n "late-$n-$i" 5
    [ "$ANSWER" = "200 20" ] && served=$((served + 1))
    call $n /safe/x
    [ "${ANSWER%% *}" = 200 ] && first=$((first + 1))
  done
  sleep 0.3
done
curl -s -H 'X-Lapisline-Expect-Instance: '"$head" \
  "http://127.0.0.1:${!port}/report" >/dev/null &&
  note "$head answers GET /report through the relay"
for n in a b; do
  grep -hE 'place_stalled|servers_changed|duty_gained' "$TMP/$n.log" |
    sed "s/^/node $n: /" >>"$RECORD"
  tail -1 "$TMP/$n.log" | sed "s/^/node $n, last line: /" >>"$RECORD"
done
note "served of 24: /tell/ (added later) $served, /safe/ (first route) $first"
[ $((4 * served)) -ge "$first" ]
