#!/usr/bin/env bash
# The stand-ins of the cases are plain JavaScript on Node.js alone, so nothing is bundled: this checks that all of them, and the
# programs of the deploy file that the scripts start, can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/*.js */run.js; do
    node --check "$file"
done
test -f ../target/auburnpass-direct.js || { echo "run the build of the deploy file first" >&2; exit 2; }
