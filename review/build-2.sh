#!/usr/bin/env bash
# The stand-ins of cases 6 to 10 are plain JavaScript without dependencies, so there is nothing to compile; this checks that they parse.
set -euo pipefail
cd "$(dirname "$0")"
for file in {6,7,8,9,10}/*.mjs; do node --check "$file"; done
