#!/bin/bash
# One answer of a faulty server has one byte too many: a space after its
# Content-Length.  Eight requests of other clients are running at a sound server
# then.  TROUBLE=0: the same answer without that byte.
CASE=$(cd "$(dirname "$0")" && pwd)
cd "$CASE/../.."
. review/lib-2.sh

CLIENTS=8 WORK_MS=1000 CONTACT_MS=3000

entry () { # ID SERVICE PORT
  platform '{"entry": {"id": "'"$1"'", "value": "{\"service\": \"'"$2"'\", \"address\": \"127.0.0.1:'"$3"'\", \"zone\": \"z1\", \"version\": \"v1\", \"capacity\": 26, \"state\": \"ready\", \"cold_left_ms\": 0, \"seq\": 1, \"born\": 1700000000000}"}}'
}

start_platform 0 0
new_port SOUND; new_port FAULTY; new_port PEER_A
suffix=()
[ "$TROUBLE" = 1 ] && suffix=(" ")
build/review-2/rack-server "$SOUND" i-sound $WORK_MS "$TMP/servers.log" &
PIDS+=($!)
build/review-2/rack-server "$FAULTY" i-faulty 10 "$TMP/servers.log" \
  "${suffix[@]}" &
PIDS+=($!)
sleep 0.2
entry i-sound app "$SOUND"
entry i-faulty other "$FAULTY"
platform '{"config": {"version": 1, "routes": [
  {"name": "o", "host": "h", "prefix": "/once/", "kind": "non_idempotent",
   "timeout_ms": 5000, "goal_ms": 2000, "priority": 1, "service": "app",
   "max_attempts": 1},
  {"name": "f", "host": "h", "prefix": "/safe/", "kind": "idempotent",
   "timeout_ms": 5000, "goal_ms": 2000, "priority": 1, "service": "other",
   "max_attempts": 1}],
 "services": [{"name": "app", "health_path": "/h"},
              {"name": "other", "health_path": "/h"}],
 "limits": {"max_header_bytes": 16384, "max_body_bytes": 10000,
  "header_timeout_ms": 5000, "idle_timeout_ms": 60000},
 "tenants": [{"name": "acc", "api_keys": ["k1"]}]}}'
write_settings a "$STORE" "$PEER_A" 1000
start_node a
wait_until_served a /once/x
started=$(now)
while [ "$(now)" -le $((started + CONTACT_MS)) ]; do sleep 0.1; done
note "node a has run undisturbed for $CONTACT_MS ms"

# Two requests one after the other on one connection.
client () { # NUMBER
  curl -s -m 8 -o /dev/null -o /dev/null -w '%{http_code} %{exitcode}\n' \
    -H 'Host: h' -H 'X-Api-Key: k1' -H 'X-Lapisline-Deadline-Ms: 5000' \
    -H "X-Lapisline-Request-Id: c$1-1" -X POST -d hello \
    "http://127.0.0.1:$FRONT_a/once/x" \
    --next -s -m 8 -o /dev/null -w '%{http_code} %{exitcode} %{num_connects}\n' \
    -H 'Host: h' -H 'X-Api-Key: k1' -H 'X-Lapisline-Deadline-Ms: 5000' \
    -H "X-Lapisline-Request-Id: c$1-2" -X POST -d hello \
    "http://127.0.0.1:$FRONT_a/once/x" >"$TMP/client-$1"
}
waiting=()
for ((i = 1; i <= CLIENTS; i++)); do client $i & waiting+=($!); done
# All first requests are answered, and the second ones run.
sleep 1.5
call a /safe/x
wait "${waiting[@]}"
lost=0
for ((i = 1; i <= CLIENTS; i++)); do
  { read -r one; read -r two; } <"$TMP/client-$i"
  note "client: c$i-1 -> $one; c$i-2 on the same connection -> $two"
  [ "${one%% *}" = 200 ] && [ "${two%% *}" = 000 ] &&
    grep -q "server i-sound: runs c$i-2$" "$TMP/servers.log" &&
    lost=$((lost + 1))
done
kill -0 "$PID_a" 2>/dev/null && note "node a's process runs" ||
  note "node a's process has ended by itself"
cat "$TMP/servers.log" >>"$RECORD"
grep -v '^{' "$TMP/a.log" >>"$RECORD"
note "requests passed on from kept connections to the sound server," \
  "whose connection was closed without an answer: $lost"
[ "$lost" -le 3 ]
