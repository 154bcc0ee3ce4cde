#!/usr/bin/env bash
# Builds the stand-ins that the cases 6 to 10 start, into dist/review-2/. Needs only the installed packages.
set -euo pipefail
cd "$(dirname "$0")/.."
./node_modules/.bin/esbuild review/lib-2/standins.ts --bundle --platform=node --target=node20 --format=esm \
    --outfile=dist/review-2/standins.mjs --log-level=warning
