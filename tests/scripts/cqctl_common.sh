# Functions for the cqctl tests; sourced. All programs listen on 127.0.23.x, or
# on the network in CQ_TEST_NET if two runs share a host; the output shows
# 127.0.23.x in both cases.
net=${CQ_TEST_NET:-127.0.23}
. tests/scripts/common.sh

# start_daemon HOST DATA-CENTRE LAST-OCTET [FLAG...]: starts a fake daemon and
# sets $started to its process id.
start_daemon() {
	host=$1
	dc=$2
	octet=$3
	shift 3
	start "$host" "$bin/cq-fake-daemon" --deployment=test --data-centre="$dc" \
		--host-id="$host" --peer-address="$net.$octet:7101" \
		--operator-address="$net.$octet:7102" \
		--store-address="$store" --seeds="$net.11:7101" \
		--drain-ms=2000 "$@"
	wait_for 20 "daemon $host" answers "$net.$octet:7102/healthz"
}

# run ARGUMENT...: runs cqctl; prints the command, its output and exit code.
run() {
	"$bin/cqctl" "$@" >"$work/output" 2>&1
	status=$?
	{
		echo "\$ cqctl $*"
		cat "$work/output"
		echo "exit $status"
	} | sed "s/$net\\./127.0.23./g"
}

# run_masked ARGUMENT...: like run, with times and sequence numbers masked, as
# they differ between test runs.
run_masked() {
	run "$@" | sed -E -e 's/after [0-9.]+ s/after T s/' \
		-e 's/[0-9]{4}-[0-9]{2}-[0-9]{2}T[0-9:]+Z/TIME/g' \
		-e 's/"(unix_ms|since_unix_ms|sequence|incarnation)": [0-9]+/"\1": N/' \
		-e 's/"(took_s)": [0-9.e-]+/"\1": N/' \
		-e 's/ +[0-9.]+ (ms|s|min)$/ SINCE/'
}
