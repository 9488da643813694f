# End-to-end test of endpoints that never answer, that answer every request with
# 500, and that leave while an outdated host list shows them as live.
#
# Guards against requests still routed to a failing or leaving endpoint, against
# an ejected endpoint that is never used again, and against a refusal with
# Cq-Run: no for a request that an endpoint has received.
set -u
net=127.0.24
. tests/scripts/common.sh
. tests/scripts/requests_common.sh
a=$net.2

metric_is() {
	curl -s -m 5 "http://$a:7200/metrics" | grep -q -x "$1 $2"
}
executed_by() { stats ".endpoints[$1].executions"; }
refused_by() { stats ".endpoints[$1].refused"; }
idempotent='Cq-Idempotent: yes'

start_endpoints 1
start_entry $a 0 1 --endpoint-run-max-ms 3000
wait_for 30 "readiness" ready $a
check_started
# Fills the retry budget for the requests that fail below.
load $a warm-up 300 -H "$idempotent" | count_lines

echo "== an endpoint never answers: the outcome is unknown"
faults '{"never_answer":true}'
call $a taken -H "$W" -H "$C" -H 'Cq-Timeout-Ms: 500' -d x
faults '{"never_answer":false}'
wait_for 20 "all endpoints are in use" metric_is 'cq_endpoints_ejected{}' 0

echo "== an endpoint never answers: other endpoints do"
faults '{"endpoints":[0],"never_answer":true}'
load $a silent 100 -H "$idempotent" | count_lines
wait_for 5 "the ejection" metric_is 'cq_endpoints_ejected{}' 1
load $a silent-later 100 | count_lines
faults '{"endpoints":[0],"never_answer":false}'
wait_for 30 "the return" metric_is 'cq_endpoints_ejected{}' 0

echo "== an endpoint fails at once: other endpoints answer"
# Waits until endpoint 1 takes requests again: before that, a probe instead of a
# call would detect the fault.
answered_by_1() {
	call $a before -H "$W" -H "$C" -d x
	grep -q -i '^cq-endpoint: e1' "$work/head"
}
wait_for 10 "endpoint 1 at work" answered_by_1
faults '{"endpoints":[1],"fail_fast":true}'
call_until_500() {
	[ "$(call $a single -H "$W" -H "$C" -d x)" = "500 - -" ]
}
wait_for 10 "an answer of the endpoint" call_until_500
sed -n 's/\r$//;s/^[Cc]q-[Ee]ndpoint/Cq-Endpoint/p' "$work/head"
parallel=28
load $a fast 300 -H "$idempotent" | count_lines
wait_for 5 "the ejection" metric_is 'cq_endpoints_ejected{}' 1
parallel=16
load $a fast-later 100 | count_lines
faults '{"endpoints":[1],"fail_fast":false}'
wait_for 30 "the return" metric_is 'cq_endpoints_ejected{}' 0

echo "== an endpoint leaves while the host list shows it as live"
put "$store/v1/faults" '{"host_list_lag_ms":6000}'
put "$store/v1/hosts" "$(endpoint_hosts 4 2)"
changed=$(date +%s%3N)
faults '{"endpoints":[2],"leaving":true}'
ran=$(executed_by 2)
three_s_later() { [ "$(date +%s%3N)" -ge $((changed + 3000)) ]; }
until three_s_later; do
	load $a leaving 20
done | sort -u
refused=$(refused_by 2)
[ "$refused" -gt 0 ] && echo "the leaving endpoint refused requests"
load $a left 200 | count_lines
echo "listed as $(curl -s "http://$store/v1/hosts" |
	jq -r '.hosts[2].state'), more requests: $(($(refused_by 2) - refused))"
# From here on, only the host list keeps requests from the endpoint.
list_shows_it() {
	[ "$(curl -s "http://$store/v1/hosts" |
		jq -r '.hosts[2].state')" = leaving ]
}
wait_for 10 "the late host list" list_shows_it
wait_for 5 "the host list at the entry host" \
	metric_is 'cq_endpoints_leaving{}' 1
leaving_answer_expired() { [ "$(date +%s%3N)" -ge $((changed + 14000)) ]; }
faults '{"endpoints":[2],"leaving":false}'
until leaving_answer_expired; do
	load $a listed 20
done | sort -u
echo "the leaving endpoint ran $(($(executed_by 2) - ran)) requests"
