#!/usr/bin/env bash
# Runs each case five times with the disruption and twice without, and reports how it ended.
cd "$(dirname "$0")" || exit 2
for c in "${@:-6 7 8 9 10}"; do
  for n in $c; do
    [ -x "$n/run.sh" ] || continue
    line="case $n:"
    for _ in 1 2 3 4 5; do "$n/run.sh" >/dev/null 2>&1; line="$line $?"; done
    line="$line; TROUBLE=0:"
    for _ in 1 2; do TROUBLE=0 "$n/run.sh" >/dev/null 2>&1; line="$line $?"; done
    echo "$line"
  done
done
