#!/usr/bin/env bash
# play.sh NAME FOLDER TROUBLE plays a case: it ends with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't
# run. FOLDER/record.txt has what was sent, answered and run. With TROUBLE 0 it plays it without the disruption.
set -u
name=$1 folder=$2
export TROUBLE=$3
cd "$(dirname "$0")/.." || exit 2
ROOT=$PWD
RUN=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' deploy/balancer.toml)
export ROOT RUN
[ -n "$RUN" ] && [ -x bin/dunestep ] && [ -x review/bin/standins ] || { echo "build first: see the deploy file's build, and review/build.sh"; exit 2; }
cd "review/$folder" || exit 2
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
trap 'rm -rf "$TMPDIR"' EXIT
timeout -k 2 117 "$ROOT/review/bin/standins" "$name"
status=$?
case $status in
  0 | 1) exit $status ;;
  *) exit 2 ;;
esac
