# Shared by the scripts of review/4 and later: starts the platform's stand-in
# and nodes on loopback addresses.  Sourced after cd to the repository's root
# with $CASE set to the folder of the case.
set -u
TROUBLE=${TROUBLE:-1}
TMP=$(mktemp -d)
RECORD=$CASE/record.txt
PIDS=()
: >"$RECORD"

finish () {
  local code=$?
  for p in "${PIDS[@]}"; do kill -CONT "$p"; kill -KILL "$p"; done 2>/dev/null
  wait 2>/dev/null || true
  rm -rf "$TMP"
  exit $code
}
trap finish EXIT

# Milliseconds since the start of the script.
START=$(date +%s%3N)
now () { echo $(($(date +%s%3N) - START)); }
note () { printf '%7d ms  %s\n' "$(now)" "$*" >>"$RECORD"; }
cannot_run () { note "cannot run: $*"; echo "cannot run: $*" >&2; exit 2; }

for file in target/lapisline build/standin build/review-2/rack-relay; do
  [ -x "$file" ] || cannot_run "$file is not built"
done

# Port numbers of five digits, none of them twice.
PORTS=()
new_port () { # NAME
  local p
  while :; do
    p=$((20000 + RANDOM % 10000))
    [[ " ${PORTS[*]-} " == *" $p "* ]] && continue
    (exec 3<>"/dev/tcp/127.0.0.1/$p") 2>/dev/null || break
  done
  PORTS+=("$p")
  printf -v "$1" %s "$p"
}

start_platform () { # ENGINES PLAIN
  new_port STORE
  build/standin rack --listen "127.0.0.1:$STORE" --engines "$1" \
    --plain "$2" >"$TMP/rack.log" 2>&1 &
  PIDS+=($!)
  for _ in {1..100}; do
    grep -qs ready "$TMP/rack.log" && return
    sleep 0.05
  done
  cannot_run "the platform's stand-in does not start"
}

platform () { # JSON
  curl -sf -m 5 -o /dev/null "http://127.0.0.1:$STORE/control/set" -d "$1" \
    || cannot_run "the platform's stand-in does not answer"
}

# Bounds are those of sites/ghalani-lapis.toml.
write_settings () { # NAME STORE_PORT PEER_PORT LINK_MBPS
  local n=$1
  new_port "FRONT_$n"; new_port "READY_$n"; new_port "DIRECTORY_$n"
  local f=FRONT_$n r=READY_$n d=DIRECTORY_$n
  cat >"$TMP/$n.json" <<END
{"node_name": "front-$n", "role": "node", "machine_class": "front",
 "serves": ["front", "registry"], "ip": "127.0.0.1",
 "zone": "z1", "region": "r", "zones": {"z1": "r"}, "bootstrap": false,
 "listen": {"front": "127.0.0.1:${!f}", "ready": "127.0.0.1:${!r}",
            "directory": "127.0.0.1:${!d}"},
 "port_range": [$3, $3], "heartbeat_ms": 1200, "entry": "registry",
 "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260, "max_fds": 4100,
            "link_mbps": $4, "disk_mb": 0},
 "bounds": {"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000,
  "ack_ms": 4000, "sync_s": 4, "drain_ms": 2000, "grace_s": 8,
  "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250,
  "stretch_max_ms": 5000, "strict_revoke": false, "revoke_ms": 5000,
  "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 134,
  "recover_s": 12, "pass_ms": 120, "retry_after_s": 0, "stall_ms": 4000,
  "fencing": true, "ceiling_window_s": 5, "ceiling_over": 1.1,
  "ttl_max_s": 5},
 "platform": {"address": "127.0.0.1:$2", "form": "kv", "writes_per_s": 400,
  "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576,
  "ttl_min_ms": 1000}}
END
}

start_node () { # NAME
  LAPISLINE_BOOT=$TMP/$1.json target/lapisline serve >>"$TMP/$1.log" 2>&1 &
  PIDS+=($!)
  printf -v "PID_$1" %s $!
}

# One request of the client; prints its status and, if the answer is an app
# server's, the server's id.
COUNT=0
call () { # NODE PATH
  local f=FRONT_$1 status server
  COUNT=$((COUNT + 1))
  status=$(curl -s -m 5 -o "$TMP/answer" -w '%{http_code}' \
    -H 'Host: h' -H "X-Lapisline-Request-Id: r$COUNT" -H 'X-Api-Key: k1' \
    -H 'X-Lapisline-Deadline-Ms: 3000' -X POST -d hello \
    "http://127.0.0.1:${!f}$2") || status="none ($status)"
  server=$(sed -n 's/.*"server":"\([^"]*\)".*/\1/p' "$TMP/answer" 2>/dev/null)
  rm -f "$TMP/answer"
  ANSWER="$status ${server:--}"
  note "client: r$COUNT POST $2 at $1 -> $ANSWER"
}

configure () { # VERSION [MORE_ROUTES]
  platform '{"config": {"version": '"$1"', "routes": [
    {"name": "s", "host": "h", "prefix": "/stream/", "kind": "streaming",
     "timeout_ms": 8000, "goal_ms": 1000, "gap_goal_ms": 500, "priority": 1,
     "service": "lm", "max_attempts": 3, "resumable": true},
    {"name": "o", "host": "h", "prefix": "/once/", "kind": "non_idempotent",
     "timeout_ms": 1500, "goal_ms": 300, "priority": 2, "service": "app",
     "max_attempts": 2},
    {"name": "f", "host": "h", "prefix": "/safe/", "kind": "idempotent",
     "timeout_ms": 3000, "goal_ms": 300, "priority": 2, "service": "app",
     "max_attempts": 2}'"${2-}"'],
   "services": [
    {"name": "lm", "health_path": "/h", "engine": {"capacity": 8,
     "loads_per_s": 10, "models": [{"name": "big", "size": 3, "share": 1,
     "pace": 1, "load_s": 0.4, "warm_s": 0.1}]}},
    {"name": "app", "health_path": "/h"}],
   "limits": {"max_header_bytes": 16384, "max_body_bytes": 10000,
    "header_timeout_ms": 5000, "idle_timeout_ms": 60000},
   "tenants": [{"name": "acc", "api_keys": ["k1"]}]}}'
}

wait_until_served () { # NODE PATH
  for _ in {1..100}; do
    call "$1" "$2"
    [ "${ANSWER%% *}" = 200 ] && return
    sleep 0.1
  done
  cannot_run "$1 does not serve"
}

# A sound server of service "app" (rack-server), listed as i-NUMBER.
entry () { # NUMBER STATE
  local p=SERVER_$1
  platform '{"entry": {"id": "i-'"$1"'", "value": "{\"service\": \"app\", \"address\": \"127.0.0.1:'"${!p}"'\", \"zone\": \"z1\", \"version\": \"v1\", \"capacity\": 26, \"state\": \"'"$2"'\", \"cold_left_ms\": 0, \"seq\": 1, \"born\": 1700000000000}"}}'
}
remove_entry () { # NUMBER
  curl -sf -m 5 -o /dev/null "http://127.0.0.1:$STORE/kv-txn" \
    -H 'Content-Type: application/json' \
    -d '{"expected": [], "writes": [], "remove": ["servers/i-'"$1"'"]}' ||
    cannot_run "the entry of i-$1 can't be removed"
}
start_server () { # NUMBER WORK_MS
  new_port "SERVER_$1"
  local p=SERVER_$1
  build/review-2/rack-server "${!p}" "i-$1" "$2" "$TMP/servers.log" &
  PIDS+=($!)
  printf -v "PID_i$1" %s $!
  sleep 0.1
  entry "$1" ready
}

# Several requests at the same time; prints how many were sent.
calls () { # NODE PATH COUNT
  local i
  for ((i = 0; i < $3; i++)); do
    COUNT=$((COUNT + 1))
    (
      f=FRONT_$1 id=r$COUNT
      status=$(curl -s -m 5 -o "$TMP/answer-$id" -w '%{http_code}' \
        -H 'Host: h' -H "X-Lapisline-Request-Id: $id" -H 'X-Api-Key: k1' \
        -H 'X-Lapisline-Deadline-Ms: 4000' -X POST -d hello \
        "http://127.0.0.1:${!f}$2") || status="none ($status)"
      note "client: $id POST $2 at $1 -> $status $(tr -d '\n' <"$TMP/answer-$id")"
      [ "${status%% *}" = 200 ] || echo "$id" >>"$TMP/failed"
    ) &
    CALLS+=($!)
  done
}
