#!/usr/bin/env bash
# Builds the programs of the cases, with the stand-ins that they start, into review/dist.
set -euo pipefail
cd "$(dirname "$0")/.."
build() {
    npx --no-install esbuild "$1" --bundle --platform=node --target=node20 --format=esm --log-level=warning --outfile="$2"
}
build review/lib/flood.mjs review/dist/flood.mjs
for entry in review/[1-9]/case.mjs; do
    build "$entry" "review/dist/case-$(basename "$(dirname "$entry")").mjs"
done
