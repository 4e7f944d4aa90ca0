#!/usr/bin/env bash
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/dogwoodvalve ] && [ -x review/target/pause ] || exit 2
exec timeout --kill-after=5 115 review/target/pause review/5/record.txt
