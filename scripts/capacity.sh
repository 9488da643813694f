#!/bin/sh
# Computes the resources that each role needs at the target size.
#
#   make bench >bench.jsonl
#   scripts/capacity.sh bench.jsonl [docs/capacity/targets.tsv]
#
# Prints Markdown tables. The unit costs ("slopes") are read from the benchmark
# output. One that is missing there is printed as "not measured yet", and a sum
# without it as a lower bound ("at least").
set -eu
bench=$1
targets=${2:-$(dirname "$0")/../docs/capacity/targets.tsv}
slopes=$(mktemp)
trap 'rm -f "$slopes"' EXIT
jq -r 'select(.value != null) | [.bench + "/" + .metric, .value] | @tsv' \
	"$bench" >"$slopes"
awk -F '\t' -f "$(dirname "$0")/capacity.awk" "$targets" "$slopes"
