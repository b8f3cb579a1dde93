#!/usr/bin/env bash
# Ends with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0: without the disruption.
exec bash "$(dirname "$0")/../play.sh" upload 1 "${TROUBLE:-1}"
