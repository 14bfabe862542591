#!/usr/bin/env bash
# Plays the regression runs: the score of every site below, then a hunt on it.
# usage: scripts/regression.sh BENCH FOLDER-OF-SITES WHY [SITE...]
# JOBS bounds the days that are played at once.
set -euo pipefail
cd "$(dirname "$0")/.."
bench=$1 folder=$2 why=$3
shift 3

# site days-of-hunt: the largest site first; one of 60 machines or more is hunted 8 days.
sites="large/sahil-wheatroad-large 8
further-grown/kmcb-wheatroad-grown 40
grown/sahil-wheatroad-grown 40
grown/tcpuc-wheatroad-grown 40
further/kmcb-wheatroad 40"

output=$(mktemp -d)
while read -r site days; do
  if [ $# -gt 0 ] && [[ " $* " != *" $site "* ]]; then continue; fi
  name=$(basename "$site")
  "$bench" score "$folder/$site.toml" --jobs "${JOBS:-4}" --why "$why" >"$output/$name-score.txt" 2>&1 || true
  "$bench" hunt "$folder/$site.toml" --days "$days" --jobs "${JOBS:-4}" --why "$why" >"$output/$name-hunt.txt" 2>&1 || true
  grep -E '^(quiet|trouble|scale|fresh)-|^GATE' "$output/$name-score.txt" | cut -c1-80 || true
  grep -E 'with a rule broken|BROKEN' "$output/$name-hunt.txt" | cut -c1-200 || echo "$name: no result of the hunt"
done <<<"$sites"
echo "reports: $output"
