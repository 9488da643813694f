# Tests cqctl and the operator interface under faults: lost store answers, an
# unavailable store, two concurrent writers, partial lists, a paused daemon and
# a planned stop.
# Guards against a change reported as failed although it is in force, against
# an unreachable daemon counted as up to date, and against unbounded waits.
. tests/scripts/cqctl_common.sh

faults() {
	put "$store/v1/faults" "$1"
}
# Each of the following is a check of one figure that a daemon reports:
# revision_is IP:PORT REVISION, state_is IP:PORT MEMBER STATE,
# weight_is KEY WEIGHT, in_force_count_is IP:PORT DATA-CENTRE MEMBERS and
# store_direct_is IP:PORT BOOLEAN.
revision_is() {
	[ "$(operator "$1" GET /v1/members | jq '.tree_revision')" = "$2" ]
}
state_is() {
	[ "$(operator "$1" GET /v1/members | jq -r ".members[] | select(.id == \"$2\") | .state")" = "$3" ]
}
weight_is() {
	[ "$("$bin/cqctl" settings get "$1" --output json |
		jq '.settings.weight')" = "$2" ]
}
in_force_count_is() {
	[ "$(operator "$1" GET /v1/data-centres | jq ".data_centres[] |
			select(.name == \"$2\") | .members_in_force")" = "$3" ]
}
store_direct_is() {
	[ "$(operator "$1" GET /v1/status | jq '.store_direct')" = "$2" ]
}

start_store
echo "# a daemon reports that it has not read any settings yet"
faults '{"down":true}'
start_daemon a surat 11
a=$started
run settings get --server $net.11:7102
operator $net.11:7102 GET /v1/settings | jq -c '[.settings_state, .stale,
	.age_ms]'
faults '{"down":false}'
wait_for 20 "readiness of a" answers $net.11:7102/readyz
operator $net.11:7102 GET /v1/settings | jq -c '[.stale, .age_ms]'
start_daemon b surat 12
b=$started
start_daemon c rajkot 13 --partial
c=$started
for octet in 11 12 13; do
	wait_for 20 "members at $octet" member_count $net.$octet:7102 3
	wait_for 20 "readiness of $octet" answers $net.$octet:7102/readyz
done
export CQ_SERVER=$net.11:7102

echo "# in force on every daemon, read from another one"
run_masked data-centre in surat --create
run_masked data-centre in rajkot --create
run settings get data-centres/rajkot --server $net.13:7102

echo "# the answer of the store is lost: the change is read back"
faults '{"lose_answers":1}'
run_masked settings set workspaces/red weight=2
faults '{"lose_answers":1}'
run_masked settings set workspaces/red --remove

echo "# the store is down: changes are refused, reads continue"
faults '{"down":true}'
run settings set workspaces/red weight=3
run settings get data-centres/rajkot
faults '{"down":false}'
wait_for 20 "direct store calls" store_direct_is $net.11:7102 true

echo "# the client disconnects before the store answers: the change is made"
faults '{"delay_ms":700}'
run settings set workspaces/green weight=1 --timeout-ms 300
faults '{"delay_ms":0}'
wait_for 20 "the change to be in force" weight_is workspaces/green 1
run settings get workspaces/green
"$bin/cqctl" settings set workspaces/green --remove >/dev/null

echo "# the store accepts calls but never answers: the outcome is unknown"
faults '{"silent":true}'
run settings set workspaces/red weight=4
faults '{"silent":false}'
wait_for 20 "direct store calls" store_direct_is $net.11:7102 true

echo "# two writers with the same revision: one succeeds, one gets a conflict"
run_masked settings set workspaces/blue weight=1
"$bin/cqctl" settings set workspaces/blue weight=2 --revision 7 \
	--server $net.11:7102 >"$work/one" 2>&1 &
one=$!
"$bin/cqctl" settings set workspaces/blue weight=3 --revision 7 \
	--server $net.13:7102 >"$work/two" 2>&1 &
two=$!
wait "$one"
first=$?
wait "$two"
second=$?
echo "exit codes $(printf '%s\n' $first $second | sort | tr '\n' ' ')"
cat "$work/one" "$work/two" | sort |
	sed -E -e 's/after [0-9.]+ s/after T s/'

echo "# a partial list"
run jobs list --server $net.13:7102
run jobs list --server $net.13:7102 --state waiting

echo "# a daemon that does not answer"
kill -STOP "$b"
run members --server $net.12:7102 --timeout-ms 300
run_masked settings set workspaces/blue weight=9 --timeout-ms 2500
wait_for 20 "b to count as dead" state_is $net.11:7102 b/fake-daemon dead
run_masked data-centre out surat
run_masked data-centre list
run status
kill -CONT "$b"
wait_for 20 "b to return" state_is $net.11:7102 b/fake-daemon alive
wait_for 20 "the newest settings at b" revision_is $net.12:7102 10
wait_for 20 "b to hear of them from a" in_force_count_is $net.12:7102 surat 2
run_masked data-centre list --server $net.12:7102

echo "# a planned stop"
kill -TERM "$c"
wait "$c"
echo "exit $?"
wait_for 20 "c to leave" state_is $net.11:7102 c/fake-daemon left
run_masked data-centre in surat
