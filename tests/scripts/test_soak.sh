# A short run of the fault soak: real hosts, faults from outside them, and a
# check of what callers and workers saw.
# Guards against broken promises under kills, stops, cuts and changes.
net=${CQ_SOAK_NET:-40}
report=$(mktemp)
trap 'rm -f "$report"' EXIT
CQ_SOAK_NET=$net scripts/soak.sh 36 18 4 6 >"$report" 2>&1
status=$?
[ "$status" = 0 ] || cat "$report" >&2
grep -c '^ *[0-9]* ms  host' "$report" | sed 's/^[1-9][0-9]*$/hosts had faults/'
grep '^breaches' "$report"
echo "exit code: $status"
