#!/bin/bash
# Build the stand-ins that the scripts of review/4 and later start.  The
# product is built by the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
make -j"$(nproc)" build/standin
mkdir -p build/review-2
gcc -std=gnu11 -O2 -Wall -Wextra -Werror -o build/review-2/rack-relay \
  review/rack-relay.c
gcc -std=gnu11 -O2 -Wall -Wextra -Werror -o build/review-2/rack-server \
  review/rack-server.c
gcc -std=gnu11 -O2 -Wall -Wextra -Werror -o build/review-2/rack-flood \
  review/rack-flood.c
