#!/bin/sh
# Runs case 7; see claim.txt. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without
# the disruption.
cd "$(dirname "$0")/../.." || exit 2
test -x bin/turnfork && test -x review/bin/cases2 || { echo "build the project, then run review/build-2.sh"; exit 2; }
exec review/bin/cases2 policy-lost review/7
