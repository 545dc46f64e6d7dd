#!/usr/bin/env bash
# The stand-ins of the cases are plain modules: there is nothing to compile. This
# checks that each can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in *.mjs */*.mjs; do
  node --check "$file"
done
