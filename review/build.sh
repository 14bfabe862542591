#!/usr/bin/env bash
# Builds the stand-in that the scripts start. The system itself is built by the deploy file.
set -eu
cd "$(dirname "$0")/.."
go test -c -tags review -o review/bin/drill ./review/drill
