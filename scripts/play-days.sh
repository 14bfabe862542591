#!/usr/bin/env bash
# Plays every day under hunts/days and deploy/days on the given sites and lists broken rules.
# usage: scripts/play-days.sh BENCH SEED SITE...
set -euo pipefail
cd "$(dirname "$0")/.."
bench=$1 seed=$2
shift 2
output=$(mktemp -d)
for site in "$@"; do
  for day in hunts/days/*.toml deploy/days/*.toml; do echo "$site $day"; done
done | xargs -P "${JOBS:-5}" -L 1 sh -c \
  '"$0" run "$3" "$4" --seed "$1" --why "own days" >"$2/$(basename "$3" .toml)--$(basename "$4" .toml).txt" 2>&1 || true' \
  "$bench" "$seed" "$output"
for report in "$output"/*.txt; do
  line=$(grep -A1 '^day ' "$report" | tail -n 1 || true)
  printf '%s %s\n' "$(basename "$report" .txt)" "${line:-no result: $(tail -n 1 "$report")}" | cut -c1-230
  grep -E '^rules broken|exits of its own$' "$report" | grep -v -- '-0.0000  0.0 exits' || true
done
echo "reports: $output"
