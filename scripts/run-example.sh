#!/usr/bin/env bash
# Starts the platform's stand-in and three daemons on free loopback ports, takes
# jobs of several kinds through them, stops one daemon the planned way, and leaves
# nothing running. Exits 0 only if every step held.
set -euo pipefail
cd "$(dirname "$0")/.."

folder=$(mktemp -d)
declare -A process
cleanup() {
  local status=$?
  for name in "${!process[@]}"; do kill -TERM "${process[$name]}" 2>/dev/null || true; done
  for name in "${!process[@]}"; do wait "${process[$name]}" 2>/dev/null || true; done
  if [ "$status" -ne 0 ]; then
    echo "FAILED with status $status; the last lines of each log:" >&2
    tail -n 15 "$folder"/*.log >&2 || true
  fi
  rm -rf "$folder"
  exit "$status"
}
trap cleanup EXIT

say() { printf '\n== %s\n' "$*"; }

# await FILE: waits until the file has content.
await() {
  for _ in $(seq 200); do [ -s "$1" ] && return 0; sleep 0.05; done
  echo "nothing wrote $1" >&2
  return 1
}

# expect TEXT PATTERN WHAT: fails unless the text matches.
expect() {
  if ! grep -qE -- "$2" <<<"$1"; then
    echo "expected $3, got:" >&2
    echo "$1" >&2
    return 1
  fi
}

say "start the platform's stand-in and three daemons"
bin/wheatroad-platform --cluster examples/replay/sahil.toml --address-file "$folder/platform" >"$folder/platform.log" 2>&1 &
process[platform]=$!
await "$folder/platform"
addresses=()
for n in 1 2 3; do
  sed "s|^\[http\]|&\naddress_file = \"$folder/node$n\"|" "examples/nodes/node$n.toml" >"$folder/node$n.toml"
  bin/wheatroadd check "$folder/node$n.toml" >/dev/null
  bin/wheatroadd run --platform-url "http://$(cat "$folder/platform")" "$folder/node$n.toml" >"$folder/node$n.log" 2>&1 &
  process[node$n]=$!
done
for n in 1 2 3; do await "$folder/node$n"; addresses+=("$(cat "$folder/node$n")"); done
one=${addresses[0]} two=${addresses[1]} three=${addresses[2]}
operator() { bin/wheatroadctl --key example-operator-key "$@"; }
for _ in $(seq 100); do
  owned=$(operator --address "$one" domains -o json 2>/dev/null | grep -c '"active": true' || true)
  [ "$owned" = 3 ] && break
  sleep 0.1
done
[ "$owned" = 3 ] || { echo "only $owned of 3 domains have an owner" >&2; exit 1; }

say "declare tenants, guarantees and quotas: plan, confirm, in force on all three"
operator validate examples/declarations
applied=$(operator --address "$two" apply examples/declarations)
echo "$applied"
expect "$applied" 'in force on all 3 nodes' 'the version in force on all 3 nodes'

say "submit through each daemon and follow to the end"
vibration() { bin/wheatroadctl --key example-vibration-key "$@"; }
payload='{"run_seconds":1.5,"output_bytes":1500000}'
gang=$(vibration --address "$one" submit --id gang --members 4 --accelerators 8 --spread rack --guaranteed --duration 2s --payload "$payload" --wait)
echo "$gang"; expect "$gang" 'gang .* finished .* ran' 'the gang to finish'
small=$(vibration --address "$two" submit --id small --accelerators 1 --duration 1s --payload '{"run_seconds":0.5}' --wait)
echo "$small"; expect "$small" 'small .* finished .* ran' 'the small job to finish'
urgent=$(vibration --address "$three" submit --id urgent --priority urgent --accelerators 2 --duration 1s --payload '{"run_seconds":0.5}' --wait)
echo "$urgent"; expect "$urgent" 'urgent .* finished .* ran' 'the urgent job to finish'
once=$(vibration --address "$one" submit --id once --once --accelerators 1 --duration 1s --payload '{"run_seconds":0.5}' --wait)
echo "$once"; expect "$once" 'once .* finished .* ran' 'the job not to be repeated to finish'
again=$(vibration --address "$two" submit --id once --once --accelerators 1 --duration 1s --payload '{"run_seconds":0.5}')
expect "$again" 'once .* finished .* 1 ' 'the repeated submission to find the same job'

say "whole answers: 4 members of 1,500,000 bytes each, and the small one"
size=$(vibration --address "$three" result vibration gang | wc -c)
echo "$size bytes"; [ "$size" -eq 6000000 ]
vibration --address "$three" result vibration small

say "refusals name the field"
refuse() { if vibration --address "$one" submit "$@" 2>"$folder/refusal"; then echo "not refused: $*" >&2; exit 1; fi; cat "$folder/refusal"; }
refuse --accelerators 9 --members 8 --spread rack
refuse --tenant imagery
refuse --id small --accelerators 3

say "queue, placements, guarantees and owners"
vibration --address "$one" submit --id long --members 2 --accelerators 8 --spread rack --duration 6s --payload '{"run_seconds":6}' >/dev/null
sleep 1
operator --address "$one" list
operator --address "$two" configuration
domains=$(operator --address "$three" domains)
echo "$domains"

say "stop the owner of the running job the planned way"
domain=$(operator --address "$one" status vibration long -o json | sed -n 's/.*"domain": "\(.*\)",/\1/p')
owner=$(awk -v d="$domain" '$1 == d { print $2 }' <<<"$domains")
echo "$domain is owned by $owner"
kill -TERM "${process[$owner]}"
wait "${process[$owner]}"
unset "process[$owner]"
for n in 1 2 3; do [ "node$n" = "$owner" ] || left=${addresses[$((n - 1))]}; done
long=$(vibration --address "$left" status vibration long --wait)
echo "$long"; expect "$long" 'long .* finished +1 +ran' 'the job to end well in its first attempt'
operator --address "$left" domains

say "all held"
