#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start; needs the installed dependencies, no network.
set -e
cd "$(dirname "$0")/.."
npm run -s build
