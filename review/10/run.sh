#!/usr/bin/env bash
# 1: the rule was broken, 0: it held, 2: the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -e review/target/standin-2/review/RestartInRollout.class ] && [ -e entry/target/entry.jsa ] || exit 2
exec java -Xmx2g -cp review/target/standin-2 review.RestartInRollout review/10/record.txt
