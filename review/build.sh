#!/usr/bin/env bash
# The stand-ins of the cases are plain scripts of Node.js without dependencies;
# only their syntax is checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand_ins/*.mjs [1-5]/*.mjs; do
  if [ -e "$file" ]; then node --check "$file"; fi
done
