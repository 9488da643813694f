#!/bin/sh
# Soak test with fault injection: runs hosts as real processes against a
# simulated platform and injects faults from outside. Prints a report; the exit
# code is 1 if an invariant was violated. Ends only processes that it started.
#
#   scripts/soak.sh SEED [SECONDS [HOSTS [WORKERS]]]
#
# CQ_BUILD is the build directory and CQ_SOAK_LOGS the directory for the hosts'
# logs. CQ_SOAK_NET is the second number of the loopback addresses; it must
# differ between concurrent runs.
set -u
cd "$(dirname "$0")/.." || exit 2
bin=${CQ_BUILD:-build}/bin
seed=${1:?usage: soak.sh SEED [SECONDS [HOSTS [WORKERS]]]}
seconds=${2:-36}
hosts=${3:-4}
workers=${4:-6}
task_ms=1500
net=${CQ_SOAK_NET:-40}
case $net in
'' | *[!0-9]*)
	echo "soak.sh: CQ_SOAK_NET is '$net', not a number" >&2
	exit 2
	;;
esac
work=$(mktemp -d)
logs=${CQ_SOAK_LOGS:-$work}
mkdir -p "$logs"
supervisors=
platform_pid=

cleanup() {
	rm -f "$work/up"
	for file in "$work"/host-*.pid; do
		[ -f "$file" ] && kill -9 "$(cat "$file")" 2>/dev/null
	done
	[ -n "$platform_pid" ] && kill "$platform_pid" 2>/dev/null
	for pid in $supervisors; do
		wait "$pid" 2>/dev/null
	done
	rm -rf "$work"
}
trap cleanup EXIT
trap 'exit 130' INT TERM

write_host_file() {
	cat >"$work/host-$1.json" <<EOF
{"nodeName":"host$1","zone":"z$(($1 % 2))",
 "listen":{"front":"127.$net.2.$(($1 + 1)):8521",
 "ready":"127.$net.2.$(($1 + 1)):8523"},"bounds":{"graceS":2},
 "limits":{"cpuShare":0.25,"cores":1,"memoryMb":256},
 "platform":{"address":"127.$net.3.$(($1 + 1)):7001"}}
EOF
}

# Runs host $1 and restarts it whenever it ends, as the platform does.
supervise() {
	while [ -e "$work/up" ]; do
		CHESTNUTQUAY_NODE_FILE=$work/host-$1.json "$bin/cq-hostd" \
			>>"$logs/host-$1.log" 2>&1 &
		echo $! >"$work/host-$1.new"
		mv "$work/host-$1.new" "$work/host-$1.pid"
		wait $!
		echo "exit code $?" >>"$logs/host-$1.exits"
		rm -f "$work/host-$1.pid"
		sleep 0.2
	done
}

touch "$work/up"
"$bin/cq-fake-platform" "127.$net.1.1" 7001 "$workers" "$task_ms" \
	"127.$net.1.2" >"$logs/platform.log" 2>&1 &
platform_pid=$!
tries=0
until grep -q -x ready "$logs/platform.log"; do
	tries=$((tries + 1))
	if [ "$tries" -gt 200 ] || ! kill -0 "$platform_pid" 2>/dev/null; then
		echo "the simulated platform did not start:"
		cat "$logs/platform.log"
		exit 1
	fi
	sleep 0.05
done
host=0
while [ "$host" -lt "$hosts" ]; do
	write_host_file "$host"
	supervise "$host" 2>/dev/null &
	supervisors="$supervisors $!"
	host=$((host + 1))
done
"$bin/cq-soak" "$work" "$seed" "$seconds" "$hosts" "$workers" "$net"
status=$?
# A host may end only because it was killed (137) or asked to stop (0).
if grep -q -v -x -e 'exit code 0' -e 'exit code 137' "$logs"/host-*.exits 2>/dev/null; then
	echo "a host ended by itself:"
	grep -v -x -e 'exit code 0' -e 'exit code 137' "$logs"/host-*.exits
	status=1
fi
exit $status
