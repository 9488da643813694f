# Functions for end-to-end tests. A test sets "net" to the first three octets of
# its loopback network and then sources this file.
bin=${CQ_BUILD:-build}/bin
work=$(mktemp -d)
pids=
sequence=0
export CQ_OPERATOR_TOKEN=token-of-this-test
store=$net.1:7001

# Ends the processes that this test started.
cleanup() {
	for pid in $pids; do
		kill -9 "$pid" 2>/dev/null
	done
	rm -rf "$work"
}
trap cleanup EXIT

fail() {
	echo "FAILED: $*"
	tail -n 5 "$work"/*.log >&2
	exit 1
}

# wait_for SECONDS WHAT COMMAND...: repeats the command until it succeeds; fails
# the test if it has not succeeded after SECONDS.
wait_for() {
	limit=$(($(date +%s) + $1))
	what=$2
	shift 2
	until "$@" >/dev/null 2>&1; do
		[ "$(date +%s)" -lt "$limit" ] || fail "timed out waiting for $what"
		sleep 0.05
	done
}

# start NAME COMMAND...: runs the command in the background, with its output in
# $work/NAME.log; sets $started to its process id.
start() {
	log=$work/$1.log
	shift
	"$@" >>"$log" 2>&1 &
	started=$!
	pids="$pids $started"
}

# Fails unless every started program still runs. Otherwise the programs of
# another test run on the same addresses could answer the calls of this one.
check_started() {
	for pid in $pids; do
		kill -0 "$pid" 2>/dev/null ||
			fail "a program did not start: is $net.x in use?"
	done
}

# answers HOST:PORT/PATH: succeeds if a GET is answered with success.
answers() {
	curl -sf -m 2 -o /dev/null "http://$1"
}

# put HOST:PORT/PATH JSON: sends a PUT; fails the test unless it succeeds.
put() {
	curl -sf -m 5 -o /dev/null -X PUT "http://$1" -d "$2" || fail "PUT $1"
}

# start_store [HOST-LIST]: starts the simulated store.
start_store() {
	start store "$bin/cq-fake-store" --listen="$store" \
		${1:+--hosts="$1"}
	wait_for 10 "the store" answers "$store/v1/stats"
	check_started
}

# setting KEY JSON: writes a settings record to the store.
setting() {
	sequence=$((sequence + 1))
	put "$store/v1/kv/settings/$1" \
		"{\"writer\":\"test\",\"sequence\":$sequence,\"settings\":$2}"
}

# operator IP:PORT METHOD PATH [BODY]: sends a call with the operator token.
operator() {
	curl -s -m 5 -H "Authorization: Bearer $CQ_OPERATOR_TOKEN" \
		-X "$2" "http://$1$3" ${4:+-d "$4"}
}

# member_count IP:PORT N: succeeds if the daemon sees N members alive.
member_count() {
	[ "$(operator "$1" GET /v1/members |
		jq '[.members[] | select(.state == "alive")] | length')" = "$2" ]
}
