#!/bin/sh
# A minion starts again under its id, and an earlier heartbeat is written late.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/release/review-standin restart review/5/record.txt
