#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
# Writes what was sent, answered and run to record.txt beside this file.
cd "$(dirname "$0")/../.." || exit 2
rm -f review/7/record.txt
exec review/standins-2/target/release/review-standins-2 overlap review/7/record.txt
