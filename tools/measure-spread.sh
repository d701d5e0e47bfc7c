#!/bin/sh
# Measure how long an accepted configuration takes to every control process.
#
# usage: tools/measure-spread.sh NODES PUSHES [FOLDER]
#
# Starts the store's stand-in and NODES control processes in three zones,
# pushes FOLDER (examples/nairobi) PUSHES times with one file changed, and
# prints for how long after the command's answer the last node had each
# revision (or a higher one) in force, the store's calls by kind, and memory.
set -eu

nodes=$1
pushes=$2
folder=${3:-examples/nairobi}
bin=$PWD/build/lapisline
work=$(mktemp -d)
pids=

stop_all ()
{
  trap - EXIT INT TERM
  for pid in $pids; do
    kill -KILL "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap stop_all EXIT
trap 'exit 130' INT TERM

# ready FILE KEY: wait for the ready line; the address under KEY
ready ()
{
  left=200
  until grep -q '^ready' "$1"; do
    left=$((left - 1))
    [ $left -gt 0 ] || { echo "$1 is not ready" >&2; exit 1; }
    sleep 0.05
  done
  sed -n "s/^ready .*$2=\([^ ]*\).*/\1/p" "$1"
}

build/standin store --listen 127.0.0.1:0 >"$work/store.out" &
pids="$! $pids"
store=$(ready "$work/store.out" http)
control=$(ready "$work/store.out" control)
head -c 24 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$work/secret.txt"

peers=
i=1
while [ $i -le "$nodes" ]; do
  cat >"$work/n$i.json" <<END
{ "node": "n$i", "zone": "zone-$((i % 3))", "region": "local",
  "control": { "swim": "127.0.0.1:0", "peer": "127.0.0.1:0",
               "admin": "127.0.0.1:0" },
  "store": { "endpoints": ["$store"] }, "peers": [$peers],
  "secret_file": "secret.txt", "log": { "format": "json" } }
END
  "$bin" control --settings "$work/n$i.json" >"$work/n$i.out" \
    2>"$work/n$i.err" &
  pids="$! $pids"
  if [ $i -eq 1 ]; then
    peers="\"$(ready "$work/n1.out" peer)\""
  fi
  i=$((i + 1))
done
i=1
while [ $i -le "$nodes" ]; do
  ready "$work/n$i.out" peer >/dev/null
  i=$((i + 1))
done
sleep 5

cp -r "$folder" "$work/folder"
rm -f "$work/folder/.lapisline-revision"

calls ()
{
  curl -sS "http://$control/control/counts"
}

echo "calls before: $(calls)"
i=1
while [ $i -le "$pushes" ]; do
  echo "{ \"limits\": { \"max_queue\": $((1000 + i)) } }" \
    >"$work/folder/99-change.json"
  "$bin" config push "$work/folder" --store "$store" --who measure \
    >"$work/push.out" || { cat "$work/push.out"; exit 1; }
  now=$(date -u +%H:%M:%S.%3N)
  sed -n "s/^accepted at revision \([0-9]*\)$/$now \1/p" "$work/push.out" \
    >>"$work/pushes"
  sleep 0.3
  i=$((i + 1))
done
sleep 8
# The store's stand-in is the last of the list.
for pid in ${pids% *}; do
  cat "/proc/$pid/status"
done | awk '/^VmRSS/ { sum += $2; n++ }
  END { printf "resident memory of a control process: %d KB on average\n", sum / n }'
echo "calls after:  $(calls)"

cat "$work"/n*.err | grep '"event":2001' \
  | sed 's/.*T\([0-9:.]*\)Z.*"node":"\([^"]*\)".*"revision":\([0-9]*\).*/\1 \3 \2/' \
    >"$work/adopted"
awk -v nodes="$nodes" '
function ms (t,  p)
{
  split (t, p, ":")
  return (p[1] * 3600 + p[2] * 60 + p[3]) * 1000
}
NR == FNR { at[FNR] = ms($1); rev[FNR] = $2; n = FNR; next }
{
  for (i = 1; i <= n; i++)
    if ($2 >= rev[i] && (!((i, $3) in first) || ms($1) < first[i, $3]))
      first[i, $3] = ms($1)
}
END {
  for (i = 1; i <= n; i++) {
    worst = 0
    have = 0
    for (k in first) {
      split (k, p, SUBSEP)
      if (p[1] != i)
        continue
      have++
      d = first[k] - at[i]
      if (d > worst)
        worst = d
    }
    if (have < nodes)
      missing++
    delay[i] = worst
  }
  for (i = 2; i <= n; i++)
    for (j = i; j > 1 && delay[j - 1] > delay[j]; j--) {
      t = delay[j]; delay[j] = delay[j - 1]; delay[j - 1] = t
    }
  printf "nodes %d, pushes %d, not everywhere %d: last node after p50 %d ms, p99 %d ms, most %d ms\n", \
    nodes, n, missing + 0, delay[int((n + 1) / 2)], \
    delay[int(n * 0.99 + 0.999)], delay[n]
}' "$work/pushes" "$work/adopted"
