# Short run of the soak test, which injects faults into real host processes from
# outside and checks the answers to clients and the runs on workers.
# Guards against invariants violated when hosts are killed or paused, links fail
# or the configuration changes.
net=${CQ_SOAK_NET:-40}
report=$(mktemp)
trap 'rm -f "$report"' EXIT
CQ_SOAK_NET=$net scripts/soak.sh 36 18 4 6 >"$report" 2>&1
status=$?
[ "$status" = 0 ] || cat "$report" >&2
grep -c '^ *[0-9]* ms  host' "$report" | sed 's/^[1-9][0-9]*$/hosts had faults/'
grep '^breaches' "$report"
echo "exit code: $status"
