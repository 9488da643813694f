# Tests cq-burn against running daemons. One of the two hosts never answers.
# Guards against daemon counters that cq-burn cannot read, and against a restart
# that is counted as events.
. tests/scripts/cqctl_common.sh
start_store
start_daemon a surat 15
a=$started
wait_for 20 readiness answers $net.15:7102/readyz
export CQ_SERVER=$net.15:7102
hosts=$net.15:7102,$net.16:7102
set_weight() {
	"$bin/cqctl" settings set workspaces/red weight="$1" >/dev/null
}
record() {
	"$bin/cq-burn" --hosts="$hosts" --record --readings=2 --interval-ms=10 \
		>>"$work/readings"
}
figures() {
	"$bin/cq-burn" --scrapes="$work/readings" --objectives="$work/global" \
		--output=json | jq -c '.objectives[0].whole | [.total, .bad]'
	"$bin/cq-burn" --scrapes="$work/readings" --objectives="$work/global" |
		grep -e restarted -e '^settings' | sed "s/$net\\./127.0.23./"
}

echo "# the objectives come from the settings"
"$bin/cqctl" settings set global --value '{"objectives":[
	{"name":"settings_in_force","class":"default","percentile":99,
	 "target_ms":20000,"window_s":3600}]}' >/dev/null
"$bin/cq-burn" --hosts="$hosts" --readings=2 --interval-ms=10 |
	grep -e '^settings' -e '^objectives' | sed 's/observed.*//'
"$bin/cqctl" settings get global --output json >"$work/global"

echo "# three changes between two readings"
record
for weight in 1 2 3; do
	set_weight $weight
done
record
figures

echo "# the daemon restarts and takes one more change"
kill -TERM "$a"
wait "$a"
start_daemon a surat 15
wait_for 20 readiness answers $net.15:7102/readyz
set_weight 4
record
figures
