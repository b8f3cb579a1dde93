#!/usr/bin/env bash
# Builds the stand-ins that the cases start. It needs Go and no network: they use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
cd standins
CGO_ENABLED=0 GOTOOLCHAIN=local GOFLAGS=-mod=mod GOPROXY=off GOWORK=off go build -buildvcs=false -o ../bin/standins .
