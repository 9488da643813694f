# Shell functions for scripts that run several of the project's programs.
# Source it after setting "work" to a directory for logs. Every process started
# through it is ended by its id when the script exits.

pids=

# start NAME COMMAND...: runs the command in the background, output in a log.
start() {
	process_name=$1
	shift
	"$@" >"$work/$process_name.out" 2>"$work/$process_name.log" &
	eval "pid_$(echo "$process_name" | tr '.-' '__')=$!"
	pids="$pids $!"
}

# pid_of NAME: the process id of a started program.
pid_of() {
	eval "echo \$pid_$(echo "$1" | tr '.-' '__')"
}

# wait_for SECONDS COMMAND...: repeats the command until it succeeds.
wait_for() {
	wait_until=$(($(date +%s%N) + $1 * 1000000000))
	shift
	until "$@" >/dev/null 2>&1; do
		if [ "$(date +%s%N)" -ge "$wait_until" ]; then
			echo "gave up waiting for: $*" >&2
			return 1
		fi
		sleep 0.05
	done
}

# stop_all: asks every process to end, and ends those that do not in 10 s.
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
