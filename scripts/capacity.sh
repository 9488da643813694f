#!/bin/sh
# Computes the capacity of each role at the target size.
#
#   make bench >bench.jsonl
#   scripts/capacity.sh bench.jsonl [docs/capacity/targets.tsv]
#
# Prints Markdown tables. Slopes come from the bench output only; one that is
# not in it shows as "not measured yet", and a sum that misses one is a lower
# bound ("at least").
set -eu
bench=$1
targets=${2:-$(dirname "$0")/../docs/capacity/targets.tsv}
slopes=$(mktemp)
trap 'rm -f "$slopes"' EXIT
jq -r 'select(.value != null) | [.bench + "/" + .metric, .value] | @tsv' \
	"$bench" >"$slopes"
awk -F '\t' -f "$(dirname "$0")/capacity.awk" "$targets" "$slopes"
