#!/usr/bin/env bash
# A failure without end in answer to a stream. Exits with 1 if LOST was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves out that answer.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[[ -x target/app/ibislock && -x target/review/endless ]] || { echo "build first: the deploy file, review/build.sh"; exit 2; }
directory=$(mktemp -d) || exit 2
trap 'rm -rf "$directory"' EXIT
# The daemons end with the program that starts them.
timeout -s KILL 110 target/review/endless "$directory" "$here/record.txt" &
case=$!
trap 'kill -TERM $case; wait $case; exit 2' INT TERM
wait $case
verdict=$?
[[ -z ${KEEP_LOGS:-} ]] || cp -r "$directory" "$KEEP_LOGS"
((verdict <= 2)) || verdict=2
exit "$verdict"
