#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/peathollow ] && [ -x target/stand-2 ] || exit 2
exec target/stand-2 names "$(pwd)/review/5"
