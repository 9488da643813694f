#!/bin/sh
# Runs every benchmark of a build directory and prints their JSON lines on
# standard output.
set -eu
build=${1:-build}
for f in "$build"/bench/bench_*; do
	case $f in *.o | *.d) continue ;; esac
	timeout 300 "$f"
done
