# Functions for the tests of requests; sourced after common.sh. Endpoints listen
# on $net.1; HOST is the address of an entry host. W and C are the request
# headers for the workspace and the class.
ip=$net.1
W='Cq-Workspace: default'
C='Cq-Class: urgent'

ready() { answers "$1:7200/readyz"; }
not_ready() { ! ready "$1"; }
stats() { curl -s -m 5 "http://$ip:8999/v1/stats" | jq "$1"; }
faults() { put "$ip:8999/v1/faults" "$1"; }

# call HOST PATH [CURL-OPTION...]: sends a request; prints the status, the error
# code and the value of the Cq-Run header, each "-" if absent.
call() {
	host=$1
	path=$2
	shift 2
	curl -s -m 10 -D "$work/head" -o "$work/body" \
		"http://$host:7300/v1/requests/$path" "$@"
	status=$(sed -n '1s/^[^ ]* \([0-9]*\).*/\1/p' "$work/head" | tail -n 1)
	run=$(sed -n 's/^[Cc]q-[Rr]un: *\([a-z]*\).*/\1/p' "$work/head")
	code=$(jq -r '.error.code? // "-"' "$work/body" 2>/dev/null || echo -)
	echo "$status ${code:--} ${run:--}"
}

# load HOST NAME N [CURL-OPTION...]: sends N requests with distinct paths,
# $parallel (default 16) at a time; prints their statuses.
load() {
	host=$1
	name=$2
	n=$3
	shift 3
	curl -s -Z --parallel-max "${parallel:-16}" -m 20 -X POST -H "$W" \
		-H "$C" -d x "$@" -o /dev/null -w '%{http_code}\n' \
		"http://$host:7300/v1/requests/$name-[1-$n]" 2>/dev/null
}

# Prints each distinct input line, preceded by its number of occurrences.
count_lines() {
	sort | uniq -c | awk '{print $1, $2}'
}

# endpoint_hosts COUNT [INDEX]: prints a host list of COUNT endpoints, with
# endpoint INDEX in state "leaving".
endpoint_hosts() {
	jq -cn --arg ip "$ip" --argjson n "$1" --argjson leaving "${2:--1}" \
		'{hosts: [range($n) | {id: "e\(.)", kind: "endpoint",
		address: "\($ip):\(9000 + .)", data_centre: "dc1",
		state: (if . == $leaving then "leaving" else "live" end),
		slots: 8, connections: 60}]}'
}

# start_endpoints ENTRY-HOSTS: starts the store and four endpoints, and writes
# settings with ENTRY-HOSTS entry hosts in dc1.
start_endpoints() {
	start_store "$(endpoint_hosts 4)"
	start endpoint "$bin/cq-fake-endpoint" --listen "$ip:9000" \
		--control "$ip:8999" --count 4 --service-ms 10
	wait_for 10 "the endpoints" answers "$ip:8999/v1/stats"
	setting global '{"classes":[{"name":"urgent","rank":0,"weight":100},
		{"name":"normal","rank":1,"weight":10}]}'
	setting data-centres/dc1 "{\"state\":\"in\",\"entry_hosts\":$1}"
	setting workspaces/default '{"weight":1}'
}

# start_entry HOST INDEX INDEX-COUNT [FLAG...]: starts a cq-entryd and sets
# $started to its process id.
start_entry() {
	host=$1
	index=$2
	index_count=$3
	shift 3
	start entryd "$bin/cq-entryd" --deployment test --data-centre dc1 \
		--host-id "entry$index" --index "$index" \
		--index-count "$index_count" \
		--peer-address "$host:7100" --operator-address "$host:7200" \
		--store-address "$store" --caller-address "$host:7300" \
		--seeds "$net.2:7100,$net.3:7100" --share-hold-ms 0 "$@"
}
