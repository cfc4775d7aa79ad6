#!/usr/bin/env bash
# Plays the case beside this file. Exit code: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0 leaves the
# disruption out. It needs the build of deploy/system.toml and review/build.sh.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/currantward ] && [ -x target/review-harness ] || exit 2
exec target/review-harness spec review/4/record.txt
