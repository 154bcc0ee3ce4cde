#!/usr/bin/env bash
# Builds the programs of the cases, with the stand-ins that they start, into review/dist.
set -euo pipefail
cd "$(dirname "$0")/.."
for entry in review/[1-5]/*.mjs; do
    name="case-$(basename "$(dirname "$entry")")"
    program="$(basename "$entry" .mjs)"
    [ "$program" = case ] || name="$name-$program"
    npx --no-install esbuild "$entry" --bundle --platform=node --target=node20 --format=esm --log-level=warning \
        --outfile="review/dist/$name.mjs"
done
