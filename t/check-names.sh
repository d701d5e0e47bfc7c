#!/bin/sh
# Names of the platform's wire stand in platform/ only: header names, keys,
# paths and fields are decoded there once, into this project's own words.
# usage: t/check-names.sh [FOLDER]   default: the project's root
set -eu
cd "${1:-$(dirname "$0")/..}"

# Words that have no other use in this project's sources.
words='x-lapisline-|lapisline_boot|kv-(key|range|watch|txn|lease|keep)|op/config'
words="$words|store_revision|api_keys|kv_capacity"
words="$words|gap_goal_ms|cold_left_ms|port_range|ttl_max_s"

# The stand-in of the platform and the tests against it speak its wire.
found=$(grep -rniE "$words" --include='*.[ch]' . \
  --exclude-dir=platform --exclude-dir=build --exclude-dir=target \
  --exclude-dir=t --exclude='rack*.[ch]' --exclude='*.pb-c.[ch]' || true)
found=$(printf '%s\n' "$found" | grep -v '^\./config/settings\.c:' || true)
if [ -n "$found" ]; then
  echo "names of the platform outside platform/:"
  printf '%s\n' "$found"
  exit 1
fi
