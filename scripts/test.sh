#!/usr/bin/env bash
# Installs missing dependencies, lints, builds and tests; the last line of the output is "N passed, N failed".
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d node_modules ] || npm ci --silent
npm run --silent lint
npm run --silent build
npm run --silent bundle
results=$(mktemp)
trap 'rm -f "$results"' EXIT
code=0
CI=true npx mocha --reporter json --reporter-option output="$results" "$@" > /dev/null || code=$?
exec node scripts/report.js "$results" "$code" KNOWN-RED.txt
