#!/bin/bash
# usage: tools/bench-claims.sh [OPTION of 'lapisline bench bookings'...]
#
# Start a store stand-in, two services and eight gateways with their control
# processes, and measure bookings without and with an Idempotency-Key.
# Prints the store's calls of the claims and their bytes.  Everything runs on
# loopback and ends with the measurement.
set -u
cd "$(dirname "$0")/.." || exit 1
nodes=8
dir=$(mktemp -d)
pids=()
stop () {
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$dir"
}
trap stop EXIT

# Wait for the ready line in file $1; print the address under key $2.
address () {
  for _ in $(seq 100); do
    sed -n "s/^ready .* *$2=\([^ ]*\).*/\1/p" "$1" | grep . && return
    sleep 0.1
  done
  echo "not ready: $(cat "$1")" >&2
  exit 1
}

build/standin store >"$dir/store" &
pids+=($!)
store=$(address "$dir/store" http) || exit 1
services=()
for i in 1 2; do
  build/standin service >"$dir/service-$i" &
  pids+=($!)
  services+=("$(address "$dir/service-$i" http)") || exit 1
done

key=bench-key
mkdir "$dir/conf"
cat >"$dir/conf/10-bench.json" <<EOF
{ "services": { "soko-api": { "mode": "route", "capacity": 1000,
      "rules": [ { "method": "POST", "path_prefix": "/bookings",
                   "idempotent": false } ],
      "backends": {
        "soko-1": { "addr": "${services[0]}", "zone": "bench" },
        "soko-2": { "addr": "${services[1]}", "zone": "bench" } } } },
  "accounts": { "bench": { "may": ["*"],
      "key_digests": ["$(printf %s $key | sha256sum | cut -d' ' -f1)"] } } }
EOF
echo bench-secret-of-this-run >"$dir/secret.txt"

# settings NODE CONTROL-PEER: the node's settings file
settings () {
  cat >"$dir/$1.json" <<EOF
{ "node": "$1", "zone": "bench", "region": "bench",
  "gateway": { "http": "127.0.0.1:0", "peer": "127.0.0.1:0" },
  "control": { "swim": "127.0.0.1:0", "peer": "$2",
    "admin": "127.0.0.1:0" },
  "store": { "endpoints": ["$store"] }, "peers": [$first],
  "secret_file": "secret.txt", "log": { "level": "error" } }
EOF
}

first=
gateways=()
for i in $(seq $nodes); do
  settings "entry-$i" 127.0.0.1:0
  build/lapisline control --settings "$dir/entry-$i.json" \
    >"$dir/control-$i" &
  pids+=($!)
  peer=$(address "$dir/control-$i" peer) || exit 1
  settings "entry-$i" "$peer"
  build/lapisline gateway --settings "$dir/entry-$i.json" \
    >"$dir/gateway-$i" &
  pids+=($!)
  gateways+=(--gateway "$(address "$dir/gateway-$i" http)") || exit 1
  [ -n "$first" ] || first="\"$peer\""
done
build/lapisline config push "$dir/conf" --store "$store" --who bench \
  >/dev/null || exit 1
sleep 8 # until every gateway's view names them all

count () {
  curl -sf "http://$store/control/counts" | tr -d '\n'
  echo
}

echo "store before: $(count)"
timeout 200 build/lapisline bench bookings "${gateways[@]}" --key "$key" \
  --path /svc/soko-api/bookings "$@"
echo "store after: $(count)"
echo "claims of all gateways:"
for i in $(seq $nodes); do
  curl -sf "http://${gateways[$((2 * i - 1))]}/metrics"
done | awk '/^lapisline_claim_[a-z]*_total/ { n[$1] += $2 }
  END { for (name in n) printf "  %s %d\n", name, n[name] }' | sort
