#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
[ -x "$root/target/foxtailtack" ] && [ -x "$root/target/review3" ] || { echo "build the deploy file and review/build-3.sh first" >&2; exit 2; }
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
timeout -k 2 117 "$root/target/review3" -program "$root/target/foxtailtack" -record record.txt -trouble="$trouble" home
code=$?
[ $code -le 1 ] || exit 2
exit $code
