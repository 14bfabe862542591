#!/usr/bin/env bash
# Plays one case: run-case.sh CASE FOLDER. Exits with 1 if the rule was broken, 0 if it held, and 2 if
# the case couldn't run.
cd "$(dirname "$0")/.." || exit 2
if [ ! -x review/bin/drill ] || [ ! -x target/wheatroadd ]; then
  echo "run the build of deploy/system.toml and review/build.sh first"
  exit 2
fi
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
timeout --signal=TERM --kill-after=5 115 review/bin/drill -case "$1" -trouble="$trouble" -record "review/$2/record.txt"
result=$?
case $result in
0 | 1) exit "$result" ;;
*) exit 2 ;;
esac
