#!/usr/bin/env bash
# Runs the case from the project's root; TROUBLE=0 leaves the disruption out. Exit status: 1 broken, 0 held, 2 could not run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
program=build-review/case-$(basename "$here")
[ -x "$program" ] || { echo "run review/build.sh first"; exit 2; }
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 5 110 "$program" "$folder" "$here/record.txt"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
