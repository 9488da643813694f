#!/bin/sh
# Runs every test of a build directory and prints one line per test.
# Tests named in KNOWN-RED.txt ("test: NAME") are run and printed, but their
# failure does not fail the run.
set -u
build=${1:-build}
top=$(cd "$(dirname "$0")/.." && pwd)
cd "$top" || exit 2
logs=$build/test-logs
mkdir -p "$logs"
export CQ_BUILD="$build"
export RC_PARAMS="${RC_PARAMS:-seed=20261204}"
export ASAN_OPTIONS="detect_leaks=0:abort_on_error=0"

is_known_red() {
	[ -f KNOWN-RED.txt ] && grep -qx "test: $1" KNOWN-RED.txt
}

run_one() {
	name=$1
	shift
	log="$logs/$(echo "$name" | tr '/' '_').log"
	if timeout 300 "$@" >"$log" 2>&1; then
		verdict=pass
	elif is_known_red "$name"; then
		verdict=known-red
	else
		verdict=FAIL
	fi
	echo "$verdict $name"
	echo "$verdict $name" >>"$logs/results"
	if [ "$verdict" = FAIL ]; then
		sed 's/^/    /' "$log" | tail -n 60
	fi
}

# Unit and property tests use only ephemeral ports, so they run in parallel.
# Script tests run in real time on the same host, so they run one at a time.
jobs=${CQ_TEST_JOBS:-4}
if [ "${CQ_RUN_ONE:-}" != "" ]; then
	run_one "$CQ_RUN_ONE" "$2"
	exit 0
fi
: >"$logs/results"
for f in "$build"/tests/unit/test_* "$build"/tests/property/prop_*; do
	case $f in *.o | *.d) continue ;; esac
	[ -x "$f" ] && echo "$f"
done | xargs -P "$jobs" -I{} sh -c \
	'CQ_RUN_ONE=$(basename {}) "$0" "$1" {}' "$0" "$build"
if [ "$build" = build ]; then
	for f in build-fuzz/fuzz_*; do
		[ -x "$f" ] || continue
		name=$(basename "$f")
		corpus=tests/fuzz/corpus/$name
		[ -d "$corpus" ] || corpus=
		# New inputs go to a scratch directory, so that every run
		# starts from the committed corpus alone.
		scratch=$logs/corpus/$name
		rm -rf "$scratch"
		mkdir -p "$scratch"
		run_one "$name" "$f" -runs=20000 -seed=20261204 \
			-artifact_prefix="$logs/" "$scratch" $corpus
	done
fi
for f in tests/scripts/test_*.sh; do
	[ -f "$f" ] || continue
	run_one "$(basename "$f" .sh)" scripts/run-script-test.sh "$f"
done
passed=$(grep -c '^pass ' "$logs/results")
failed=$(grep -c '^FAIL ' "$logs/results")
red=$(grep -c '^known-red ' "$logs/results")
[ "$red" = 0 ] || echo "known red: $red (see KNOWN-RED.txt)"
echo "$passed passed, $failed failed"
[ "$failed" = 0 ] && [ "$passed" != 0 ]
