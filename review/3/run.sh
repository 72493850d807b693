#!/bin/sh
# Plays the case: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
number=$(basename "$here")
program=$root/review/standins/target/release/review-case
run=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' "$root/deploy/balancer.toml")
temp=$(mktemp -d) || exit 2
timeout -k 2 112 "$program" "$number" "$root" "$temp" "$here/record.txt" "$run"
code=$?
# What is left of the processes that the case has started, if it was ended itself.
for pid in $(cat "$temp/pids" 2>/dev/null); do
    [ "$(cat "/proc/$pid/comm" 2>/dev/null)" = fawnstream ] && kill -9 "$pid"
done
rm -rf "$temp"
[ "$code" -le 2 ] || code=2
exit "$code"
