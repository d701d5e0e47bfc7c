#!/bin/bash
# Builds the stand-ins that the scripts of review/ start.
set -euo pipefail
cd "$(dirname "$0")/.."
make -j"$(nproc)" build/standin
mkdir -p build/review
for name in rack-replica rack-caller; do
  gcc -std=gnu11 -O2 -g -Wall -Wextra -Werror -D_GNU_SOURCE \
    -o "build/review/$name" "review/$name.c" -lpthread
done
