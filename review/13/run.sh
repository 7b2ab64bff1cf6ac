#!/bin/sh
# DRAIN: the connections to the store go silent for good, and a runner leaves just after.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no silence.
cd "$(dirname "$0")/../.." || exit 2
folder=$(mktemp -d) || exit 2
review/standins-3/target/release/silent_watch "${RECORD_FOLDER:-review/13}" "$folder"
result=$?
rm -rf "$folder"
case $result in 0 | 1) exit $result ;; *) exit 2 ;; esac
