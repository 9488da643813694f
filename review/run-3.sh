#!/usr/bin/env bash
# run-3.sh CASE: plays a script of the third review; called by run.sh in the
# folder of the case, which gets record.txt.
set -euo pipefail
case_name=$1
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/.."
[ -x target/bin/cq-hostd ] && [ -x target/bin/cq-case-3 ] || exit 2
temporary=$(mktemp -d)
trap 'rm -rf "$temporary"' EXIT
result=0
timeout -k 2 118 target/bin/cq-case-3 "$case_name" target/bin/cq-hostd \
	"$temporary" "$2/record.txt" || result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
