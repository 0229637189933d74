#!/bin/sh
# The stand-ins of the cases are plain modules in review/lib and the folders of the cases; they need no build, only a check of their syntax.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file"
done
