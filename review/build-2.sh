#!/bin/bash
# Builds what the scripts of review/6 to review/10 start beside the gateway: their stand-ins are plain modules, so that only their syntax is checked.
cd "$(dirname "$0")/.." || exit 1
for file in review/harness-2/*.mjs review/{6,7,8,9,10}/run.mjs; do node --check "$file" || exit 1; done
