#!/bin/sh
# Plays the case and writes record.txt beside this file. TROUBLE=0 leaves the disruption out.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-3/crash_and_losses
[ -x "$program" ] && [ -x target/dogwoodvalve ] || exit 2
exec "$program" review/15/record.txt
