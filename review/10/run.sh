#!/bin/sh
# Runs case 10; see claim.txt. Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0: without the
# disruption.
cd "$(dirname "$0")/../.." || exit 2
test -x bin/turnfork && test -x bin/cases2 || exit 2
exec bin/cases2 http-ban review/10
