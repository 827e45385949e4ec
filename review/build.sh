#!/usr/bin/env bash
# The stand-ins of the cases are plain JavaScript modules and need no build; this checks that Node.js can parse them.
set -euo pipefail
cd "$(dirname "$0")"
for file in [1-5]/*.mjs; do node --check "$file"; done
