# Tests cq-burn on saved readings, against figures calculated by hand.
# Guards against a counter reset that is counted as events, an unreachable host
# that is counted as having no events, and wrong windows or budgets.
#
# Readings are taken at 0, 600, 1200 and 1800 s. Events of class pairing in each
# interval, as total/refused/slower than 200 ms (including refused ones):
#
#          0-600      600-1200   1200-1800
#   h1     101/1/11   101/1/11   101/1/11
#   h2      50/0/0     25/5/5     40/0/0   restarts at 900: 300 s unknown
#   h3     90/0/0 in all; no answer at 600 and 1200, so 30 per interval
#   h4     no answer after the first reading: 1800 s unknown
#
# success, 99 %, so 1 % may be bad:
#   last  600 s:   1 of 171 bad, burn 0.584795
#   last 1200 s:   7 of 327 bad, burn 2.140673
#   last 1800 s:   8 of 508 bad, burn 1.574803, budget left -0.574803
# time, 90 % within 200 ms, so 10 % may be bad:
#   last  600 s:  11 of 171 bad, burn 0.643275
#   last 1200 s:  27 of 327 bad, burn 0.825688
#   last 1800 s:  38 of 508 bad, burn 0.748031, budget left 0.251969
# settings in force within 17 s, 99 %; only h1, 10 changes per interval, 6
# within 10 s and all within 20 s: 8.8 good by interpolation,
#   1.2 of 10 bad, burn 12 (0 to 40)
bin=${CQ_BUILD:-build}/bin
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
base=1780000000000

# reading HOST SECOND START ANSWERED FAST REFUSED CHANGES: prints a scrape, with
# a count of no settings changes unless CHANGES is 0.
reading() {
	echo "# scrape $1 $((base + $2 * 1000))"
	[ "$3" = none ] || echo "cq_start_unix_ms{} $((base + $3 * 1000))"
	p='cq_request_seconds_bucket{class="pairing",result='
	echo "$p\"answered\",le=\"0.2\"} $5"
	echo "$p\"answered\",le=\"0.5\"} $4"
	echo "$p\"answered\",le=\"+Inf\"} $4"
	echo "$p\"overloaded\",le=\"0.2\"} $6"
	echo "$p\"overloaded\",le=\"+Inf\"} $6"
	echo "cq_request_seconds_count{class=\"pairing\",result=\"x\"} 99"
	[ "$7" != 0 ] || return 0
	echo "cq_settings_in_force_seconds_bucket{le=\"10\"} 0"
}
# changes N: prints the histogram after 10 * N settings changes.
changes() {
	echo "cq_settings_in_force_seconds_bucket{le=\"10\"} $(($1 * 6))"
	echo "cq_settings_in_force_seconds_bucket{le=\"20\"} $(($1 * 10))"
	echo "cq_settings_in_force_seconds_bucket{le=\"+Inf\"} $(($1 * 10))"
}
# failed HOST SECOND: prints a failed scrape.
failed() {
	echo "# scrape $1 $((base + $2 * 1000)) failed"
}

for i in 0 1 2 3; do
	reading h1 $((i * 600)) -5000 $((700 + i * 100)) $((600 + i * 90)) \
		$((9 + i)) 1
	changes $((40 + i))
done >"$work/h1"
{
	reading h2 0 -9000 1000 1000 10 1
	reading h2 600 -9000 1050 1050 10 1
	reading h2 1200 900 20 20 5 1
	reading h2 1800 900 60 60 5 1
} >"$work/h2"
{
	reading h3 0 -7000 500 500 0 1
	failed h3 600
	failed h3 1200
	reading h3 1800 -7000 590 590 0 1
} >"$work/h3"
{
	reading h4 0 -7000 500 500 0 1
	failed h4 600
	failed h4 1200
	failed h4 1800
} >"$work/h4"
cat >"$work/global" <<'END'
{"classes":[{"name":"pairing","rank":0}],
 "objectives":[
  {"name":"request_success","class":"pairing","percentile":99,"target_ms":1,
   "window_s":3600},
  {"name":"request_time","class":"pairing","percentile":90,"target_ms":200,
   "window_s":3600},
  {"name":"settings_in_force","class":"pairing","percentile":99,
   "target_ms":17000,"window_s":3600}]}
END

# run TITLE ARGUMENT...: runs cq-burn; prints the title, its output and its exit
# code.
run() {
	echo "# $1"
	shift
	"$bin/cq-burn" "$@" 2>&1 | sed "s|$work|DIR|g"
	# A second run gives the exit code of cq-burn instead of that of sed.
	"$bin/cq-burn" "$@" >/dev/null 2>&1
	echo "exit $?"
}
all=$work/h1,$work/h2,$work/h3,$work/h4
windows="--fast-s=600,1200 --slow-s=1200,1800"

run "all figures" --scrapes="$all" --objectives="$work/global" $windows \
	--fast-limit=20 --slow-limit=20 --output=json
run "text" --scrapes="$all" --objectives="$work/global" $windows \
	--fast-limit=20 --slow-limit=20
run "the fast pair of windows exceeds its limit" --scrapes="$work/h1" \
	--objectives="$work/global" $windows --fast-limit=11.5 --slow-limit=20
"$bin/cq-burn" --scrapes="$work/h3" --objectives="$work/global" $windows \
	>"$work/good"
echo "# no alert: exit $?"
"$bin/cq-burn" --scrapes="$work/h3,$work/h4" --objectives="$work/global" \
	$windows >"$work/good"
echo "# no alert, but h4 is missing: exit $?"
run "the slow pair of windows exceeds its limit" --scrapes="$work/h1" \
	--objectives="$work/global" $windows --fast-limit=13 --slow-limit=11.5
echo "# the chart names every objective and the missing hosts"
"$bin/cq-burn" --scrapes="$all" --objectives="$work/global" $windows \
	--output=svg >"$work/picture.svg"
head -c 4 "$work/picture.svg"
echo
tail -n 1 "$work/picture.svg"
grep -o -e '>request_[a-z]*' -e '>settings_[a-z_]*' -e '>h[0-9]<' \
	-e 'nothing known for [0-9]* [a-z]*' "$work/picture.svg"
if grep -q -e nan -e inf\" "$work/picture.svg"; then
	echo "the chart contains a value that is not a number"
fi
grep -o -e '>Worst.*<' "$work/picture.svg"

# A burn rate of 100, names that XML must escape, and a class without events.
long=a-host-with-a-name-that-does-not-fit-into-the-picture.example:7102
for second in 0 600; do
	echo "# scrape $long $((base + second * 1000))"
	echo "cq_request_seconds_bucket{class=\"a<b>&\",result=\"overloaded\",le=\"+Inf\"} $second"
	echo "# scrape <h> $((base + second * 1000)) failed"
done >"$work/names"
echo '{"objectives":[
	{"name":"request_success","class":"a<b>&","percentile":99,
	 "target_ms":1,"window_s":3600},
	{"name":"request_success","class":"idle","percentile":99,
	 "target_ms":1,"window_s":3600}]}' >"$work/odd"
echo "# the chart escapes names and shortens long ones"
"$bin/cq-burn" --scrapes="$work/names" --objectives="$work/odd" $windows \
	--output=svg | grep -o -e '>Worst.*<' -e '>a.*<' -e '>idle<' \
	-e '>worst host.*<' -e '>&lt;h.*<' -e '>100.*<' -e '>no events<'

# Without a start time, a decrease of a counter shows the restart: 5 of 25
# requests were refused since then, so the burn rate is 20.
{
	reading h2 0 none 1000 1000 10 1
	reading h2 600 none 20 20 5 1
} >"$work/reset"
echo "# a counter that decreases"
"$bin/cq-burn" --scrapes="$work/reset" --objectives="$work/global" $windows \
	--output=json | jq -c '.hosts[0], (.objectives[] |
		select(.name == "request_success") | .fast[0])'

echo "# usage"
run "neither hosts nor files" --objectives="$work/global"
run "no such file" --scrapes="$work/none" --objectives="$work/global"
run "not a record" --scrapes="$work/global" --objectives="$work/global"
run "no objectives" --scrapes="$work/h1"
echo '{}' >"$work/empty"
run "empty objectives" --scrapes="$work/h1" --objectives="$work/empty"
echo '{"objectives":[{"name":"beauty","class":"pairing"}]}' >"$work/other"
run "unknown objective" --scrapes="$work/h1" --objectives="$work/other"
run "windows" --scrapes="$work/h1" --objectives="$work/global" --fast-s=9,3
run "output" --scrapes="$work/h1" --objectives="$work/global" --output=pdf
run "no host answers" --hosts=127.0.23.77:9 --objectives="$work/global" \
	--readings=2 --interval-ms=10
