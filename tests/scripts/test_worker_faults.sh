# End-to-end test of workers that restart, fail all calls or fail every task.
#
# Guards against a gang that runs partially after a worker restarted, tasks that
# restart more than once, a job that waits for a worker which answers every call
# with an error, and a worker that keeps receiving tasks although it fails them.
set -u
net=127.0.24
. tests/scripts/common.sh
. tests/scripts/jobs_common.sh

worker_faults() {
	put "$control/v1/faults" "$1"
}

# worker_is WORKER STATE: succeeds if cqctl shows the worker in this state.
worker_is() {
	[ "$("$bin/cqctl" workers --server "$net.10:7201" --output json |
		jq -r ".workers[] | select(.id == \"$1\") | .state")" = "$2" ]
}

# worker_of ID RANK ATTEMPT: prints the worker that started the task.
worker_of() {
	starts | awk -v task="$1.$3.$2" '$2 == task { print $5 }'
}

# ends_of ID: prints how the tasks of a job ended, by attempt.
ends_of() {
	stats
	jq -r ".ends[] | select(.job_id == \"$1\") |
		\"attempt \\(.attempt): \\(.what)\"" "$work/stats" |
		sort | uniq -c | sed 's/^ *//'
}

# starts_on WORKER: prints the number of starts on the worker.
starts_on() {
	starts | awk -v worker="$1" '$5 == worker' | wc -l
}

attempt_is() {
	job_is 10 "$1" running && [ "$(job_field attempt)" = "$2" ]
}

live_tasks_are() {
	[ "$(live_in a)" = "$1" ]
}

start_workers 3 a
setting global '{"classes":[{"name":"top","rank":0,"weight":100}]}'
setting data-centres/a '{"state":"in","notice_s":5}'
setting workspaces/w1 '{"weight":1}'
start_schedd 10 a 0 --task-lease-ms 6000 --worker-lost-ms 2000
wait_for 20 "a has an owner" is_owner 10
for n in 0 1 2; do
	wait_for 10 "worker a-w$n is up" worker_is "a-w$n" up
done

echo "== a worker of a gang restarts"
submit 10 gang '"tasks":2,"expected_ms":4000'
wait_for 10 "the gang runs" job_is 10 "$id" running
worker_faults "{\"worker\":\"$(worker_of "$id" 0 1)\",\"reboot\":true}"
wait_for 20 "the gang finishes" job_is 10 "$id" finished
echo "finished in attempt $(job_field attempt)"
echo "starts: $(starts | grep -c " $id\.")"
ends_of "$id"

echo "== a worker fails every call"
submit 10 calls '"tasks":1,"expected_ms":20000'
calls=$id
wait_for 10 "the job runs" job_is 10 "$calls" running
failing=$(worker_of "$calls" 0 1)
worker_faults "{\"worker\":\"$failing\",\"fail_calls\":true}"
wait_for 20 "the worker is lost" worker_is "$failing" lost
# With these lease settings the task may live until 8.5 s after its worker is
# lost, and the next attempt starts another second later.
wait_for 20 "the job runs again" attempt_is "$calls" 2
[ "$(worker_of "$calls" 0 2)" != "$failing" ] && echo "the job runs on another worker"
worker_faults "{\"worker\":\"$failing\",\"fail_calls\":false}"
wait_for 10 "the worker is up" worker_is "$failing" up
wait_for 10 "one task is left" live_tasks_are 1
job_is 10 "$calls" running && echo "its first task is gone"
echo "starts: $(starts | grep -c " $calls\.")"
call 10 DELETE "/v1/jobs/$calls" >/dev/null
wait_for 10 "no task is left" live_tasks_are 0

echo "== a worker fails every task"
# Submits one job at a time: each finishes on another worker before the next.
worker_faults '{"worker":"a-w0","fail_tasks":true}'
earlier=$(starts_on a-w0)
n=0
until worker_is a-w0 quarantined; do
	n=$((n + 1))
	[ "$n" -le 12 ] || fail "a-w0 fails every task and is in use"
	submit 10 "short $n" '"tasks":1,"expected_ms":100'
	wait_for 20 "job $n finishes" job_is 10 "$id" finished
done
before=$(starts_on a-w0)
echo "quarantined after $((before - earlier)) failures"
for n in 1 2 3 4; do
	submit 10 "later $n" '"tasks":1,"expected_ms":100'
	wait_for 20 "later job $n finishes" job_is 10 "$id" finished
	echo "finished in attempt $(job_field attempt)"
done
echo "later starts on a-w0: $(($(starts_on a-w0) - before))"
