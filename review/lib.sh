# Shell functions for the scripts of review/.  A script sets `here` to its own
# folder and sources this file; all processes that it starts end with it.
cd "$here/../.."
temp=$(mktemp -d)
record=$here/record.txt
: >"$record"
pids=()

note () { echo "$*" >>"$record"; }

finish ()
{
  local code=$?
  trap - EXIT
  for p in "${pids[@]}"; do kill -9 "$p" 2>>"$temp/kill"; done
  wait 2>>"$temp/kill"
  rm -rf "$temp"
  exit "$code"
}
trap finish EXIT
trap 'exit 2' INT TERM

# cannot_run REASON: the case couldn't run
cannot_run ()
{
  note "could not run: $*"
  exit 2
}

for program in target/lapisline build/standin build/review/rack-replica \
  build/review/rack-caller; do
  [ -x "$program" ] || cannot_run "$program is missing: run the build of the" \
    "deploy file and review/build.sh"
done

# control JSON: a call to the control interface of the platform's stand-in
control ()
{
  exec 3<>"/dev/tcp/${platform%:*}/${platform##*:}" || return 1
  printf 'POST /control/set HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s' \
    "${#1}" "$1" >&3
  grep -q '^HTTP/1.1 200' <&3
  local ok=$?
  exec 3>&-
  return $ok
}

start_platform ()
{
  build/standin rack --engines 0 --plain 0 >"$temp/platform" 2>&1 &
  pids+=($!)
  for _ in $(seq 100); do
    platform=$(sed -n 's/^ready rack http=\([^ ]*\) .*/\1/p' "$temp/platform")
    [ -n "$platform" ] && return
    sleep 0.1
  done
  cannot_run "the platform's stand-in did not start"
}

# start_replica N [SPOIL-FILE SPOIL-PER-MILLE]: service app; record in runs-N
start_replica ()
{
  local port
  port=$(build/review/rack-replica ports 1)
  build/review/rack-replica "i-$1" "$port" "$temp/runs-$1" "${@:2}" &
  pids+=($!)
  control "{\"entry\":{\"id\":\"i-$1\",\"value\":\"{\\\"service\\\":\\\"app\\\",\\\"address\\\":\\\"127.0.0.1:$port\\\",\\\"zone\\\":\\\"z1\\\",\\\"version\\\":\\\"v1\\\",\\\"capacity\\\":26,\\\"state\\\":\\\"ready\\\",\\\"cold_left_ms\\\":0,\\\"seq\\\":0,\\\"models\\\":[]}\"}}" \
    || cannot_run "the entry of replica $1 was not accepted"
}

configure ()
{
  control '{"config":{"version":1,"routes":[
    {"name":"s","host":"h","prefix":"/stream/","kind":"streaming","timeout_ms":8000,"goal_ms":400,"gap_goal_ms":250,"priority":1,"service":"app","max_attempts":2,"resumable":true},
    {"name":"o","host":"h","prefix":"/once/","kind":"non_idempotent","timeout_ms":1000,"goal_ms":150,"priority":2,"service":"app","max_attempts":1}],
    "services":[{"name":"app","health_path":"/h","max_conns":404}],
    "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
    "tenants":[{"name":"acc","api_keys":["k1"]}]}}' \
    || cannot_run "the configuration was not accepted"
}

# write_settings N BOOTSTRAP: as on a machine of the Ghalani fleet
write_settings ()
{
  local p
  mapfile -t p < <(build/review/rack-replica ports 4)
  front[$1]=127.0.0.1:${p[0]}
  ready[$1]=127.0.0.1:${p[1]}
  cat >"$temp/node-$1.json" <<EOF
{"node_name": "front-$1", "role": "node", "zone": "z1", "region": "r",
 "bootstrap": $2,
 "listen": {"front": "127.0.0.1:${p[0]}", "ready": "127.0.0.1:${p[1]}",
            "directory": "127.0.0.1:${p[2]}"},
 "port_range": [${p[3]}, ${p[3]}],
 "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260, "max_fds": 4100,
            "link_mbps": 1000.0},
 "bounds": {"drain_ms": 2000, "grace_s": 8, "config_apply_ms": 2000,
            "ttl_max_s": 5, "stall_ms": 4000, "retry_ratio": 0.2,
            "retry_slack": 134, "retry_window_s": 10, "ceiling_window_s": 5,
            "ceiling_over": 1.1},
 "platform": {"address": "$platform", "form": "kv", "writes_per_s": 400,
              "reads_per_s": 2000, "ttl_min_ms": 1000}}
EOF
}

# start_node N: the command of deploy/system.toml
start_node ()
{
  LAPISLINE_BOOT=$temp/node-$1.json target/lapisline serve \
    >>"$temp/node-$1.log" 2>&1 &
  node[$1]=$!
  pids+=($!)
  disown $!
}

# kill_node N: as by SIGKILL of the platform
kill_node ()
{
  kill -9 "${node[$1]}"
  while kill -0 "${node[$1]}" 2>>"$temp/wait"; do sleep 0.01; done
}

# is_ready N: the platform's check of the node
is_ready ()
{
  exec 4<>"/dev/tcp/${ready[$1]%:*}/${ready[$1]##*:}" || return 1
  printf 'GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n' >&4
  grep -q '^HTTP/1.1 200' <&4
  local ok=$?
  exec 4>&-
  return $ok
}

wait_ready ()
{
  for _ in $(seq 150); do
    is_ready "$1" 2>>"$temp/wait" && return
    sleep 0.1
  done
  cannot_run "node $1 did not become ready"
}
