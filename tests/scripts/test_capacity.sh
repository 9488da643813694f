# Tests the capacity model.
# Guards against a table in docs/CAPACITY.md that differs from the result of the
# recorded bench run, and against wrong arithmetic of the model.
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

scripts/capacity.sh docs/capacity/bench.jsonl >"$work/computed"
sed '1,/^<!-- output of/d' docs/CAPACITY.md >"$work/written"
cmp -s "$work/computed" "$work/written" || {
	echo "docs/CAPACITY.md differs from the output of capacity.sh"
	diff "$work/computed" "$work/written" | head -n 20
}

# Calculated by hand: 22000 workers / 23 data centres, 1 s: 956.52 syncs/s,
# above the 100 of max_syncs; 100 of 10 us: 1000 us, 0.1 % of a core; of 1000
# bytes: 100000 bytes/s, 4 times 25000. 100000 changes / 86400 s = 1.157 a second; of 432 bytes: 500 bytes/s.
cat >"$work/bench" <<'END'
{"bench":"capacity","metric":"worker_sync_cpu","unit":"us","value":10}
{"bench":"capacity","metric":"worker_sync_bytes","unit":"bytes","value":1000}
{"bench":"capacity","metric":"settings_change_bytes","unit":"bytes","value":432}
END
scripts/capacity.sh "$work/bench" |
	grep -e '^| worker syncs' -e '^| settings changes received' \
		-e '^| plans' -e '^| cq-schedd, owner'
