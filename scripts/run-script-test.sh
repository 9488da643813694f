#!/bin/sh
# Runs one script test, NAME.sh, and compares its standard output with the
# expected output in NAME.exp.
set -u
script=$1
expected=${script%.sh}.exp
actual=$(mktemp)
trap 'rm -f "$actual"' EXIT
sh "$script" >"$actual"
status=$?
if ! diff -u "$expected" "$actual"; then
	echo "output differs from $expected"
	exit 1
fi
exit "$status"
