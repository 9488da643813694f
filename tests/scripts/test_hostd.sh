# End-to-end test of cq-hostd on the simulated platform of the users: jobs
# through any host, refusals, a killed leader, and a planned stop.
# Guards against calls that fail from end to end, and against an accepted job
# that is lost or run twice when hosts fail.
net=127.0.31
. tests/scripts/common.sh
platform=$net.1:7001
host=q.example
key='Authorization: Token secret'

settings() {
	cat >"$work/host$1.json" <<EOF
{"nodeName":"host$1","zone":"z0",
 "listen":{"front":"$net.1$1:8521","ready":"$net.1$1:8523"},
 "bounds":{"graceS":6},"platform":{"address":"$platform"}}
EOF
}
start_host() {
	settings "$1"
	CHESTNUTQUAY_NODE_FILE=$work/host$1.json start "host$1" "$bin/cq-hostd"
}
control() {
	curl -sf -m 5 "http://$platform/control/$1" ${2:+-d "$2"}
}
# call HOST METHOD PATH [BODY]: prints the body and the status.
call() {
	curl -s -m 5 -w ' %{http_code}\n' -X "$2" -H "Host: $host" \
		-H "$key" ${4:+-d "$4"} "http://$net.1$1:8521$3"
}
has_state() {
	call "$1" GET "/jobs/$2" | grep -q "\"$3\""
}
is_running() {
	control state | grep -q "\"running\":$1,"
}
leader() {
	curl -sf "http://$platform/kv-key?key=cq/leader/holder" |
		jq -r .value | base64 -d | cut -d/ -f1
}
job='{"spec":"s","steps":[{"count":3,"gpus":2,"cpu":1000,"memMb":10}]}'
gang='{"spec":"s","steps":[{"count":2,"gpus":8,"gang":true},{"count":1,"after":[0]}]}'

start platform "$bin/cq-fake-platform" "$net.1" 7001 4 400
wait_for 10 platform control state
start_host 1
wait_for 10 listener curl -s -o /dev/null "http://$net.11:8523/ready"
echo "ready without configuration: $(curl -s -o /dev/null -w '%{http_code}' "http://$net.11:8523/ready")"
echo "submission without configuration: $(call 1 POST /jobs/00000000000000a0 "$job")"
control 'put?key=op/config' '{"version":1,"routes":[{"name":"r","host":"q.example","prefix":"/jobs/","service":"s","maxAttempts":2,"stretch":2.0,"targetRuntimeMs":100}],"services":[{"name":"s"}],"tenants":[{"name":"t","apiKeys":["secret"]}]}' >/dev/null
start_host 2
pid2=$started
wait_for 10 "host 1" answers "$net.11:8523/ready"
wait_for 10 "host 2" answers "$net.12:8523/ready"
check_started

echo "submit: $(call 1 POST /jobs/00000000000000a1 "$job")"
echo "same job at another host: $(call 2 POST /jobs/00000000000000a1 "$job")"
wait_for 10 "job a1" has_state 2 00000000000000a1 completed
echo "state: $(call 1 GET /jobs/00000000000000a1)"
echo "gang followed by a step: $(call 2 POST /jobs/00000000000000a2 "$gang")"
wait_for 10 "job a2" has_state 1 00000000000000a2 completed
echo "starts: $(control state | jq -c '[.starts, .breaches]')"

echo "unknown key: $(curl -s -o /dev/null -w '%{http_code}' -X POST -H "Host: $host" -d "$job" "http://$net.11:8521/jobs/00000000000000a3")"
echo "unknown queue: $(call 1 POST /other/00000000000000a3 "$job")"
echo "unknown job: $(call 1 GET /jobs/00000000000000a3)"
echo "malformed: $(call 1 POST /jobs/00000000000000a3 '{"steps":[{"count":-1}]}')"
echo "bad id: $(call 1 POST /jobs/xyz "$job")"
echo "method: $(call 1 PUT /jobs/00000000000000a3 "$job")"

call 1 POST /jobs/00000000000000a4 "$job" >/dev/null
wait_for 10 "job a4" is_running 3
echo "cancel: $(call 2 DELETE /jobs/00000000000000a4)"
wait_for 10 "the cancelled job" has_state 1 00000000000000a4 cancelled
echo "cancelled: $(call 1 GET /jobs/00000000000000a4)"
wait_for 10 "stops" is_running 0

# Kills the leader while a job runs; the other host must complete the job.
call 1 POST /jobs/00000000000000a5 "$gang" >/dev/null
wait_for 10 "job a5" is_running 2
if [ "$(leader)" = host1 ]; then
	kill -9 "$(echo "$pids" | awk '{print $2}')"
	other=2
else
	kill -9 "$pid2"
	other=1
fi
wait_for 10 "job a5 after the kill" has_state $other 00000000000000a5 completed
echo "after the leader was killed: $(call $other GET /jobs/00000000000000a5)"
echo "violations of the dispatch rules: $(control state | jq -r .breaches)"

# Stops the remaining host with SIGTERM; it must exit with code 0.
if [ $other = 1 ]; then
	pid=$(echo "$pids" | awk '{print $2}')
else
	pid=$pid2
fi
kill -TERM "$pid"
wait_for 5 "not ready" sh -c "! curl -sf -o /dev/null http://$net.1$other:8523/ready"
echo "while it stops: $(call $other GET /jobs/00000000000000a5)"
wait "$pid"
echo "exit code: $?"
jq -es 'all(.event != null)' "$work/host1.log" >/dev/null && echo "every log line is JSON"
