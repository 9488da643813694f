# Jobs on the whole path: two schedds of data centre a, one of b, six workers.
#
# Guards against tasks that are started again after the owner was killed,
# against commands of an owner that was paused past its lease, and against
# starts in a data centre that was taken out of service.
set -u
build=${CQ_BUILD:-build}
work=$(mktemp -d)
export CQ_OPERATOR_TOKEN=token-of-this-test
store=127.0.22.1:7001
control=127.0.22.30:7300
pids=
trap 'for p in $pids; do kill -9 "$p" 2>/dev/null; done; rm -rf "$work"' EXIT

fail() {
	echo "FAILED: $*"
	exit 1
}

# until_true SECONDS DESCRIPTION COMMAND...
until_true() {
	limit=$(($(date +%s) + $1))
	what=$2
	shift 2
	until "$@"; do
		[ "$(date +%s)" -lt "$limit" ] || fail "$what"
		sleep 0.05
	done
}

# settings KEY JSON
settings() {
	sequence=$((${sequence:-0} + 1))
	curl -sf -m 5 -o /dev/null -X PUT \
		"http://$store/v1/kv/settings/$1" \
		-d "{\"writer\":\"test\",\"sequence\":$sequence,\"settings\":$2}" ||
		fail "settings $1"
}

# call HOST METHOD PATH [BODY]
call() {
	curl -s -m 5 -H "Authorization: Bearer $CQ_OPERATOR_TOKEN" \
		-X "$2" "http://127.0.22.$1:7201$3" ${4:+-d "$4"}
}

# start_schedd LAST-OCTET DATA-CENTRE INDEX; sets pid_OCTET
start_schedd() {
	"$build/bin/cq-schedd" --deployment test --data-centre "$2" \
		--host-id "h$1" --index "$3" --index-count 2 \
		--peer-address "127.0.22.$1:7101" \
		--operator-address "127.0.22.$1:7201" \
		--store-address "$store" \
		--seeds 127.0.22.10:7101,127.0.22.11:7101,127.0.22.20:7101 \
		2>>"$work/h$1.log" &
	eval "pid_$1=$!"
	pids="$pids $!"
}

is_owner() {
	call "$1" GET /v1/schedd | grep -q '"ownership":"owner".*"settled":true'
}

owner_of_a() {
	for h in 10 11; do
		is_owner "$h" && owner=$h && return 0
	done
	return 1
}

# The state of a job as the schedd of the given host tells it, with the answer
# of its owner only.
job_is() {
	call "$1" GET "/v1/jobs/$2" >"$work/job"
	grep -q "\"state\":\"$3\"" "$work/job" &&
		grep -q '"stale":false' "$work/job"
}

# job_runs_in HOST ID DATA-CENTRE
job_runs_in() {
	job_is "$1" "$2" running && [ "$(job_field data_centre)" = "$3" ]
}

job_field() {
	sed "s/.*\"$1\":\"\{0,1\}\([^,\"}]*\).*/\1/" "$work/job"
}

# submit HOST KEY JSON-FIELDS; sets id
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

# Starts, one a line: data centre, task, epoch, Unix time.
starts() {
	stats
	sed 's/"releases":.*//' "$work/stats" | grep -o '{"worker"[^}]*}' |
		sed 's/.*"data_centre":"\([^"]*\)","task_id":"\([^"]*\)".*"epoch":\([0-9]*\).*"unix_ms":\([0-9]*\).*/\1 \2 \3 \4/'
}

live_in() {
	stats
	sed 's/.*"live":\(\[[^]]*\]\).*/\1/' "$work/stats" |
		grep -o "\"data_centre\":\"$1\"" | wc -l
}

nothing_live_in() {
	[ "$(live_in "$1")" = 0 ]
}

hosts=
for i in 0 1 2 3 4 5; do
	dc=a
	n=$i
	[ "$i" -ge 3 ] && dc=b && n=$((i - 3))
	hosts="$hosts${hosts:+,}{\"id\":\"$dc-w$n\",\"kind\":\"worker\",
		\"address\":\"127.0.22.30:$((7400 + i))\",
		\"data_centre\":\"$dc\",\"rack\":\"$dc-r0\",\"state\":\"live\"}"
done
"$build/bin/cq-fake-store" --listen "$store" --hosts "{\"hosts\":[$hosts]}" \
	>"$work/store.out" 2>&1 &
pids="$pids $!"
"$build/bin/cq-fake-worker" --listen 127.0.22.30:7400 --control "$control" \
	--data-centres a,b --count 3 >"$work/worker.out" 2>&1 &
pids="$pids $!"
until_true 10 "the store listens" grep -q listening "$work/store.out"
until_true 10 "the workers listen" grep -q workers "$work/worker.out"
settings global '{"classes":[{"name":"top","rank":0,"weight":100}]}'
settings data-centres/a '{"state":"in","notice_s":5}'
settings data-centres/b '{"state":"in","notice_s":5}'
settings workspaces/w1 '{"weight":1}'
start_schedd 10 a 0
start_schedd 11 a 1
start_schedd 20 b 0
until_true 20 "a has an owner" owner_of_a
until_true 20 "b has an owner" is_owner 20

echo "== a gang of 16 accelerators on two workers"
submit 10 gang '"data_centre":"a","tasks":2,"expected_ms":12000'
gang=$id
until_true 10 "the gang runs" job_is "$owner" "$gang" running
echo "tasks live: $(live_in a)"
submit 11 gang '"data_centre":"a","tasks":2,"expected_ms":12000'
echo "the same key again: $([ "$id" = "$gang" ] && echo same job)"

echo "== the owner is killed"
first=$owner
eval "kill -9 \$pid_$first"
until_true 20 "a has another owner" owner_of_a
[ "$owner" != "$first" ] || fail "the killed owner answers"
until_true 30 "the gang finishes" job_is "$owner" "$gang" finished
echo "finished in attempt $(job_field attempt)"
echo "starts of the gang: $(starts | grep -c "$gang")"

echo "== the owner is paused past its lease"
start_schedd "$first" a 0
until_true 20 "the killed schedd is back" \
	sh -c "curl -s http://127.0.22.$first:7201/readyz | grep -q ready$"
submit "$owner" before '"data_centre":"a","tasks":1,"expected_ms":20000'
before=$id
until_true 10 "the job before runs" job_is "$owner" "$before" running
paused=$owner
other=$first
eval "kill -STOP \$pid_$paused"
until_true 20 "the other schedd owns a" is_owner "$other"
owner=$other
submit "$owner" after '"data_centre":"a","tasks":2,"expected_ms":500'
after=$id
until_true 20 "the job after finishes" job_is "$owner" "$after" finished
eval "kill -CONT \$pid_$paused"
until_true 10 "the paused schedd stands by" \
	sh -c "curl -s -H 'Authorization: Bearer $CQ_OPERATOR_TOKEN' \
		http://127.0.22.$paused:7201/v1/schedd |
		grep -q '\"ownership\":\"standby\"'"
until_true 40 "the job before finishes" job_is "$owner" "$before" finished
echo "the job before: attempt $(job_field attempt)," \
	"$(starts | grep -c "$before") start"
echo "starts in a with a lower epoch than an earlier start:" \
	"$(starts | awk '$1 == "a" { if ($3 < max) n++; else max = $3 }
		END { print n + 0 }')"

echo "== data centre a is taken out"
submit "$owner" moving '"tasks":2,"data_centre":"a","expected_ms":600000'
pinned=$id
until_true 10 "the pinned job runs" job_is "$owner" "$pinned" running
n=0
moved=
while [ -z "$moved" ]; do
	# Which data centre a job gets depends on its key.
	n=$((n + 1))
	submit "$owner" "long $n" '"tasks":1,"expected_ms":30000'
	case $answer in
	*'"data_centre":"a"'*) moved=$id ;;
	*) call "$owner" DELETE "/v1/jobs/$id" >/dev/null ;;
	esac
done
until_true 10 "the job runs in a" job_runs_in "$owner" "$moved" a
settings data-centres/a '{"state":"out","notice_s":5}'
out_ms=$(date +%s%3N)
until_true 15 "the tasks of a are gone" nothing_live_in a
until_true 20 "the job runs in b" job_runs_in 20 "$moved" b
echo "the moved job: attempt $(job_field attempt)," \
	"moves $(job_field moves), data centre $(job_field data_centre)"
[ "$(job_field done_ms)" -gt 0 ] && echo "it goes on from its checkpoint"
until_true 10 "the pinned job waits" job_is "$owner" "$pinned" checkpointed
echo "the pinned job waits in $(job_field data_centre)"
submit "$owner" meanwhile '"tasks":1,"expected_ms":500'
until_true 20 "a new job finishes in b" job_is 20 "$id" finished
echo "a new job finished in $(job_field data_centre)"
echo "starts in a later than 3 s after it went out:" \
	"$(starts | awk -v out="$out_ms" \
		'$1 == "a" && $4 > out + 3000 { n++ } END { print n + 0 }')"

echo "== data centre a returns"
settings data-centres/a '{"state":"in","notice_s":5}'
until_true 20 "the pinned job runs again" job_is "$owner" "$pinned" running
echo "the pinned job: attempt $(job_field attempt)"
call "$owner" DELETE "/v1/jobs/$pinned" >/dev/null
until_true 20 "the pinned job is cancelled" job_is "$owner" "$pinned" cancelled
echo "cancelled on request"

echo "== planned stop of the owner"
submit "$owner" stop '"data_centre":"a","tasks":2,"expected_ms":6000'
until_true 10 "the job runs" job_is "$owner" "$id" running
stopped=$owner
# Guards against a call or timer that reaches a part of the daemon that is
# destroyed already; the sanitizer build reports it.
poll_until_refused() {
	while curl -s -m 2 -o /dev/null -H \
		"Authorization: Bearer $CQ_OPERATOR_TOKEN" \
		"http://127.0.22.$stopped:7201/v1/jobs/$id" \
		"http://127.0.22.$stopped:7201/v1/workers"; do
		:
	done
}
pollers=
for _ in 1 2 3 4; do
	poll_until_refused >/dev/null &
	pollers="$pollers $!"
done
eval "kill -TERM \$pid_$stopped; wait \$pid_$stopped"
echo "exit code $?"
# shellcheck disable=SC2086
wait $pollers
until_true 20 "a has another owner" owner_of_a
until_true 20 "the job finishes" job_is "$owner" "$id" finished
echo "finished in attempt $(job_field attempt) after" \
	"$(starts | grep -c "$id") starts"
start_schedd "$stopped" a 0
until_true 20 "the stopped schedd is back" \
	sh -c "curl -s http://127.0.22.$stopped:7201/readyz | grep -q ready$"

echo "== the store is down"
store_faults() {
	curl -sf -m 5 -o /dev/null -X PUT "http://$store/v1/faults" -d "$1" ||
		fail "store faults"
}

# try_submit KEY TIMEOUT-MS
try_submit() {
	curl -s -m 10 -i -H "Authorization: Bearer $CQ_OPERATOR_TOKEN" \
		-H "Cq-Timeout-Ms: $2" -H "Idempotency-Key: $1" -X POST \
		"http://127.0.22.$owner:7201/v1/jobs" \
		-d '{"workspace":"w1","class":"top","accelerators":1,
		"data_centre":"a","cpu_millicores":1,"memory_bytes":1,
		"expected_ms":1}' | tr -d '\r' >"$work/answer"
}

is_accepted() {
	try_submit outage 2000
	grep -q '^HTTP/1.1 202' "$work/answer"
}

store_faults '{"down":true}'
try_submit outage 400
sed -n '1p;/^Cq-Run\|^Retry-After/p' "$work/answer"
store_faults '{"down":false,"lose_answers":4}'
until_true 20 "the job is accepted" is_accepted
id=$(sed -n 's/.*"id":"\([^"]*\)".*/\1/p' "$work/answer")
until_true 20 "a has an owner again" owner_of_a
until_true 20 "the job of the outage finishes" job_is "$owner" "$id" finished
echo "the job of the outage: $(starts | grep -c "$id") start"

echo "== the owner dies while the store is down"
submit "$owner" orphan '"data_centre":"a","tasks":2,"expected_ms":24000'
until_true 10 "the orphan runs" job_is "$owner" "$id" running
store_faults '{"down":true}'
last=$owner
eval "kill -9 \$pid_$last"
task_ended() {
	stats
	sed 's/.*"ends":\(\[[^]]*\]\).*/\1/' "$work/stats" |
		grep -o "\"task_id\":\"$id[^}]*" >"$work/ends"
	[ "$(wc -l <"$work/ends")" = 2 ]
}
until_true 40 "the tasks of the orphan end" task_ended
echo "ends: $(sed 's/.*"what":"\([^"]*\)".*/\1/' "$work/ends" | sort | uniq -c |
	awk '{ print $1, $2 }')"
store_faults '{"down":false}'
until_true 30 "a has an owner again" owner_of_a
until_true 20 "the orphan has finished" job_is "$owner" "$id" finished
echo "finished in attempt $(job_field attempt)"
