#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review3/standins3 ] || exit 2
exec target/review3/standins3 -record review/12/record.txt silent-snapshot
