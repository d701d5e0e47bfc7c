#!/bin/bash
# What control costs and how fast it is, with real processes on loopback.
#
# usage: tools/measure-control.sh [NODES...]            (default 8 16 32)
#   SEED=N       order of pushes, kills and freezes  (default 1)
#   SECONDS_IDLE=N  window of the cost figures       (default 20)
#   PUSHES=N     configuration changes               (default 10; more with
#                tools/measure-spread.sh)
#   FREEZES=N    nodes stopped for 1 to 5 s          (default 10)
#   KILLS=N      nodes killed                        (default 3)
#   OUT=FILE     append one CSV row a size
#
# Bounded in time: about 2.5 minutes a size with the defaults.  Ends only what
# it started.
set -euo pipefail
cd "$(dirname "$0")/.."

sizes=(${@:-8 16 32})
seed=${SEED:-1}
window=${SECONDS_IDLE:-20}
pushes=${PUSHES:-10}
freezes=${FREEZES:-10}
kills=${KILLS:-3}
out=${OUT:-/dev/null}
bin=$PWD/build/lapisline
standin=$PWD/build/standin
work=
pids=()

die () { echo "measure-control: $*" >&2; exit 1; }

stop_all () {
  local pid
  for pid in "${pids[@]}"; do
    kill -CONT "$pid" 2>/dev/null || true
    kill -KILL "$pid" 2>/dev/null || true
  done
  for pid in "${pids[@]}"; do
    wait "$pid" 2>/dev/null || true
  done
  pids=()
  [ -z "$work" ] || rm -rf "$work"
  work=
}
trap stop_all EXIT

start () { # NAME COMMAND...
  local name=$1 i
  shift
  "$@" >"$work/$name.out" 2>"$work/$name.err" &
  pids+=($!)
  for ((i = 0; i < 200; i++)); do
    grep -qs ^ready "$work/$name.out" && return
    sleep 0.05
  done
  cat "$work/$name.err" >&2
  die "$name did not start"
}

port () { sed -n "s/^ready .*$2=\([^ ]*\).*/\1/p" "$work/$1.out"; }

metrics () { curl -s --max-time 5 "http://${admin[$1]}/metrics"; }

alive () { metrics "$1" | sed -n 's/^lapisline_control_nodes{status="alive"} //p'; }

# Milliseconds of the day of each "time" in JSON log lines.
times () {
  sed -n 's/.*"time":"[^T]*T\([0-9]*\):\([0-9]*\):\([0-9.]*\)Z.*/\1 \2 \3/p' \
    | awk '{ printf "%d\n", ($1 * 3600 + $2 * 60 + $3) * 1000 }'
}
now_ms () { date -u +'%H %M %S.%3N' | awk '{ printf "%d\n", ($1 * 3600 + $2 * 60 + $3) * 1000 }'; }

# quantile Q: of the numbers on standard input
quantile () { sort -n | awk -v q="$1" '{ a[NR] = $1 } END { if (NR) { i = int(q * NR + 0.999); if (i < 1) i = 1; print a[i] } else print "-" }'; }

settings () { # INDEX
  local zone=$(($1 % 10))
  cat >"$work/n$1.json" <<END
{ "node": "entry-$1", "zone": "zone-$zone", "region": "local",
  "gateway": { "http": "127.0.0.1:0", "peer": "127.0.0.1:0" },
  "control": { "swim": "127.0.0.1:0", "peer": "127.0.0.1:0",
               "admin": "127.0.0.1:0" },
  "store": { "endpoints": ["$store"], "prefix": "/lapisline/",
             "writes_per_s": 20, "reads_per_s": 60 },
  "peers": [$peers], "secret_file": "secret.txt",
  "log": { "format": "json", "level": "info" } }
END
}

config () { # NUMBER: a folder that differs from the one before
  mkdir -p "$work/config"
  cp examples/nairobi/*.json "$work/config/"
  cat >"$work/config/90-change.json" <<END
{ "limits": { "queue_ms": $((9000 + $1)) },
  "operators": { "measure": { "role": "operator", "token_digest":
    "$(printf measure | sha256sum | cut -d' ' -f1)" } } }
END
}

push () { # prints the revision
  "$bin" config push "$work/config" --store "$store" --prefix /lapisline/ \
    --who measure | sed -n 's/.*revision \([0-9]*\).*/\1/p'
}

sum_of () { # PATTERN FILES...: sum of the metrics whose name matches
  local pattern=$1
  shift
  cat "$@" | awk -v p="$pattern" '$0 ~ p { s += $NF } END { printf "%.3f\n", s }'
}

wait_adopted () { # REVISION NODES
  local i
  for ((i = 0; i < 300; i++)); do
    [ "$(grep -l "config_adopted.*\"revision\":$1[,}]" "$work"/n*.err | wc -l)" -ge "$2" ] && return 0
    sleep 0.05
  done
  return 1
}

measure_pushes () {
  local i r t0 missed=0
  : >"$work/spread"
  for ((i = 1; i <= pushes; i++)); do
    config "$i"
    t0=$(now_ms)
    r=$(push)
    [ -n "$r" ] || die "push $i was not accepted"
    wait_adopted "$r" "$n" || missed=$((missed + 1))
    grep -h "config_adopted.*\"revision\":$r[,}]" "$work"/n*.err | times \
      | awk -v t="$t0" '{ print $1 - t }' >>"$work/spread"
  done
  spread50=$(quantile 0.5 <"$work/spread")
  spread99=$(quantile 0.99 <"$work/spread")
  spread_missed=$missed
}

sample () { # NAME
  local i
  for ((i = 0; i < n; i++)); do
    metrics "$i" >"$work/$1.$i"
  done
}

measure_cost () {
  local t0 t1
  sample before
  t0=$(now_ms)
  sleep "$window"
  sample after
  t1=$(now_ms)
  cost=$(awk -v n="$n" -v ms=$((t1 - t0)) \
    -v c0="$(sum_of '^lapisline_control_cpu_seconds_total' "$work"/before.*)" \
    -v c1="$(sum_of '^lapisline_control_cpu_seconds_total' "$work"/after.*)" \
    -v s0="$(sum_of '^lapisline_control_bytes_total.*swim.*out' "$work"/before.*)" \
    -v s1="$(sum_of '^lapisline_control_bytes_total.*swim.*out' "$work"/after.*)" \
    -v b0="$(sum_of '^lapisline_control_bytes_total.*out' "$work"/before.*)" \
    -v b1="$(sum_of '^lapisline_control_bytes_total.*out' "$work"/after.*)" \
    -v k0="$(sum_of '^lapisline_control_store_calls_total' "$work"/before.*)" \
    -v k1="$(sum_of '^lapisline_control_store_calls_total' "$work"/after.*)" \
    -v r="$(sum_of '^lapisline_control_resident_bytes' "$work"/after.*)" \
    'BEGIN { s = ms / 1000; printf "%.3f,%.2f,%.2f,%.2f,%.1f\n", 100 * (c1 - c0) / s / n, (s1 - s0) / s / n / 1000, (b1 - b0) / s / n / 1000, (k1 - k0) / s, r / n / 1048576 }')
}

dead_lines () { grep -h member_dead "$work"/n*.err || true; }

dead_of () { # PATTERN: reports of the death of members whose name matches
  dead_lines | grep -cE "\"member\":\"$1\"" || true
}

# Reports of a stopped node's death are right as far as anyone can tell;
# false are those that name a node which ran all the time.
measure_freezes () {
  local i victim all mine
  false_dead=0
  frozen_dead=0
  for ((i = 0; i < freezes; i++)); do
    victim=$((RANDOM % n))
    all=$(dead_of '.*')
    mine=$(dead_of "entry-$victim")
    kill -STOP "${node_pid[$victim]}"
    sleep "$((1 + RANDOM % 4)).$((RANDOM % 10))"
    kill -CONT "${node_pid[$victim]}"
    sleep 6
    mine=$(($(dead_of "entry-$victim") - mine))
    false_dead=$((false_dead + $(dead_of '.*') - all - mine))
    frozen_dead=$((frozen_dead + mine))
  done
}

measure_kills () {
  local i victim t0
  : >"$work/detect"
  for ((i = 0; i < kills; i++)); do
    victim=$((n - 1 - i))
    t0=$(now_ms)
    kill -KILL "${node_pid[$victim]}"
    wait "${node_pid[$victim]}" 2>/dev/null || true
    sleep 15
    dead_lines | grep "\"member\":\"entry-$victim\"" | times \
      | awk -v t="$t0" '$1 >= t { print $1 - t }' >>"$work/detect"
  done
  detect50=$(quantile 0.5 <"$work/detect")
  detect99=$(quantile 0.99 <"$work/detect")
  detect_n=$(wc -l <"$work/detect")
}

run_size () {
  local i j
  n=$1
  RANDOM=$seed
  work=$(mktemp -d)
  head -c 24 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$work/secret.txt"
  start store "$standin" store --listen 127.0.0.1:0
  store=$(port store http)
  peers=
  admin=()
  node_pid=()
  for ((i = 0; i < n; i++)); do
    settings "$i"
    start "n$i" "$bin" control --settings "$work/n$i.json"
    node_pid+=(${pids[-1]})
    admin+=("$(port "n$i" admin)")
    [ "$i" -gt 1 ] || peers="${peers:+$peers, }\"$(port "n$i" peer)\""
  done
  for ((j = 0; j < 300; j++)); do
    [ "$(alive $((n - 1)))" = "$n" ] && [ "$(alive 0)" = "$n" ] && break
    sleep 0.2
  done
  [ "$(alive 0)" = "$n" ] || die "node 0 sees $(alive 0) of $n nodes"
  config 0
  push >/dev/null
  sleep 3
  measure_cost
  measure_pushes
  measure_freezes
  measure_kills
  echo "nodes=$n cpu%,swim kB/s,all kB/s per node; store calls/s; RSS MB = $cost"
  echo "  in force after a push: p50 $spread50 ms p99 $spread99 ms, $pushes pushes, not everywhere in 15 s: $spread_missed"
  echo "  death told: p50 $detect50 ms p99 $detect99 ms ($detect_n reports of $kills kills)"
  echo "  $freezes freezes of 1 to 5 s: $frozen_dead reports of the stopped node's death, $false_dead of a running node's"
  echo "$n,$cost,$spread50,$spread99,$detect50,$detect99,$false_dead" >>"$out"
  stop_all
}

echo "measure-control: $("$bin" version), revision $(git describe --always --dirty 2>/dev/null), seed $seed, window ${window} s"
for size in "${sizes[@]}"; do
  run_size "$size"
done
