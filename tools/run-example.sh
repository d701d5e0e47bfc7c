#!/bin/sh
# Start the whole path on this machine, make one streamed completion and one
# booking call, print each answer with its outcome, stop what was started.
#
# usage: tools/run-example.sh [--keep]
set -eu

bin=build/lapisline
standin=build/standin
work=$(mktemp -d)
pids=
keep=${1:-}

# gone PID: it has ended (a child that nobody waited for is a zombie)
gone ()
{
  ! kill -0 "$1" 2>/dev/null \
    || grep -q '^State:[[:space:]]*Z' "/proc/$1/status" 2>/dev/null
}

stop_all ()
{
  status=$?
  trap - EXIT INT TERM
  for pid in $pids; do
    kill -TERM "$pid" 2>/dev/null || true
  done
  for pid in $pids; do
    if ! until_true 200 gone "$pid"; then
      echo "run: process $pid did not stop" >&2
      kill -KILL "$pid" 2>/dev/null || true
      status=1
    fi
  done
  rm -rf "$work"
  exit $status
}
trap stop_all EXIT
trap 'exit 130' INT TERM

die ()
{
  echo "run: $*" >&2
  exit 1
}

# until_true TENTHS COMMAND...: try until it succeeds
until_true ()
{
  left=$1
  shift
  until "$@"; do
    left=$((left - 1))
    [ "$left" -gt 0 ] || return 1
    sleep 0.1
  done
}

# start NAME COMMAND...: run in the background until its "ready" line shows
start ()
{
  name=$1
  shift
  "$@" >"$work/$name.out" 2>"$work/$name.err" &
  pids="$! $pids"
  until_true 100 grep -qs "^ready" "$work/$name.out" || {
    cat "$work/$name.err" >&2
    die "$name did not start"
  }
}

# port NAME KEY: address that a process printed in its ready line
port ()
{
  sed -n "s/^ready .*$2=\([^ ]*\).*/\1/p" "$work/$1.out"
}

# settings NODE ZONE CONTROL_PEER PEERS: settings file of one node
settings ()
{
  cat >"$work/$1.json" <<END
{ "node": "$1", "zone": "$2", "region": "local",
  "gateway": { "http": "127.0.0.1:0", "peer": "127.0.0.1:0" },
  "control": { "swim": "127.0.0.1:0", "peer": "$3", "admin": "127.0.0.1:0" },
  "store": { "endpoints": ["$store"], "prefix": "/lapisline/",
             "writes_per_s": 50, "reads_per_s": 200 },
  "platform": "$platform",
  "peers": [$4],
  "secret_file": "secret.txt",
  "log": { "format": "text", "level": "info" } }
END
}

digest ()
{
  printf %s "$1" | sha256sum | cut -d' ' -f1
}

head -c 24 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$work/secret.txt"

start store $standin store --listen 127.0.0.1:0
start vm-a1 $standin model --listen 127.0.0.1:0 --tokens 12 --token-ms 20
start vm-a2 $standin model --listen 127.0.0.1:0 --tokens 12 --token-ms 20
start soko-1 $standin service --listen 127.0.0.1:0
start platform $standin platform --listen 127.0.0.1:0
store=$(port store http)
platform=$(port platform http)

settings entry-1 hall-a 127.0.0.1:0 ""
start control-1 $bin control --settings "$work/entry-1.json"
peer1=$(port control-1 peer)
settings entry-2 hall-b 127.0.0.1:0 "\"$peer1\""
start control-2 $bin control --settings "$work/entry-2.json"
peer2=$(port control-2 peer)

# A gateway reaches its control at the port that the kernel gave.
settings entry-1 hall-a "$peer1" ""
settings entry-2 hall-b "$peer2" "\"$peer1\""
start gateway-1 $bin gateway --settings "$work/entry-1.json"
start gateway-2 $bin gateway --settings "$work/entry-2.json"
gw=$(port gateway-1 http)
admin=$(port control-1 admin)

cp -r examples/demo "$work/config"
cat >"$work/config/90-addresses.json" <<END
// Addresses that the kernel chose for this run.
// Nobody keeps an answer of this run, so a stop need not wait for its end.
{ "limits": { "address_ms": 1000 },
  "domains": { "hall-a-1": { "vms": {
    "vm-a1": { "addr": "$(port vm-a1 http)" },
    "vm-a2": { "addr": "$(port vm-a2 http)" } } } },
  "services": { "soko-api": { "backends": {
    "soko-1": { "addr": "$(port soko-1 http)" } } } },
  "accounts": { "broker-app": { "key_digests": ["$(digest demo-key)"] } },
  "operators": { "amina": { "token_digest": "$(digest demo-token)",
                            "role": "operator" } } }
END
printf demo-token >"$work/token"
LAPISLINE_ADMIN=$admin
LAPISLINE_TOKEN=$work/token
export LAPISLINE_ADMIN LAPISLINE_TOKEN

echo "== push the configuration"
$bin config push "$work/config" --settings "$work/entry-1.json" --who amina
$bin config status --wait

replica_whole ()
{
  $bin replica list --json | grep -q '"whole": *true'
}
echo "== replicas"
until_true 100 replica_whole || die "no whole replica"
$bin replica list

# call ARG...: curl as the demo account; head and body into a file
call ()
{
  curl -sS -N -i --max-time 20 -H 'Authorization: Bearer demo-key' "$@" \
    >"$work/answer"
}

# expect PATTERN: the last answer has such a line
expect ()
{
  grep -qi "$1" "$work/answer" || die "the answer lacks '$1'"
}

address_given ()
{
  call "http://$gw/v1/address?model=ghala-lm"
  address=$(sed -n 's/.*"address": *"\([^"]*\)".*/\1/p' "$work/answer")
  [ -n "$address" ]
}
echo "== which address to use"
until_true 100 address_given || die "no address"
cat "$work/answer"
echo

completed ()
{
  call "http://$address/v1/chat/completions" \
    -H 'Content-Type: application/json' \
    -d '{"model":"ghala-lm","stream":true,"messages":[{"role":"user","content":"Quote for bay 7"}]}'
  ! grep -q '^HTTP/1.1 503' "$work/answer"
}
echo "== one streamed completion"
until_true 50 completed || true
cat "$work/answer"
expect '^HTTP/1.1 200'
expect '\[DONE\]'
expect '"outcome": *"done"'

echo "== one booking, which must not run twice"
call "http://$address/svc/soko-api/bookings" -H 'Idempotency-Key: bay-7' \
  -H 'Content-Type: application/json' -d '{"bay":7}'
cat "$work/answer"
echo
expect '^lapis-outcome: done'

if [ "$keep" = --keep ]; then
  cat <<END

The system is up; Ctrl-C stops it.
  curl -N -H 'Authorization: Bearer demo-key' http://$gw/v1/chat/completions \\
    -d '{"model":"ghala-lm","stream":true,"messages":[{"role":"user","content":"hello"}]}'
  curl -H 'Authorization: Bearer demo-key' -H 'Idempotency-Key: bay-8' \\
    http://$gw/svc/soko-api/bookings -d '{"bay":8}'
  $bin replica list --admin $admin --token-file $work/token
END
  while :; do sleep 1; done
fi
echo "== done"
