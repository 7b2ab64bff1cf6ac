#!/bin/sh
# BUDGET: a request that crashes runners comes again from a client that repeats at once and often.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: the client waits for each answer.
cd "$(dirname "$0")/../.." || exit 2
folder=$(mktemp -d) || exit 2
review/standins-3/target/release/crashing_request "${RECORD_FOLDER:-review/13}" "$folder"
result=$?
rm -rf "$folder"
case $result in 0 | 1) exit $result ;; *) exit 2 ;; esac
