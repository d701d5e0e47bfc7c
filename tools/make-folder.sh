#!/bin/sh
# Write a configuration folder of a given size, for measurements.
#
# usage: tools/make-folder.sh DIR REPLICAS VMS_EACH
#
# Fabric domains hold ten replicas each, in ten availability zones.
set -eu

mkdir -p "$1"
awk -v replicas="$2" -v vms="$3" 'BEGIN {
  print "{ \"models\": { \"big-lm\": { \"mode\": \"route\", \"vms\": " vms ","
  print "    \"replicas\": " replicas " } },"
  print "  \"domains\": {"
  domains = int((replicas + 9) / 10)
  for (d = 0; d < domains; d++) {
    printf "    \"zone-%d-domain-%02d\": { \"zone\": \"zone-%d\", \"vms\": {\n", \
      d % 10, d, d % 10
    for (v = 0; v < 10 * vms; v++)
      printf "      \"d%02d-vm-%03d\": { \"addr\": \"10.%d.%d.%d:9000\" }%s\n", \
        d, v, 20 + int(d / 200), d % 200, v + 1, v + 1 < 10 * vms ? "," : ""
    printf "    } }%s\n", d + 1 < domains ? "," : ""
  }
  print "  },\n  \"replicas\": {"
  for (r = 0; r < replicas; r++) {
    d = int(r / 10)
    printf "    \"big-lm-%03d\": { \"model\": \"big-lm\", \"mode\": \"route\",\n", r
    printf "      \"domain\": \"zone-%d-domain-%02d\", \"vms\": [", d % 10, d
    for (v = 0; v < vms; v++)
      printf "%s\"d%02d-vm-%03d\"", v ? ", " : "", d, (r % 10) * vms + v
    printf "] }%s\n", r + 1 < replicas ? "," : ""
  }
  print "  } }"
}' >"$1/10-fleet.json"
