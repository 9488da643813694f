# Functions of the cqctl tests; sourced. Everything runs on 127.0.23.x, or on
# the network in CQ_TEST_NET when two runs share a machine; the output shows
# 127.0.23.x in both cases.
net=${CQ_TEST_NET:-127.0.23}
bin=${CQ_BUILD:-build}/bin
work=$(mktemp -d)
pids=
export CQ_OPERATOR_TOKEN=test-token-1
store=$net.1:7300

# Ends the processes that this test started.
cleanup() {
	for pid in $pids; do
		kill "$pid" 2>/dev/null
		kill -CONT "$pid" 2>/dev/null
	done
	wait
	rm -rf "$work"
}
trap cleanup EXIT

# wait_for WHAT COMMAND...: repeats the command until it succeeds.
wait_for() {
	what=$1
	shift
	tries=0
	until "$@" >/dev/null 2>&1; do
		tries=$((tries + 1))
		if [ "$tries" -gt 300 ]; then
			echo "gave up waiting for $what"
			tail -n 5 "$work"/*.log >&2
			exit 1
		fi
		sleep 0.05
	done
}

answers() {
	curl -sf -o /dev/null "http://$1"
}

start_store() {
	if answers "$store/v1/stats"; then
		echo "$net.x is in use by another run; set CQ_TEST_NET"
		exit 1
	fi
	"$bin/cq-fake-store" --listen="$store" >"$work/store.log" 2>&1 &
	pids="$pids $!"
	wait_for "the store" answers "$store/v1/stats"
}

# start_daemon HOST DATA-CENTRE LAST-OCTET [FLAG...]; sets $started.
start_daemon() {
	host=$1
	dc=$2
	octet=$3
	shift 3
	"$bin/cq-fake-daemon" --deployment=test --data-centre="$dc" \
		--host-id="$host" --peer-address="$net.$octet:7101" \
		--operator-address="$net.$octet:7102" \
		--store-address="$store" --seeds="$net.11:7101" \
		--drain-ms=2000 "$@" >"$work/$host.log" 2>&1 &
	started=$!
	pids="$pids $started"
	wait_for "daemon $host" answers "$net.$octet:7102/healthz"
}

# run ARGUMENT...: prints the command, its output and its exit code.
run() {
	"$bin/cqctl" "$@" >"$work/output" 2>&1
	status=$?
	{
		echo "\$ cqctl $*"
		cat "$work/output"
		echo "exit $status"
	} | sed "s/$net\\./127.0.23./g"
}

# Like run, with everything that differs from run to run replaced.
run_masked() {
	run "$@" | sed -E -e 's/after [0-9.]+ s/after T s/' \
		-e 's/[0-9]{4}-[0-9]{2}-[0-9]{2}T[0-9:]+Z/TIME/g' \
		-e 's/"(unix_ms|since_unix_ms|sequence|incarnation)": [0-9]+/"\1": N/' \
		-e 's/"(took_s)": [0-9.e-]+/"\1": N/' \
		-e 's/ +[0-9.]+ (ms|s|min)$/ SINCE/'
}

member_count() {
	[ "$(curl -sf -H "Authorization: Bearer $CQ_OPERATOR_TOKEN" \
		"http://$1/v1/members" |
		jq '[.members[] | select(.state == "alive")] | length')" = "$2" ]
}
