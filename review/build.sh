#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They are plain modules that Node.js runs as they are, so that they are only checked here.
cd "$(dirname "$0")/.." || exit 1
for file in review/harness/*.mjs review/[1-5]/*.mjs; do node --check "$file" || exit 1; done
