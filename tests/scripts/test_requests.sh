#!/bin/sh
# Requests through two cq-entryd of one data centre to four endpoints: answers,
# refusals, keys, silent connections, a leaving endpoint, a graceful shutdown
# and a kill under load.
set -u
build=${CQ_BUILD:-build}
ip=127.0.21.1
a=127.0.21.2
b=127.0.21.3
tmp=$(mktemp -d)
pids=
export CQ_OPERATOR_TOKEN=token-of-the-test

stop_all() {
	for pid in $pids; do
		kill -9 "$pid" 2>/dev/null
	done
	rm -rf "$tmp"
}
trap stop_all EXIT

# Waits until a command succeeds.
wait_for() {
	tries=0
	until "$@" >/dev/null 2>&1; do
		tries=$((tries + 1))
		if [ $tries -gt 400 ]; then
			echo "gave up waiting for: $*"
			exit 1
		fi
		sleep 0.05
	done
}

ready() { curl -sf -m 2 "http://$1:7200/readyz"; }
not_ready() { ! ready "$1"; }
stats() { curl -s -m 5 "http://$ip:8999/v1/stats" | jq "$1"; }
faults() { curl -sf -m 5 -X PUT "http://$ip:8999/v1/faults" -d "$1" -o /dev/null; }
# Prints the status, the error code and the word on the run.
call() {
	host=$1
	path=$2
	shift 2
	curl -s -m 10 -D "$tmp/head" -o "$tmp/body" \
		"http://$host:7300/v1/requests/$path" "$@"
	status=$(sed -n '1s/^[^ ]* \([0-9]*\).*/\1/p' "$tmp/head" | tail -n 1)
	run=$(sed -n 's/^[Cc]q-[Rr]un: *\([a-z]*\).*/\1/p' "$tmp/head")
	code=$(jq -r '.error.code? // "-"' "$tmp/body" 2>/dev/null || echo -)
	echo "$status ${code:--} ${run:--}"
}
W='Cq-Workspace: default'
C='Cq-Class: urgent'
# Sends N requests, distinct by path, 16 at a time; prints the statuses.
load() {
	host=$1
	name=$2
	n=$3
	shift 3
	curl -s -Z --parallel-max 16 -m 20 -X POST -H "$W" -H "$C" -d x "$@" \
		-o /dev/null -w '%{http_code}\n' \
		"http://$host:7300/v1/requests/$name-[1-$n]" 2>/dev/null
}
executed_more_than() { [ "$(stats .executions)" -gt "$1" ]; }
start_entry() {
	"$build/bin/cq-entryd" --deployment test --data-centre dc1 \
		--host-id "entry$2" --index "$2" --index-count 2 \
		--peer-address "$1:7100" --operator-address "$1:7200" \
		--store-address "$ip:7000" --caller-address "$1:7300" \
		--seeds "$a:7100,$b:7100" \
		--share-hold-ms 0 --accept-after-term-ms 3000 \
		--max-body-bytes 100000 2>>"$tmp/entryd.log" &
	started=$!
	pids="$pids $started"
}

hosts=$(jq -cn --arg ip $ip '{hosts: [range(4) | {id: "e\(.)",
	kind: "endpoint", address: "\($ip):\(9000 + .)", data_centre: "dc1",
	state: "live", slots: 8, connections: 60}]}')
"$build/bin/cq-fake-store" --listen $ip:7000 --hosts "$hosts" \
	>"$tmp/store.log" &
pids="$pids $!"
"$build/bin/cq-fake-endpoint" --listen $ip:9000 --control $ip:8999 --count 4 \
	--service-ms 10 >"$tmp/endpoint.log" &
pids="$pids $!"
wait_for curl -sf "http://$ip:7000/v1/stats"
# setting KEY JSON
setting() {
	curl -sf -o /dev/null -X PUT "http://$ip:7000/v1/kv/settings/$1" \
		-d "{\"writer\":\"test\",\"sequence\":1,\"settings\":$2}"
}
setting global '{"classes":[{"name":"urgent","rank":0,"weight":100},
	{"name":"normal","rank":1,"weight":10}]}'
setting data-centres/dc1 '{"state":"in","entry_hosts":2}'
setting workspaces/default '{"weight":1}'
start_entry $a 0
pid_a=$started
start_entry $b 1
pid_b=$started
wait_for ready $a
wait_for ready $b
for pid in $pids; do
	# Another run would serve this one's calls.
	kill -0 "$pid" 2>/dev/null || {
		echo "a program did not start: are 127.0.21.x in use?"
		exit 1
	}
done
# members HOST: how many daemons the host sees alive.
members() {
	curl -s -H "Authorization: Bearer $CQ_OPERATOR_TOKEN" \
		"http://$1:7200/v1/members" |
		jq '[.members[] | select(.state == "alive")] | length'
}
see_each_other() { [ "$(members $a)" = 2 ] && [ "$(members $b)" = 2 ]; }
wait_for see_each_other

echo "== answers"
call $a pair -H "$W" -H "$C" -H 'Content-Type: text/plain' -d hello
cat "$tmp/body"
echo
grep -ci '^cq-expected-wait-ms: [0-9]' "$tmp/head"

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
head -c 200000 /dev/zero | tr '\0' x >"$tmp/big"
call $a pair -H "$W" -H "$C" -H 'Expect:' --data-binary "@$tmp/big"
call $a pair -H "$W" -H "$C" -H "X-Big: $(head -c 40000 "$tmp/big")" -d x |
	cut -d' ' -f1
call $a pair -H "$W" -H "$C" -d still-served

echo "== a key sent through both hosts runs once"
minted() { date +%s%3N; }
key_accepted() {
	case $(call "$1" warm -H "$W" -H "$C" -H 'Cq-Timeout-Ms: 300' \
		-H "Idempotency-Key: $(minted)-warm$1" -d x) in
	"200 "*) return 0 ;;
	*) return 1 ;;
	esac
}
wait_for key_accepted $a
wait_for key_accepted $b
for n in 1 2 3 4 5 6; do
	key=$(minted)-k$n
	call $a "keyed-$n" -H "$W" -H "$C" -H "Idempotency-Key: $key" -d k$n
	call $b "keyed-$n" -H "$W" -H "$C" -H "Idempotency-Key: $key" -d k$n
done | sort | uniq -c | awk '{print $1, $2, $3, $4}'
curl -s "http://$ip:8999/v1/stats?bodies=1" |
	jq -c '[.bodies | to_entries[] | select(.key | startswith("/keyed"))
		| .value] | [length, add]'
key=$(minted)-reused
call $a reused -H "$W" -H "$C" -H "Idempotency-Key: $key" -d first
call $b reused -H "$W" -H "$C" -H "Idempotency-Key: $key" -d other
call $a old -H "$W" -H "$C" -H 'Idempotency-Key: 1764000000000-old' -d x

echo "== truncated and crossed answers are errors, unknown"
faults '{"close_mid_answer":1}'
call $a cut -H "$W" -H "$C" -d cut-short
faults '{"close_mid_answer":0,"cross_answers":1}'
call $a crossed -H "$W" -H "$C" -d crossed
faults '{"cross_answers":0}'

echo "== a leaving endpoint gets no new work"
faults '{"endpoints":[1],"leaving":true}'
load $a leaving 100 | sort | uniq -c | awk '{print $1, $2}'
load $b leaving-b 100 | sort | uniq -c | awk '{print $1, $2}'
before=$(stats '.endpoints[1].refused')
load $a left 200 | sort | uniq -c | awk '{print $1, $2}'
after=$(stats '.endpoints[1].refused')
[ "$before" = "$after" ] && echo "no request more"
faults '{"endpoints":[1],"leaving":false}'

# keep_keys: the same keys each time, through the host that does not stop.
kept_at=$(minted)
keep_keys() {
	for n in 1 2 3 4 5 6 7 8; do
		call $b "kept-$n" -H "$W" -H "$C" \
			-H "Idempotency-Key: $kept_at-kept$n" -d "kept$n"
	done | sort | uniq -c | awk '{print $1, $2, $3, $4}'
}
keep_keys >/dev/null

echo "== a graceful shutdown cuts no request short"
faults '{"service_ms":60}'
start=$(stats .executions)
(
	n=0
	while ready $a >/dev/null 2>&1; do
		n=$((n + 1))
		load $a "drain-$n" 48
	done
) >"$tmp/drain" &
loader=$!
wait_for executed_more_than $((start + 60))
kill -TERM "$pid_a"
wait_for not_ready $a
# The load balancer needs a moment: the host still answers.
call $a late -H "$W" -H "$C" -d after-term
wait "$pid_a"
echo "exit $?"
wait "$loader"
sort -u "$tmp/drain"

echo "== a key has its first outcome after its home was restarted"
start_entry $a 0
pid_a=$started
wait_for ready $a
handed_over=$(jq -R 'fromjson? | select(.event == "outcomes_handed_over")
	| .keys' "$tmp/entryd.log")
taken_over() {
	[ "$(curl -s "http://$a:7200/metrics" |
		awk '/^cq_request_keys_taken_over/ {print $2}')" = "$handed_over" ]
}
wait_for taken_over
keep_keys
curl -s "http://$ip:8999/v1/stats?bodies=1" |
	jq -c '[.bodies | to_entries[] | select(.key | startswith("/kept"))
		| .value] | [length, add]'

echo "== a killed host loses only its own open requests"
start=$(stats .executions)
load $a kill-a 600 >"$tmp/kill-a" &
loader_a=$!
load $b kill-b 600 >"$tmp/kill-b" &
loader_b=$!
wait_for executed_more_than $((start + 100))
kill -KILL "$pid_b"
wait "$loader_a"
wait "$loader_b"
sort -u "$tmp/kill-a"
# 000: the connection broke, so the caller knows that the outcome is unknown.
grep -v -e '^200$' -e '^000$' "$tmp/kill-b"
grep -q '^000$' "$tmp/kill-b" && echo "its open requests broke"

echo "== a key whose home is dead is refused as unknown"
wait_for key_accepted $a
n=0
while [ $n -lt 60 ]; do
	n=$((n + 1))
	answer=$(call $a dead-home -H "$W" -H "$C" -H 'Cq-Timeout-Ms: 300' \
		-H "Idempotency-Key: $(minted)-dead$n" -d x)
	[ "${answer%% *}" = 200 ] || break
done
echo "$answer"

echo "== limits and doubles"
stats '[.endpoints[].max_concurrent] | max <= 8'
stats '[.endpoints[].max_connections] | max <= 60'
stats '.repeated_ids'
curl -s "http://$ip:8999/v1/stats?bodies=1" |
	jq -c '[.bodies | to_entries[] | select(.value > 1) | .key
		| select(test("^/(drain|kill|keyed|left)"))]'
curl -s "http://$a:7200/metrics" | grep -c '^cq_requests_submitted'

start_entry $b 1
wait_for ready $b
faults '{"service_ms":10}'
echo "== connections that went silent swallow nothing"
# Enough to earn the retries of 16 connections.
load $a warm-up-a 200 -H 'Cq-Idempotent: yes' >/dev/null
load $b warm-up-b 200 -H 'Cq-Idempotent: yes' >/dev/null
faults '{"silence_connections":true}'
load $a fresh 40 | sort | uniq -c | awk '{print $1, $2}'
load $b again 40 -H 'Cq-Idempotent: yes' | sort | uniq -c |
	awk '{print $1, $2}'
