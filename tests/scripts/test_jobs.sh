# End-to-end test of jobs: two schedds in data centre a, one in b, six workers.
#
# Guards against tasks that are restarted because the owner was killed, against
# commands of an owner that was paused beyond its lease, and against starts in
# a data centre that was taken out of service.
set -u
net=127.0.22
. tests/scripts/common.sh
. tests/scripts/jobs_common.sh

owner_of_a() {
	for h in 10 11; do
		is_owner "$h" && owner=$h && return 0
	done
	return 1
}

is_standby() {
	call "$1" GET /v1/schedd | grep -q '"ownership":"standby"'
}

start_workers 3 a b
setting global '{"classes":[{"name":"top","rank":0,"weight":100}]}'
setting data-centres/a '{"state":"in","notice_s":5}'
setting data-centres/b '{"state":"in","notice_s":5}'
setting workspaces/w1 '{"weight":1}'
start_schedd 10 a 0
start_schedd 11 a 1
start_schedd 20 b 0
wait_for 20 "a has an owner" owner_of_a
wait_for 20 "b has an owner" is_owner 20

echo "== a gang of 16 accelerators on two workers"
submit 10 gang '"data_centre":"a","tasks":2,"expected_ms":12000'
gang=$id
wait_for 10 "the gang runs" job_is "$owner" "$gang" running
echo "tasks live: $(live_in a)"
submit 11 gang '"data_centre":"a","tasks":2,"expected_ms":12000'
echo "the same key again: $([ "$id" = "$gang" ] && echo same job)"

echo "== the owner is killed"
first=$owner
eval "kill -9 \$pid_$first"
wait_for 20 "a has another owner" owner_of_a
[ "$owner" != "$first" ] || fail "the killed owner answers"
wait_for 30 "the gang finishes" job_is "$owner" "$gang" finished
echo "finished in attempt $(job_field attempt)"
echo "starts of the gang: $(starts | grep -c "$gang")"

echo "== the owner is paused beyond its lease"
start_schedd "$first" a 0
wait_for 20 "the killed schedd is back" ready "$first"
submit "$owner" before '"data_centre":"a","tasks":1,"expected_ms":20000'
before=$id
wait_for 10 "the job before runs" job_is "$owner" "$before" running
paused=$owner
other=$first
eval "kill -STOP \$pid_$paused"
wait_for 20 "the other schedd owns a" is_owner "$other"
owner=$other
submit "$owner" after '"data_centre":"a","tasks":2,"expected_ms":500'
after=$id
wait_for 20 "the job after finishes" job_is "$owner" "$after" finished
eval "kill -CONT \$pid_$paused"
wait_for 10 "the paused schedd stands by" is_standby "$paused"
wait_for 40 "the job before finishes" job_is "$owner" "$before" finished
echo "the job before: attempt $(job_field attempt)," \
	"$(starts | grep -c "$before") start"
echo "starts in a with a lower epoch than an earlier start:" \
	"$(starts | awk '$1 == "a" { if ($3 < max) n++; else max = $3 }
		END { print n + 0 }')"

echo "== data centre a is taken out"
submit "$owner" moving '"tasks":2,"data_centre":"a","expected_ms":600000'
pinned=$id
wait_for 10 "the pinned job runs" job_is "$owner" "$pinned" running
n=0
moved=
while [ -z "$moved" ]; do
	# The data centre of a job depends on its idempotency key.
	n=$((n + 1))
	submit "$owner" "long $n" '"tasks":1,"expected_ms":30000'
	case $answer in
	*'"data_centre":"a"'*) moved=$id ;;
	*) call "$owner" DELETE "/v1/jobs/$id" >/dev/null ;;
	esac
done
wait_for 10 "the job runs in a" job_runs_in "$owner" "$moved" a
setting data-centres/a '{"state":"out","notice_s":5}'
out_ms=$(date +%s%3N)
wait_for 15 "the tasks of a are gone" nothing_live_in a
wait_for 20 "the job runs in b" job_runs_in 20 "$moved" b
echo "the moved job: attempt $(job_field attempt)," \
	"moves $(job_field moves), data centre $(job_field data_centre)"
[ "$(job_field done_ms)" -gt 0 ] && echo "it resumes from its checkpoint"
wait_for 10 "the pinned job waits" job_is "$owner" "$pinned" checkpointed
echo "the pinned job waits in $(job_field data_centre)"
submit "$owner" meanwhile '"tasks":1,"expected_ms":500'
wait_for 20 "a new job finishes in b" job_is 20 "$id" finished
echo "a new job finished in $(job_field data_centre)"
echo "starts in a later than 3 s after it went out:" \
	"$(starts | awk -v out="$out_ms" \
		'$1 == "a" && $4 > out + 3000 { n++ } END { print n + 0 }')"

echo "== data centre a returns"
setting data-centres/a '{"state":"in","notice_s":5}'
wait_for 20 "the pinned job runs again" job_is "$owner" "$pinned" running
echo "the pinned job: attempt $(job_field attempt)"
call "$owner" DELETE "/v1/jobs/$pinned" >/dev/null
wait_for 20 "the pinned job is cancelled" job_is "$owner" "$pinned" cancelled
echo "cancelled on request"

echo "== planned stop of the owner"
submit "$owner" stop '"data_centre":"a","tasks":2,"expected_ms":6000'
wait_for 10 "the job runs" job_is "$owner" "$id" running
stopped=$owner
# Guards against calls and timers that use a part of the daemon after it was
# destroyed during shutdown; the sanitizer build reports such uses.
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
wait_for 20 "a has another owner" owner_of_a
wait_for 20 "the job finishes" job_is "$owner" "$id" finished
echo "finished in attempt $(job_field attempt) after" \
	"$(starts | grep -c "$id") starts"
start_schedd "$stopped" a 0
wait_for 20 "the stopped schedd is back" ready "$stopped"

echo "== the store is down"
# try_submit KEY TIMEOUT-MS
try_submit() {
	curl -s -m 10 -i -H "Authorization: Bearer $CQ_OPERATOR_TOKEN" \
		-H "Cq-Timeout-Ms: $2" -H "Idempotency-Key: $1" -X POST \
		"http://$net.$owner:7201/v1/jobs" \
		-d '{"workspace":"w1","class":"top","accelerators":1,
		"data_centre":"a","cpu_millicores":1,"memory_bytes":1,
		"expected_ms":1}' | tr -d '\r' >"$work/answer"
}

is_accepted() {
	try_submit outage 2000
	grep -q '^HTTP/1.1 202' "$work/answer"
}

put "$store/v1/faults" '{"down":true}'
try_submit outage 400
sed -n '1p;/^Cq-Run\|^Retry-After/p' "$work/answer"
put "$store/v1/faults" '{"down":false,"lose_answers":4}'
wait_for 20 "the job is accepted" is_accepted
id=$(sed -n 's/.*"id":"\([^"]*\)".*/\1/p' "$work/answer")
wait_for 20 "a has an owner again" owner_of_a
wait_for 20 "the job of the outage finishes" job_is "$owner" "$id" finished
echo "the job submitted during the outage: $(starts | grep -c "$id") start"

echo "== the owner is killed while the store is down"
submit "$owner" orphan '"data_centre":"a","tasks":2,"expected_ms":24000'
wait_for 10 "the orphan runs" job_is "$owner" "$id" running
put "$store/v1/faults" '{"down":true}'
last=$owner
eval "kill -9 \$pid_$last"
task_ended() {
	stats
	jq -r ".ends[] | select(.task_id | startswith(\"$id\")) | .what" \
		"$work/stats" >"$work/ends"
	[ "$(wc -l <"$work/ends")" = 2 ]
}
wait_for 40 "the tasks of the orphan end" task_ended
echo "ends: $(sort "$work/ends" | uniq -c |
	awk '{ print $1, $2 }')"
put "$store/v1/faults" '{"down":false}'
wait_for 30 "a has an owner again" owner_of_a
wait_for 20 "the orphan has finished" job_is "$owner" "$id" finished
echo "finished in attempt $(job_field attempt)"
