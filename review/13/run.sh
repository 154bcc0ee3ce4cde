#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
set -u
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
[ -f target/bilberrycroft-sidecar.cjs ] || { echo "the program of the deploy file isn't built"; exit 2; }
timeout --kill-after=5 110 node "$folder/case.mjs"
case $? in
    0) exit 0 ;;
    11) exit 1 ;;
    *) exit 2 ;;
esac
