#!/bin/sh
# Exits with 1 if EVAC was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no cut.
timeout -k 5 110 python3 "$(dirname "$0")/play.py"
result=$?
[ "$result" -le 2 ] || result=2
exit "$result"
