#!/bin/bash
# Runs one case: run-case.sh CASE FOLDER. Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
# TROUBLE=0 leaves the disruption out. The record goes to FOLDER/record.txt.
review=$(cd "$(dirname "$0")" && pwd)
root=$(dirname "$review")
harness=$review/harness/target/release/review-harness
if [ ! -x "$harness" ] || [ ! -x "$root/target/release/hollylanding" ]; then
    echo "not built: run the build line of deploy/service.toml and review/build.sh" >&2
    exit 2
fi
folder=$(mktemp -d) || exit 2
# The harness and the controllers that it starts form a process group of their own, which is ended as a whole.
set -m
cd "$root" || exit 2
timeout -s KILL 118 "$harness" "$1" "$root" "$folder" "$2/record.txt" &
group=$!
set +m
trap 'kill -KILL -- "-$group" 2>/dev/null; rm -rf "$folder"' EXIT
trap 'exit 2' INT TERM HUP
wait "$group"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
