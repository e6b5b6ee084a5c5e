#!/bin/sh
# Exit 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0: no disruption.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -f target/review/CaseKeys.class ] || exit 2
exec java -cp target/review CaseKeys "$here/record.txt"
