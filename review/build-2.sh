#!/usr/bin/env bash
# Builds the programs that play the cases 6 to 10, with their stand-ins. It needs nothing but the Go tool chain.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../bin
export GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local
(cd standins-2 && go build -o ../../bin/review-2-play .)
(cd standins-3 && go build -o ../../bin/review-3-play .)
(cd standins-4 && go build -o ../../bin/review-4-play .)
(cd standins-5 && go build -o ../../bin/review-5-play .)
