#!/bin/sh
# play.sh CASE RECORD: plays a case in a temporary folder, and ends what it has started also if it is interrupted.
program=review/standin/target/release/review-cases
[ -x "$program" ] && [ -x target/release/almondcroft-platform ] || exit 2
TMPDIR=$(mktemp -d) || exit 2
REVIEW_PIDS=$TMPDIR/pids
: > "$REVIEW_PIDS"
export TMPDIR REVIEW_PIDS
end() {
    kill -9 "$played" $(cat "$REVIEW_PIDS") 2>/dev/null
    rm -rf "$TMPDIR"
    exit 2
}
trap end INT TERM HUP
"$program" "$1" "$2" &
played=$!
wait "$played"
code=$?
rm -rf "$TMPDIR"
exit "$code"
