#!/bin/sh
# Plays the case of this folder: exit code 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/standin ] || { echo "run review/build.sh first" >&2; exit 2; }
exec review/bin/standin only-worker review/5
