#!/usr/bin/env bash
# Plays a case: `run.sh CASE FOLDER`. Exit status: 0 if the rule held, 1 if it was broken, 2 if the case couldn't run.
# With TROUBLE=0 the disruption stays away.
set -u
root=$(cd "$(dirname "$0")/../.." && pwd)
program=$root/target/review-2/release/review-2
[ -x "$program" ] && [ -x "$root/target/release/cypressvaned" ] || exit 2
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
"$program" "$1" "$root" "$temporary" "$2/record.txt"
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
