#!/bin/sh
# Runs one case: run-2.sh CASE FOLDER. Used by the run.sh of each case. Ends all processes that the case has started.
cd "$(dirname "$0")/.." || exit 2
program=target/review-2/release/standin-2
[ -x "$program" ] && [ -x target/release/hollylanding ] || { echo "not built: see the deploy file and review/build-2.sh"; exit 2; }
CASE_TEMP=$(mktemp -d) || exit 2
export CASE_TEMP
finish() {
    if [ -f "$CASE_TEMP/pids" ]; then
        while read -r pid; do
            # Only a controller that this case has started: its arguments name the case's folder.
            [ -r "/proc/$pid/cmdline" ] || continue
            if tr '\0' ' ' <"/proc/$pid/cmdline" | grep -qF "$CASE_TEMP"; then kill -9 "$pid" 2>/dev/null; fi
        done <"$CASE_TEMP/pids"
    fi
    rm -rf "$CASE_TEMP"
}
trap finish EXIT
trap 'kill -9 "$case" 2>/dev/null; exit 2' INT TERM HUP
"$program" "$1" "$2" &
case=$!
wait "$case"
exit $?
