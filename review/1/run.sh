#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out. Needs review/build.sh first.
cd "$(dirname "$0")/../.." || exit 2
[[ -x target/review/case1 && -x target/arbutusgate-gateway ]] || exit 2
exec target/review/case1 review/1/record.txt
