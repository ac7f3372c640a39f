#!/usr/bin/env bash
# Plays lots that are ended and whose items go on to engines.
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the
# disruption.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/hidden_end
[ -x "$program" ] && [ -x target/platform/eelgrassdoor_platform ] || exit 2
timeout -k 2 110 "$program" review/9/record.txt
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
