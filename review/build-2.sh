#!/usr/bin/env bash
# Checks the stand-ins and the scripts of cases 6 to 10. They are plain Node.js
# modules without dependencies, so there is nothing else to build.
set -euo pipefail
cd "$(dirname "$0")"
for module in stand_ins_2/*.mjs [6-9]/*.mjs 10/*.mjs; do
  if [ -e "$module" ]; then node --check "$module"; fi
done
