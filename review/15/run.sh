#!/bin/sh
# Plays this case; see claim.txt. TROUBLE=0 plays it without the disruption. Exit: 1 the rule was broken, 0 it held, 2 it could not run.
cd "$(dirname "$0")" || exit 2
root=../..
[ -x "$root/target/review-3/stand3" ] && [ -x "$root/target/currantward" ] || exit 2
exec "$root/target/review-3/stand3" -case quarantine -record record.txt -bin "$root/target/currantward" -standin "$root/target/review-3/standin"
