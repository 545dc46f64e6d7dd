#!/usr/bin/env bash
# The stand-ins of the scripts are plain JavaScript and need no build; this checks that
# they and the program of the deploy file can be loaded. It needs no network.
set -eu
cd "$(dirname "$0")/.."
for file in review/stand_ins_2/*.mjs review/[4-6]/*.mjs; do
  [ -f "$file" ] && node --check "$file"
done
[ -f target/kelpstep.blob ] || echo 'target/kelpstep.blob is missing: build the deploy file first'
