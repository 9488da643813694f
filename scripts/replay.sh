#!/bin/sh
# Replays job lists through the plan of stages, beside baselines and an upper
# bound; prints Markdown tables. Virtual time: the figures repeat.
#
#   scripts/replay.sh [BUILD]
set -eu
build=${1:-build}
jobs=$(mktemp -d)
trap 'rm -rf "$jobs"' EXIT
# One process for each deployment and load.
for deployment in 0 1; do
	for load in 0 1 2 3 4; do
		echo "$deployment $load"
	done
done | xargs -P 4 -L 1 sh -c \
	'"$0"/bench/bench_replay table "$2" "$3" >"$1/$2-$3"' "$build" "$jobs"
cat "$jobs"/*
