#!/bin/bash
# usage: t/run-tests.sh BINARY...
#
# Run Criterion test programs side by side, print the output of those that
# fail, and end with one line "N passed, N failed".  Exits 1 when a test
# failed that KNOWN-RED.txt doesn't list.  TEST_JOBS bounds how many programs
# run at once.
set -u
cd "$(dirname "$0")/.." || exit 1

known_red=KNOWN-RED.txt
jobs=${TEST_JOBS:-$(($(nproc) / 2 + 1))}

export UBSAN_OPTIONS=print_stacktrace=1
export G_SLICE=always-malloc

# A program that hangs outside of a test would hold the whole run.
run_one () {
  timeout -k 5 300 "$1" --ascii --jobs 2 >"$1.log" 2>&1 </dev/null
  echo $? >"$1.status"
}
export -f run_one
printf '%s\0' "$@" | xargs -0 -n 1 -P "$jobs" bash -c 'run_one "$0"'

# Value of one word of Criterion's summary line.
summary () {
  sed -n "s/.*Synthesis: Tested:.* $1: \([0-9]*\).*/\1/p" "$2.log" | tail -1
}

# Leaks and undefined behaviour are reported after Criterion has counted the
# test as passed, or by a process that the test started.
sanitizer_report='ERROR: (Leak|Address)Sanitizer|runtime error:'

passed=0
failed=0
red=()
for t in "$@"; do
  ok=$(summary Passing "$t")
  bad=$(summary Failing "$t")
  passed=$((passed + ${ok:-0}))
  failed=$((failed + ${bad:-0}))
  names=$(sed -n 's/^\[FAIL\] \([^ ]*\): .*/\1/p' "$t.log" | sort -u)
  if [ -z "$ok" ] || { [ "${bad:-0}" = 0 ] && [ "$(cat "$t.status")" != 0 ]; }
  then
    failed=$((failed + 1))
    names="$names $t::status-$(cat "$t.status")"
  elif [ "${bad:-0}" = 0 ] && grep -qE "$sanitizer_report" "$t.log"; then
    failed=$((failed + 1))
    names="$names $t::sanitizer-report"
  fi
  for name in $names; do
    red+=("$name")
  done
  if [ -n "${names// /}" ]; then
    echo "== $t"
    cat "$t.log"
  fi
done

status=0
known=
if [ -s "$known_red" ]; then
  known=$(sed 's/: .*//' "$known_red")
  echo "known red:"
  cat "$known_red"
fi
for name in "${red[@]}"; do
  if grep -qxF -- "$name" <<<"$known"; then
    echo "failed, known red: $name"
  else
    echo "failed: $name"
    status=1
  fi
done
echo "$passed passed, $failed failed"
exit $status
