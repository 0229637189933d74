#!/usr/bin/env bash
# Installs missing dependencies, builds, and runs one session of the consultation program through real processes.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d node_modules ] || npm ci --silent
npm run --silent build
exec node --import=tsx tools/demo/demo.ts
