#!/bin/bash
# Play a soak with many seeds, some side by side.
# usage: tools/soak.sh FIRST LAST [SECONDS] [JOBS] [NODES|KIND]
# Without NODES the soak of two nodes under load; with it that of so many
# (18 usual, up to 64) at which operators put versions in force; with
# KIND "restores" that of three nodes whose store comes back from older copies,
# with "partitions" that of a node that is partitioned from all servers, with
# "crashing_parts" that of servers that crash under a part of prompts, with
# "uneven_load" that of evacuated zones and cold servers, with "silent" that of
# servers that pause and go on, of SOAK_NODES nodes and SOAK_SERVERS servers.
# Prints the seeds that fail and keeps their output in soak-SEED.log, and what
# the nodes logged in soak-SEED/.
set -u
cd "$(dirname "$0")/.."
export SOAK_SECONDS=${3:-10}
export PROGRAM=build/t/t9401-soak TEST=promises_hold_under_faults
case "${5:-}" in
  restores | partitions | crashing_parts | uneven_load)
    TEST=promises_hold_under_$5 ;;
  silent)
    PROGRAM=build/t/t9403-soak-silent TEST=requests_survive_silent_servers ;;
  ?*)
    PROGRAM=build/t/t9402-soak-versions
    TEST=versions_are_in_force_under_faults
    export SOAK_NODES=$5 ;;
esac
make -s "$PROGRAM" build/lapisline build/standin || exit 1

play () {
  export SOAK_LOGS=soak-$1
  mkdir -p "$SOAK_LOGS"
  if SOAK_SEED=$1 "$PROGRAM" --verbose=1 --filter "*/$TEST" \
      >"soak-$1.log" 2>&1; then
    grep -h "seed $1:" "soak-$1.log"
    rm -rf "soak-$1.log" "$SOAK_LOGS"
  else
    echo "seed $1 failed: soak-$1.log"
  fi
}
export -f play
seq "$1" "$2" | xargs -n 1 -P "${4:-4}" bash -c 'play "$0"'
