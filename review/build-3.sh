#!/usr/bin/env bash
# The stand-ins of the cases 11 to 15 are plain JavaScript in review/support-3/, which Node.js runs as it is: nothing has
# to be built. This checks that each file can be parsed. The sidecar comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/support-3/*.mjs review/1[1-5]/case.mjs; do
    node --check "$file"
done
[ -f target/bilberrycroft-sidecar.cjs ] || echo "target/ lacks the program of the deploy file; build that first"
