#!/bin/sh
# End-to-end test of requests through two cq-entryd of one data centre to four
# endpoints. Guards against wrong answers and refusals, requests that run twice
# under one key or on silent connections, requests sent to a leaving endpoint,
# and requests lost by a graceful shutdown or by a kill under load.
set -u
net=127.0.21
. tests/scripts/common.sh
. tests/scripts/requests_common.sh
a=$net.2
b=$net.3
executed_more_than() { [ "$(stats .executions)" -gt "$1" ]; }
start_host() {
	start_entry "$1" "$2" 2 --accept-after-term-ms 3000 \
		--max-body-bytes 100000
}

start_endpoints 2
start_host $a 0
pid_a=$started
start_host $b 1
pid_b=$started
for host in $a $b; do
	wait_for 30 "readiness of $host" ready $host
	wait_for 30 "the members at $host" member_count $host:7200 2
done
check_started

echo "== answers"
call $a pair -H "$W" -H "$C" -H 'Content-Type: text/plain' -d hello
cat "$work/body"
echo
grep -ci '^cq-expected-wait-ms: [0-9]' "$work/head"

echo "== bad input"
call $a pair -H "$C" -d x
call $a pair -H 'Cq-Workspace: nobody' -H "$C" -d x
call $a pair -H "$W" -H 'Cq-Class: gold' -d x
call $a pair -H "$W" -H "$C" -H 'Cq-Timeout-Ms: soon' -d x
call $a pair -H "$W" -H "$C" -H 'Cq-Idempotent: often' -d x
call $a pair -H "$W" -H "$C" -H 'Idempotency-Key: abc' -d x
call $a pair -H "$W" -H "$C" -H 'Content-Type: application/json' -d '{"a"'
call $a 'pair%0d%0aX:y' -H "$W" -H "$C" -d x
call $a pair -H "$W" -H "$C"
head -c 200000 /dev/zero | tr '\0' x >"$work/big"
call $a pair -H "$W" -H "$C" -H 'Expect:' --data-binary "@$work/big"
call $a pair -H "$W" -H "$C" -H "X-Big: $(head -c 40000 "$work/big")" -d x |
	cut -d' ' -f1
call $a pair -H "$W" -H "$C" -d still-served

echo "== a key sent through both hosts runs once"
# Prints the time in ms with which an idempotency key begins.
key_time_ms() { date +%s%3N; }
key_accepted() {
	case $(call "$1" warm -H "$W" -H "$C" -H 'Cq-Timeout-Ms: 300' \
		-H "Idempotency-Key: $(key_time_ms)-warm$1" -d x) in
	"200 "*) return 0 ;;
	*) return 1 ;;
	esac
}
wait_for 30 "keys at a" key_accepted $a
wait_for 30 "keys at b" key_accepted $b
for n in 1 2 3 4 5 6; do
	key=$(key_time_ms)-k$n
	call $a "keyed-$n" -H "$W" -H "$C" -H "Idempotency-Key: $key" -d k$n
	call $b "keyed-$n" -H "$W" -H "$C" -H "Idempotency-Key: $key" -d k$n
done | sort | uniq -c | awk '{print $1, $2, $3, $4}'
curl -s "http://$ip:8999/v1/stats?bodies=1" |
	jq -c '[.bodies | to_entries[] | select(.key | startswith("/keyed"))
		| .value] | [length, add]'
key=$(key_time_ms)-reused
call $a reused -H "$W" -H "$C" -H "Idempotency-Key: $key" -d first
call $b reused -H "$W" -H "$C" -H "Idempotency-Key: $key" -d other
call $a old -H "$W" -H "$C" -H 'Idempotency-Key: 1764000000000-old' -d x

echo "== truncated and crossed answers are errors with unknown outcome"
faults '{"close_mid_answer":1}'
call $a cut -H "$W" -H "$C" -d cut-short
faults '{"close_mid_answer":0,"cross_answers":1}'
call $a crossed -H "$W" -H "$C" -d crossed
faults '{"cross_answers":0}'

echo "== a leaving endpoint gets no new work"
faults '{"endpoints":[1],"leaving":true}'
load $a leaving 100 | count_lines
load $b leaving-b 100 | count_lines
before=$(stats '.endpoints[1].refused')
load $a left 200 | count_lines
after=$(stats '.endpoints[1].refused')
[ "$before" = "$after" ] && echo "no further request"
faults '{"endpoints":[1],"leaving":false}'

# Sends requests with the same keys each time, through the host that stays up.
same_keys_ms=$(key_time_ms)
send_same_keys() {
	for n in 1 2 3 4 5 6 7 8; do
		call $b "kept-$n" -H "$W" -H "$C" \
			-H "Idempotency-Key: $same_keys_ms-kept$n" -d "kept$n"
	done | sort | uniq -c | awk '{print $1, $2, $3, $4}'
}
send_same_keys >/dev/null

echo "== a graceful shutdown interrupts no request"
faults '{"service_ms":60}'
start=$(stats .executions)
(
	n=0
	while ready $a >/dev/null 2>&1; do
		n=$((n + 1))
		load $a "drain-$n" 48
	done
) >"$work/drain" &
loader=$!
wait_for 30 "requests under way" executed_more_than $((start + 60))
kill -TERM "$pid_a"
wait_for 30 "the end of readiness of a" not_ready $a
# The load balancer reacts with a delay, so the host must still answer.
call $a late -H "$W" -H "$C" -d after-term
wait "$pid_a"
echo "exit $?"
wait "$loader"
sort -u "$work/drain"

echo "== a key keeps its first outcome after its home restarts"
start_host $a 0
pid_a=$started
wait_for 30 "readiness of a" ready $a
handed_over=$(jq -R 'fromjson? | select(.event == "outcomes_handed_over")
	| .keys' "$work/entryd.log")
taken_over() {
	[ "$(curl -s "http://$a:7200/metrics" |
		awk '/^cq_request_keys_taken_over/ {print $2}')" = "$handed_over" ]
}
wait_for 30 "the keys to be taken over" taken_over
send_same_keys
curl -s "http://$ip:8999/v1/stats?bodies=1" |
	jq -c '[.bodies | to_entries[] | select(.key | startswith("/kept"))
		| .value] | [length, add]'

echo "== a killed host loses only its own open requests"
start=$(stats .executions)
load $a kill-a 600 >"$work/kill-a" &
loader_a=$!
load $b kill-b 600 >"$work/kill-b" &
loader_b=$!
wait_for 30 "requests under way" executed_more_than $((start + 100))
kill -KILL "$pid_b"
wait "$loader_a"
wait "$loader_b"
sort -u "$work/kill-a"
# Status 000 means that the connection broke: the caller knows that the outcome
# is unknown.
grep -v -e '^200$' -e '^000$' "$work/kill-b"
grep -q '^000$' "$work/kill-b" && echo "its open requests failed"

echo "== a key whose home is dead is refused as unknown"
wait_for 30 "keys at a" key_accepted $a
n=0
while [ $n -lt 60 ]; do
	n=$((n + 1))
	answer=$(call $a dead-home -H "$W" -H "$C" -H 'Cq-Timeout-Ms: 300' \
		-H "Idempotency-Key: $(key_time_ms)-dead$n" -d x)
	[ "${answer%% *}" = 200 ] || break
done
echo "$answer"

echo "== limits and duplicates"
stats '[.endpoints[].max_concurrent] | max <= 8'
stats '[.endpoints[].max_connections] | max <= 60'
stats '.repeated_ids'
curl -s "http://$ip:8999/v1/stats?bodies=1" |
	jq -c '[.bodies | to_entries[] | select(.value > 1) | .key
		| select(test("^/(drain|kill|keyed|left)"))]'
curl -s "http://$a:7200/metrics" | grep -c '^cq_requests_submitted'

start_host $b 1
wait_for 30 "readiness of b" ready $b
faults '{"service_ms":10}'
echo "== no request is lost on connections that went silent"
# Fills the retry budget for 16 connections.
load $a warm-up-a 200 -H 'Cq-Idempotent: yes' >/dev/null
load $b warm-up-b 200 -H 'Cq-Idempotent: yes' >/dev/null
faults '{"silence_connections":true}'
load $a fresh 40 | count_lines
load $b again 40 -H 'Cq-Idempotent: yes' | count_lines
