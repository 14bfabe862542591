#!/usr/bin/env bash
# Plays every kept seed of hunts/seeds.txt again and lists broken rules.
# usage: scripts/replay-seeds.sh BENCH FOLDER-OF-SITES
set -euo pipefail
cd "$(dirname "$0")/.."
bench=$1 sites=$2
failed=0
while read -r site day seed rule _; do
  case $site in '#'*|'') continue ;; esac
  report=$("$bench" run "$(find "$sites" -name "$site-wheatroad.toml" | head -n 1)" "$day" --seed "$seed" --why "kept seed ($rule)" 2>&1)
  if grep -q 'BROKEN' <<<"$report"; then
    failed=1
    grep 'BROKEN' <<<"$report" | cut -c1-200
  else
    echo "$site $day $seed holds ($rule)"
  fi
done < hunts/seeds.txt
exit $failed
