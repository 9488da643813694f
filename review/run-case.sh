#!/bin/sh
# run-case.sh N: runs case N from the root of the repository, in a temporary
# folder, with its record in review/N/record.txt. Called by review/N/run.sh.
cd "$(dirname "$0")/.." || exit 2
[ -x target/bin/cq-hostd ] && [ -x "review/build/case-$1" ] || {
	echo "build first: make B=target hostd, then review/build.sh"
	exit 2
}
CASE_TMP=$(mktemp -d) || exit 2
trap 'rm -rf "$CASE_TMP"' EXIT
export CASE_TMP
CASE_RECORD=review/$1/record.txt timeout -k 2 118 "review/build/case-$1"
code=$?
[ -n "${KEEP:-}" ] && cp -r "$CASE_TMP" "$KEEP"
[ $code -le 2 ] || code=2
exit $code
