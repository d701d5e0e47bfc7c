#!/bin/bash
# Play the soak with many seeds, some side by side.
# usage: tools/soak.sh FIRST LAST [SECONDS] [JOBS]
# Prints the seeds that fail and keeps their output in soak-SEED.log.
set -u
cd "$(dirname "$0")/.."
export SOAK_SECONDS=${3:-10}
make -s build/t/t9401-soak build/lapisline build/standin || exit 1

play () {
  if SOAK_SEED=$1 build/t/t9401-soak >"soak-$1.log" 2>&1; then
    rm -f "soak-$1.log"
  else
    echo "seed $1 failed: soak-$1.log"
  fi
}
export -f play
seq "$1" "$2" | xargs -n 1 -P "${4:-4}" bash -c 'play "$0"'
