#!/bin/sh
# Print C source that holds every chart of a folder as a string.
set -eu
echo '#include <stddef.h>'
echo 'struct chart_source { const char *name; const char *json; };'
echo 'extern const struct chart_source chart_sources[];'
echo 'const struct chart_source chart_sources[] = {'
for f in "$1"/*.json; do
  [ -e "$f" ] || continue
  printf '  { "%s",\n' "$(basename "$f" .json)"
  sed -e 's/\\/\\\\/g' -e 's/"/\\"/g' -e 's/^/    "/' -e 's/$/\\n"/' "$f"
  echo '  },'
done
echo '  { NULL, NULL } };'
