#!/usr/bin/env bash
cd "$(dirname "$0")/../.." || exit 2
exec timeout --signal=TERM --kill-after=5 115 node review/6/play.mjs
