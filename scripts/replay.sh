#!/bin/sh
# Compares the placement policy of stages with baseline policies and an upper
# bound on replayed job traces, and prints Markdown tables. The replay uses
# virtual time, so the results are reproducible.
#
#   scripts/replay.sh [BUILD]
set -eu
build=${1:-build}
jobs=$(mktemp -d)
trap 'rm -rf "$jobs"' EXIT
# Runs one process for each deployment and load.
for deployment in 0 1; do
	for load in 0 1 2 3 4; do
		echo "$deployment $load"
	done
done | xargs -P 4 -L 1 sh -c \
	'"$0"/bench/bench_replay table "$2" "$3" >"$1/$2-$3"' "$build" "$jobs"
cat "$jobs"/*
