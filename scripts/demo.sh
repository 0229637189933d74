#!/usr/bin/env bash
# Installs what is missing, builds, and runs one Consultation through real processes.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d node_modules ] || npm ci --silent
npm run --silent build
exec node --import=tsx tools/demo/demo.ts
