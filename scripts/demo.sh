#!/bin/sh
# Runs the whole system on loopback: simulated store, workers and endpoints, two
# data centres and four entry hosts. Submits jobs and requests, and takes a data
# centre out of service and back. Prints a table, ends every process that it
# started, and exits non-zero if one of its checks failed.
set -u
top=$(cd "$(dirname "$0")/.." && pwd)
bin=$top/${1:-build}/bin
work=$(mktemp -d)
. "$top/scripts/processes.sh"
trap 'stop_all; rm -rf "$work"' EXIT
trap 'exit 1' INT TERM
export CQ_OPERATOR_TOKEN=demo-operator-token
export CQ_DEPLOYMENT=demo
export CQ_STORE_ADDRESS=127.0.31.1:7000
broken=0

fail() {
	echo "BROKEN: $*"
	broken=1
}

# host_ip NUMBER: prints the address of an entry host. Entry hosts 1 and 2 are in
# ambato, 3 and 4 in riobamba.
host_ip() {
	echo "127.0.31.1$1"
}

data_centre_of() {
	if [ "$1" -le 2 ]; then echo ambato; else echo riobamba; fi
}

write_host_list() {
	{
		printf '{"hosts":['
		for i in 0 1 2 3 4 5; do
			for dc in ambato riobamba; do
				port=$((7200 + i))
				[ $dc = riobamba ] && port=$((port + 6))
				printf '{"id":"%s-w%d","kind":"worker","address":"127.0.31.2:%d","data_centre":"%s","rack":"%d","state":"live"},' \
					$dc "$i" "$port" $dc $((i / 2))
			done
		done
		for i in 0 1 2 3; do
			dc=ambato
			[ $i -ge 2 ] && dc=riobamba
			printf '{"id":"fit-%d","kind":"endpoint","address":"127.0.31.3:%d","data_centre":"%s","state":"live","slots":8,"connections":60},' \
				$i $((7300 + i)) $dc
		done
		for i in 1 2 3 4; do
			[ "$i" = 1 ] || printf ','
			printf '{"id":"host%d","kind":"entry","address":"%s:7001","data_centre":"%s","state":"live"}' \
				"$i" "$(host_ip "$i")" "$(data_centre_of "$i")"
		done
		printf ']}'
	} >"$work/hosts.json"
	curl -sf -X PUT --data-binary @"$work/hosts.json" \
		http://127.0.31.1:7000/v1/hosts >/dev/null
}

put_setting() {
	curl -sf -X PUT --data-binary \
		"{\"writer\":\"demo\",\"sequence\":1,\"settings\":$2}" \
		"http://127.0.31.1:7000/v1/kv/settings/$1?revision=0" >/dev/null ||
		fail "cannot write the setting $1"
}

start_daemons() {
	seeds=$(host_ip 1):7001,$(host_ip 3):7001
	for i in 1 2 3 4; do
		ip=$(host_ip $i)
		index=$(((i + 1) % 2))
		common="--data-centre $(data_centre_of $i) --host-id host$i
			--index $index --index-count 2 --seeds $seeds"
		# shellcheck disable=SC2086
		start "entryd$i" "$bin/cq-entryd" $common \
			--peer-address "$ip:7001" --operator-address "$ip:7002" \
			--caller-address "$ip:7003" --share-hold-ms 0 \
			--accept-after-term-ms 500
		# shellcheck disable=SC2086
		start "schedd$i" "$bin/cq-schedd" $common \
			--peer-address "$ip:7011" --operator-address "$ip:7012"
	done
}

all_ready() {
	for i in 1 2 3 4; do
		curl -sf "http://$(host_ip $i):7002/readyz" || return 1
		curl -sf "http://$(host_ip $i):7012/readyz" || return 1
	done
}

ctl() {
	"$bin/cqctl" "$@" --server "$(host_ip 1):7002"
}

# submit_job TASKS ACCELERATORS RUN_MS: submits a job and prints its id.
submit_job() {
	curl -s -X POST "http://$(host_ip 1):7003/v1/jobs" \
		-H "Idempotency-Key: $(date +%s%N)-$$" -d "{\"workspace\":\"lids\",
		\"class\":\"simulation\",\"tasks\":$1,\"accelerators\":$2,
		\"cpu_millicores\":4000,\"memory_bytes\":8000000000,
		\"adjacency\":\"data-centre\",\"expected_ms\":$3}" |
		jq -r '.id // ("refused: " + tostring)'
}

jobs_in_state() {
	ctl jobs list --output json | jq "[.jobs[] | select(.state==\"$1\")] | length"
}

jobs_done() {
	[ "$(jobs_in_state finished)" = "$1" ]
}

owner_in() {
	ctl members --output json |
		jq -e ".members[] | select(.data_centre==\"$1\" and .owner_epoch>0)"
}

owners_known() {
	owner_in ambato && owner_in riobamba
}

# starts_after DATA_CENTRE UNIX_MS: prints the number of task starts that the
# workers recorded in the data centre after the time.
starts_after() {
	curl -s http://127.0.31.2:7190/v1/stats |
		jq "[.starts[] | select(.data_centre==\"$1\" and .unix_ms>$2)] | length"
}

started=$(date +%s%N)
start store "$bin/cq-fake-store" --listen 127.0.31.1:7000
wait_for 5 curl -sf http://127.0.31.1:7000/v1/stats || exit 1
start workers "$bin/cq-fake-worker" --listen 127.0.31.2:7200 \
	--control 127.0.31.2:7190 --data-centres ambato,riobamba --count 6 \
	--rack-size 2 --cpu-millicores 60000 --memory-mib 130000
start endpoints "$bin/cq-fake-endpoint" --listen 127.0.31.3:7300 \
	--control 127.0.31.3:7390 --count 4 --slots 8 --service-ms 5
write_host_list
put_setting global '{"classes":[{"name":"seal-fit","rank":0,"weight":100},
	{"name":"simulation","rank":1,"weight":10},
	{"name":"preview","rank":2,"weight":1}]}'
put_setting data-centres/ambato '{"state":"in","notice_s":2,"entry_hosts":2}'
put_setting data-centres/riobamba '{"state":"in","notice_s":2,"entry_hosts":2}'
put_setting workspaces/lids '{"weight":10,"guarantees":[
	{"count":2,"accelerators":8,"adjacency":"worker"}]}'
start_daemons
wait_for 20 all_ready || fail "the daemons are not ready"
wait_for 20 owners_known || fail "a data centre has no owner"

gang=$(submit_job 2 8 3000)
singles=0
while [ $singles -lt 20 ]; do
	submit_job 1 1 1000 >>"$work/singles"
	singles=$((singles + 1))
done
"$bin/cq-load" --targets "$(host_ip 1):7003,$(host_ip 2):7003,$(host_ip 3):7003,$(host_ip 4):7003" \
	--count 200 --rate 100 --workspace lids --class seal-fit \
	--non-idempotent-share 20 --check-echo >"$work/load.json"
wait_for 20 jobs_done 21 || fail "not all of the first 21 jobs finished"

out_begin=$(date +%s%N)
ctl data-centre out ambato >"$work/out" 2>&1 ||
	fail "taking ambato out: $(cat "$work/out")"
out_end=$(date +%s%N)
limit_ms=$((out_end / 1000000 + 3000))
batch=0
while [ $batch -lt 10 ]; do
	submit_job 1 2 500 >>"$work/singles"
	batch=$((batch + 1))
done
wait_for 20 jobs_done 31 || fail "not all jobs finished while ambato was out"
wait_for 5 sh -c "[ \$(date +%s%N) -gt ${limit_ms}000000 ]"
late_starts=$(starts_after ambato "$limit_ms")
ctl data-centre in ambato >"$work/in" 2>&1 ||
	fail "returning ambato: $(cat "$work/in")"
submit_job 6 8 300 >>"$work/singles"
wait_for 20 jobs_done 32 || fail "not all jobs finished after the return"

answered=$(jq .answered "$work/load.json")
wrong=$(jq .wrong "$work/load.json")
done_jobs=$(jobs_in_state finished)
executions=$(curl -s http://127.0.31.3:7390/v1/stats | jq .executions)
repeated=$(curl -s "http://127.0.31.3:7390/v1/stats" | jq .repeated_ids)
max_slots=$(curl -s http://127.0.31.3:7390/v1/stats |
	jq '[.endpoints[].max_concurrent] | max')
stop_begin=$(date +%s%N)
stop_all
stop_end=$(date +%s%N)

[ "$answered" = 200 ] || fail "$answered of 200 requests answered:" \
	"$(cat "$work/load.json")"
[ "$wrong" = 0 ] || fail "$wrong answers were not the request's own"
[ "$late_starts" = 0 ] || fail "$late_starts starts in ambato after it was out"
[ "$max_slots" -le 8 ] || fail "an endpoint ran $max_slots requests at once"
[ "$repeated" = 0 ] || fail "$repeated requests reached endpoints twice"
case $gang in refused*) fail "the gang was $gang" ;; esac

cat <<TABLE

what                                     value
---------------------------------------  -------------------------------
jobs done (a gang of 16, 30 single,      $done_jobs of 32
  a gang of 48 accelerators)
requests answered                        $answered of 200, p99 $(jq .p99_ms "$work/load.json") ms
requests run by endpoints                $executions, $repeated of them twice
most requests at once on an endpoint     $max_slots of 8 slots
ambato out: in force everywhere after    $(((out_end - out_begin) / 1000000)) ms
starts in ambato from 3 s after that     $late_starts
graceful stop of all processes           $(((stop_end - stop_begin) / 1000000)) ms
whole run                                $(((stop_end - started) / 1000000000)) s
TABLE
exit $broken
