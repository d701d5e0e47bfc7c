#!/bin/bash
# usage: tools/bench-path.sh [OPTION of 'lapisline bench path'...]
#
# Start a model stand-in and a gateway before it, and measure what the
# gateway adds.  Everything runs on loopback and ends with the measurement.
set -u
cd "$(dirname "$0")/.." || exit 1
dir=$(mktemp -d)
pids=()
stop () {
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null; done
  rm -rf "$dir"
}
trap stop EXIT

# Wait for the line "ready NAME KEY=ADDR..." of a program; print the address.
address () {
  for _ in $(seq 100); do
    sed -n 's/^ready .* *http=\([^ ]*\).*/\1/p' "$1" | grep . && return
    sleep 0.1
  done
  echo "not ready: $(cat "$1")" >&2
  exit 1
}

build/standin model --tokens 8 --no-counts >"$dir/model" &
pids+=($!)
model=$(address "$dir/model") || exit 1
build/standin service >"$dir/service" &
pids+=($!)
service=$(address "$dir/service") || exit 1
curl -sf -o /dev/null -d '{"silent":true}' "http://$service/control/set"
key=bench-key
cat >"$dir/10-bench.json" <<EOF
{ "domains": { "bench-1": { "zone": "bench",
      "vms": { "vm-1": { "addr": "$model" } } } },
  "models": { "ghala-lm": { "mode": "route", "vms": 1, "replicas": 1,
      "capacity": 6000, "tokens_per_s": 100000 } },
  "replicas": { "ghala-lm-1": { "model": "ghala-lm", "domain": "bench-1",
      "mode": "route", "vms": ["vm-1"] } },
  "services": { "stalled": { "mode": "route", "capacity": 8,
      "first_byte_ms": 600000, "progress_ms": 600000,
      "backends": { "stalled-1": { "addr": "$service", "zone": "bench" } } } },
  "accounts": { "bench": { "may": ["*"],
      "key_digests": ["$(printf %s $key | sha256sum | cut -d' ' -f1)"] } },
  "limits": { "max_streams": 6000, "max_queue": 6000, "queue_ms": 600000 } }
EOF
mkdir "$dir/conf" && mv "$dir/10-bench.json" "$dir/conf/"
echo bench-secret-of-this-run >"$dir/secret.txt"
cat >"$dir/settings.json" <<EOF
{ "node": "bench-1", "zone": "bench", "region": "bench",
  "gateway": { "http": "127.0.0.1:0", "peer": "127.0.0.1:0" },
  "control": { "swim": "127.0.0.1:0", "peer": "127.0.0.1:0",
    "admin": "127.0.0.1:0" },
  "store": { "endpoints": ["127.0.0.1:1"] },
  "secret_file": "secret.txt", "log": { "level": "error" } }
EOF
build/lapisline gateway --settings "$dir/settings.json" \
  --config "$dir/conf" >"$dir/gateway" &
gateway_pid=$!
pids+=($gateway_pid)
gateway=$(address "$dir/gateway") || exit 1
sleep 1.5
[ -z "${PROFILE:-}" ] || echo "gateway pid $gateway_pid"
timeout 300 build/lapisline bench path --direct "$model" \
  --gateway "$gateway" --gateway-pid "$gateway_pid" --key "$key" \
  --stalled stalled "$@"
