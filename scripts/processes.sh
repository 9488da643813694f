# Shell functions for scripts that run several of the project's programs.
# Set "work" to a directory for logs before sourcing this file, and call
# stop_all on exit. It ends only the processes that start() has started.

pids=

# start NAME COMMAND...: runs a command in the background and writes its output
# to $work/NAME.out and $work/NAME.log.
start() {
	process_name=$1
	shift
	"$@" >"$work/$process_name.out" 2>"$work/$process_name.log" &
	eval "pid_$(echo "$process_name" | tr '.-' '__')=$!"
	pids="$pids $!"
}

# pid_of NAME: prints the process id of a started program.
pid_of() {
	eval "echo \$pid_$(echo "$1" | tr '.-' '__')"
}

# wait_for SECONDS COMMAND...: repeats a command until it succeeds; fails after
# SECONDS.
wait_for() {
	wait_until=$(($(date +%s%N) + $1 * 1000000000))
	shift
	until "$@" >/dev/null 2>&1; do
		if [ "$(date +%s%N)" -ge "$wait_until" ]; then
			echo "timed out waiting for: $*" >&2
			return 1
		fi
		sleep 0.05
	done
}

# stop_all: terminates all started processes and kills those that have not ended
# after 10 s. SIGCONT wakes processes that a test has stopped.
stop_all() {
	for pid in $pids; do
		kill -CONT "$pid" 2>/dev/null
		kill "$pid" 2>/dev/null
	done
	stop_until=$(($(date +%s) + 10))
	for pid in $pids; do
		while kill -0 "$pid" 2>/dev/null &&
			[ "$(date +%s)" -lt "$stop_until" ]; do
			sleep 0.05
		done
		kill -9 "$pid" 2>/dev/null
		wait "$pid" 2>/dev/null
	done
	pids=
}
