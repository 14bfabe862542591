#!/bin/bash
# Builds the stand-ins that the scripts of cases 4 to 8 start, and the plays shown beside them, into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go test -c -tags review -o target/review-2/fakeplatform ./review/fakeplatform
go test -c -tags review -o target/review-2/yard ./review/yard
go test -c -tags review -o target/review-2/rowsite ./review/rowsite
