# Functions for the tests of jobs; sourced after common.sh. OCTET is the last
# octet of the address of a cq-schedd and identifies it.
control=$net.30:7300

# start_workers COUNT DATA-CENTRE...: starts the store, and COUNT workers in
# each data centre.
start_workers() {
	count=$1
	shift
	list=$(jq -cn --arg ip "$net.30" --argjson count "$count" \
		'{hosts: [$ARGS.positional | to_entries[] | .key as $dc |
		.value as $name | range($count) | {id: "\($name)-w\(.)",
		kind: "worker", address: "\($ip):\(7400 + $dc * $count + .)",
		data_centre: $name, rack: "\($name)-r0", state: "live"}]}' \
		--args "$@")
	start_store "$list"
	start worker "$bin/cq-fake-worker" --listen "$net.30:7400" \
		--control "$control" --count "$count" \
		--data-centres "$(echo "$@" | tr ' ' ,)"
	wait_for 10 "the workers" answers "$control/v1/stats"
	check_started
}

# start_schedd OCTET DATA-CENTRE INDEX [FLAG...]: starts a cq-schedd and sets
# pid_OCTET to its process id.
start_schedd() {
	octet=$1
	dc=$2
	index=$3
	shift 3
	start "h$octet" "$bin/cq-schedd" --deployment test \
		--data-centre "$dc" --host-id "h$octet" --index "$index" \
		--index-count 2 --peer-address "$net.$octet:7101" \
		--operator-address "$net.$octet:7201" \
		--store-address "$store" \
		--seeds "$net.10:7101,$net.11:7101,$net.20:7101" "$@"
	eval "pid_$octet=$started"
}

# call OCTET METHOD PATH [BODY]: sends an operator call to a cq-schedd.
call() {
	octet=$1
	shift
	operator "$net.$octet:7201" "$@"
}

ready() {
	answers "$net.$1:7201/readyz"
}

is_owner() {
	call "$1" GET /v1/schedd | grep -q '"ownership":"owner".*"settled":true'
}

# job_is OCTET ID STATE: succeeds if the schedd reports the job in this state,
# from an answer of the owner that is not stale. Leaves the job in $work/job.
job_is() {
	call "$1" GET "/v1/jobs/$2" >"$work/job"
	grep -q "\"state\":\"$3\"" "$work/job" &&
		grep -q '"stale":false' "$work/job"
}

# job_runs_in OCTET ID DATA-CENTRE: succeeds if the job runs there.
job_runs_in() {
	job_is "$1" "$2" running && [ "$(job_field data_centre)" = "$3" ]
}

# job_field NAME: prints a field of the job that job_is last read.
job_field() {
	sed "s/.*\"$1\":\"\{0,1\}\([^,\"}]*\).*/\1/" "$work/job"
}

# submit OCTET KEY JSON-FIELDS: submits a job and sets $id to its id.
submit() {
	answer=$(call "$1" POST /v1/jobs "{\"workspace\":\"w1\",
		\"class\":\"top\",\"adjacency\":\"rack\",\"accelerators\":8,
		\"cpu_millicores\":1000,\"memory_bytes\":1000000,
		\"can_checkpoint\":true,\"idempotency_key\":\"$2\",$3}")
	id=$(echo "$answer" | sed -n 's/.*"id":"\([^"]*\)".*/\1/p')
	[ -n "$id" ] || fail "submit $2: $answer"
}

stats() {
	curl -s -m 5 "http://$control/v1/stats" >"$work/stats"
}

# Prints the starts of tasks, one per line: data centre, task, epoch, Unix time
# in ms, worker.
starts() {
	stats
	jq -r '.starts[] | "\(.data_centre) \(.task_id) \(.epoch) \(.unix_ms)" +
		" \(.worker)"' "$work/stats"
}

# live_in DATA-CENTRE: prints the number of live tasks in the data centre.
live_in() {
	stats
	jq "[.live[] | select(.data_centre == \"$1\")] | length" "$work/stats"
}

nothing_live_in() {
	[ "$(live_in "$1")" = 0 ]
}
