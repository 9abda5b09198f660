#!/bin/sh
# five.sh [N]...: runs scripts five times with the disruption and once without it, and
# prints how often each failed.
cd "$(dirname "$0")" || exit 2
for n in ${*:-1 2 3 4 5}; do
	failed=0 could_not=0
	for i in 1 2 3 4 5; do
		./$n/run.sh >/dev/null 2>&1
		case $? in 1) failed=$((failed + 1)) ;; 2) could_not=$((could_not + 1)) ;; esac
	done
	TROUBLE=0 ./$n/run.sh >/dev/null 2>&1
	echo "case $n: failed $failed of 5, could not run $could_not; without the disruption: exit $?"
done
