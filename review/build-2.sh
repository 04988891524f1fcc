#!/bin/sh
# Checks the stand-ins and scripts of cases 6 to 10. They are plain JavaScript and Perl and need no build; the programs come from
# the build of the deploy file.
cd "$(dirname "$0")/.." || exit 1
for file in review/standins-2/*.js review/6/*.js review/7/*.js review/8/*.js review/9/*.js review/10/*.js; do
    [ -f "$file" ] || continue
    node --check "$file" || exit 1
done
for program in target/auburnpass-direct.js target/auburnpass-rank-agent.js; do
    [ -f "$program" ] || { echo "$program is missing: run the build of deploy/system.toml" >&2; exit 1; }
done
