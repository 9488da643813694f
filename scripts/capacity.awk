# Computes the tables of docs/CAPACITY.md; run by capacity.sh. The first input
# file holds the target sizes (name, value), the second the unit costs measured
# by a benchmark run (bench/metric, value). The tables call a unit cost "slope".
FNR == NR {
	if ($1 !~ /^#/)
		target[$1] = $2
	next
}
{ slope[$1] = $2 }

# Returns a unit cost of bench_capacity. A missing one is recorded as a gap and
# counts as 0.
function capacity_cost(name)
{
	return unit_cost("capacity/" name)
}
function unit_cost(name)
{
	if (name in slope)
		return slope[name]
	if (!(name in absent))
		gaps = gaps (gaps == "" ? "" : ", ") name
	absent[name] = 1
	return 0
}
function begin_table(title, unit)
{
	printf "\n#### %s (%s)\n\n| Item | Count | Slope | Sum | Carried by |\n|---|---:|---:|---:|---|\n", title, unit
	sum = 0
	gaps = ""
	split("", absent)
}
# Prints a table row: count times unit cost, or "not measured yet" if require()
# has found a cost missing.
function print_item(name, count, value, by,    before)
{
	before = gaps
	if (missing_cost != "") {
		printf "| %s | %s | not measured yet | - | %s |\n", name, num(count), by
	} else {
		printf "| %s | %s | %s | %s | %s |\n", name, num(count), num(value), num(count * value), by
		sum += count * value
	}
	missing_cost = ""
}
# Marks the next item as not measured if one of the named costs is missing.
function require(names,    list, n, i)
{
	n = split(names, list, " ")
	missing_cost = ""
	for (i = 1; i <= n; i++)
		if (!(list[i] in slope)) {
			missing_cost = list[i]
			gaps = gaps (gaps == "" ? "" : ", ") list[i]
		}
}
function end_table(budget, unit, divisor, what,    value)
{
	value = sum / divisor
	printf "\n%s%s %s", (gaps == "" ? "Sum: " : "Sum, at least: "), num(value), unit
	if (gaps != "")
		printf " (without %s)", gaps
	if (budget == "") {
		printf ".\n"
		return
	}
	printf "; budget %s %s: ", num(budget), unit
	if (value > budget)
		printf "**broken, %.3g times the budget**.\n", value / budget
	else if (gaps != "")
		printf "not broken by what is measured.\n"
	else
		printf "kept, %.0f %% used.\n", 100 * value / budget
	verdicts = verdicts sprintf("| %s | %s | %s %s | %s %s | %s |\n", role, what, (gaps == "" ? "" : "at least ") num(value), unit, num(budget), unit, value > budget ? sprintf("**broken, %.3g times**", value / budget) : gaps == "" ? "kept" : "open")
}
function num(value)
{
	if (value == int(value) && value < 1e9)
		return sprintf("%d", value)
	if (value >= 100)
		return sprintf("%.0f", value)
	return sprintf("%.3g", value)
}

# Memory, processor time and network traffic that all daemons have in common.
function common_memory()
{
	require("capacity/process_resident")
	print_item("process before any state", 1, capacity_cost("process_resident"), "diskless processes; state is bounded by the tables below")
	require("capacity/member_memory")
	print_item("member records", target["processes"], capacity_cost("member_memory"), "membership: one record a daemon, whole deployment")
	require("capacity/settings_subtree_memory")
	print_item("settings subtrees", subtrees, capacity_cost("settings_subtree_memory"), "settings tree: all subtrees on every daemon")
	require("capacity/peer_link_memory")
	print_item("peer links", links, capacity_cost("peer_link_memory"), "links are opened on demand and closed when idle")
}
function common_cpu()
{
	require("capacity/membership_cpu")
	print_item("membership", 1, capacity_cost("membership_cpu"), "one probe a second, whatever the number of daemons")
	require("capacity/peer_message_cpu capacity/membership_messages")
	print_item("membership messages, sent and received", 2 * capacity_cost("membership_messages"), capacity_cost("peer_message_cpu"), "bounded number of records in a message")
	require("capacity/settings_apply_cpu")
	print_item("settings changes", settings_s, capacity_cost("settings_apply_cpu"), "each change is applied once")
	require("capacity/peer_message_cpu")
	print_item("settings messages (change and acknowledgement)", 2 * settings_s, capacity_cost("peer_message_cpu"), "relay within the data centre")
}
function common_bytes()
{
	require("capacity/membership_bytes")
	print_item("membership, sent and received", 1, capacity_cost("membership_bytes"), "one probe a second; bounded messages")
	require("capacity/settings_change_bytes")
	print_item("settings changes received", settings_s, capacity_cost("settings_change_bytes"), "relay; only what is missing is pulled")
	require("capacity/peer_message_overhead")
	print_item("settings acknowledgements", settings_s, capacity_cost("peer_message_overhead") + 10, "one short answer a change")
}
function watcher_cpu(extra)
{
	require("capacity/peer_message_cpu")
	print_item("relayed settings messages (watcher)", 2 * settings_s * (per_dc - 2), capacity_cost("peer_message_cpu"), "one watcher a data centre pushes to the others")
	require("capacity/store_read_cpu")
	print_item("settings watch (watcher)", settings_s + 1 / target["watch_wait"], capacity_cost("store_read_cpu"), "one watcher a data centre")
}
function watcher_bytes()
{
	require("capacity/settings_change_bytes capacity/peer_message_overhead")
	print_item("relayed settings (watcher)", settings_s * (per_dc - 2), capacity_cost("settings_change_bytes") + capacity_cost("peer_message_overhead") + 10, "one watcher a data centre pushes to the others")
}

function entryd()
{
	role = "cq-entryd"
	printf "\n### cq-entryd\n"
	begin_table("Memory", "bytes")
	common_memory()
	end_table(target["budget_memory"], "bytes", 1, "memory")
	begin_table("Processor time", "microseconds a second")
	common_cpu()
	require("capacity/store_write_cpu")
	print_item("settings writes of operators", settings_s / (target["processes"] / 2), capacity_cost("store_write_cpu"), "any entry host takes a write")
	end_table(target["budget_core"], "% of a core", 10000, "processor, without requests")
	begin_table("Network", "bytes a second")
	common_bytes()
	end_table(target["budget_bytes"], "bytes/s", 1, "network, without requests")
	printf "\nNo target rate of requests is given, so requests appear as a slope only: %s.\n", requests_text()
}
function requests_text(    name)
{
	name = "requests/requests_per_second_per_core"
	if (!(name in slope))
		return "not measured yet"
	return num(1e6 / slope[name]) " us of processor time each, so " num(slope[name] * target["budget_core"] / 100) " requests/s fit in the processor budget"
}
function owner()
{
	role = "cq-schedd, owner"
	printf "\n### cq-schedd as owner\n\nOne data centre: %s workers, %s tasks, %s running jobs, %s records of ended jobs.\n", num(workers), num(tasks), num(running), num(ended)
	begin_table("Memory", "bytes")
	common_memory()
	require("capacity/worker_memory")
	print_item("workers", workers, capacity_cost("worker_memory"), "one owner a data centre; state is split by data centre")
	require("capacity/task_memory")
	print_item("tasks", tasks, capacity_cost("task_memory"), "rebuilt from the workers")
	require("capacity/job_record_memory")
	print_item("job records", running + ended, capacity_cost("job_record_memory"), "ended jobs are kept for the retention time only")
	require("capacity/http_connection_memory")
	print_item("idle connections to workers", min(workers, target["idle_connections"]), capacity_cost("http_connection_memory"), "idle connections kept are capped")
	require("decisions/planner_memory_per_worker")
	print_item("planner, kept", workers, slope["decisions/planner_memory_per_worker"], "history and health by worker")
	require("decisions/plan_scratch_per_worker")
	print_item("planner, during a plan, by worker", workers, slope["decisions/plan_scratch_per_worker"], "one snapshot at a time")
	require("decisions/plan_scratch_per_task")
	print_item("planner, during a plan, by task", tasks, slope["decisions/plan_scratch_per_task"], "one snapshot at a time")
	end_table(target["budget_memory"], "bytes", 1, "memory")
	begin_table("Processor time", "microseconds a second")
	common_cpu()
	watcher_cpu()
	require("capacity/worker_sync_cpu")
	print_item("worker syncs", syncs(), capacity_cost("worker_sync_cpu"), "reuse of connections; only changed tasks are reported")
	require("capacity/worker_report_cpu")
	print_item("reports into the fleet state", syncs(), capacity_cost("worker_report_cpu"), "hash tables by task id")
	require("capacity/job_record_cpu capacity/store_write_cpu")
	print_item("job record writes", jobs_s * target["job_writes"], capacity_cost("job_record_cpu") + capacity_cost("store_write_cpu"), "a write for each phase only")
	require("capacity/store_write_cpu")
	print_item("lease renewals", 1 / target["renew_interval"], capacity_cost("store_write_cpu"), "one lease a data centre")
	require("capacity/store_read_cpu")
	print_item("start permits", 1 / target["permit_interval"], capacity_cost("store_read_cpu"), "one read serves all starts of a second")
	require("decisions/plan_time_p50.957_workers")
	print_item("plans", 1 / target["plan_interval"], 1000 * slope["decisions/plan_time_p50.957_workers"], "one plan a second; workers are split by data centre")
	end_table(target["budget_core"], "% of a core", 10000, "processor")
	begin_table("Network", "bytes a second")
	common_bytes()
	watcher_bytes()
	require("capacity/worker_sync_bytes")
	print_item("worker syncs", syncs(), capacity_cost("worker_sync_bytes"), "only changed tasks are reported")
	require("capacity/job_record_bytes")
	print_item("job records written and watched", 2 * jobs_s * target["job_writes"], capacity_cost("job_record_bytes"), "a write for each phase only")
	end_table(target["budget_bytes"], "bytes/s", 1, "network")
	sync_note()
}
# Returns the syncs per second with all workers of a data centre.
function syncs()
{
	return min(workers / target["sync_interval"], target["max_syncs"])
}
# Prints the interval of worker syncs that would fit the budgets.
function sync_note(    cpu, bytes)
{
	if (!("capacity/worker_sync_unchanged_bytes" in slope))
		return
	cpu = slope["capacity/worker_sync_unchanged_cpu"]
	bytes = slope["capacity/worker_sync_unchanged_bytes"]
	printf "\nThe worker syncs decide. If no task of a worker changed, a sync takes %s us and %s bytes; all workers then need %s %% of a core and %s bytes/s. Syncs alone would fit the budgets with one each %s s (processor) and %s s (network) for a worker, if nothing changed.\n", num(cpu), num(bytes), num(syncs() * cpu / 10000), num(syncs() * bytes), num(workers * cpu / 10000 / target["budget_core"]), num(workers * bytes / target["budget_bytes"])
	if (workers > target["idle_connections"])
		printf "\nOnly %s idle connections are kept for %s workers, so at least %s of the syncs open a new connection; the slope above is that of a reused one.\n", num(target["idle_connections"]), num(workers), num(workers - target["idle_connections"])
}
function standby()
{
	role = "cq-schedd, standing by"
	printf "\n### cq-schedd standing by\n"
	begin_table("Memory", "bytes")
	common_memory()
	end_table(target["budget_memory"], "bytes", 1, "memory")
	begin_table("Processor time", "microseconds a second")
	common_cpu()
	require("capacity/store_read_cpu")
	print_item("watch of the ownership key", 1 / target["watch_wait"], capacity_cost("store_read_cpu"), "only the candidates of lowest id watch")
	end_table(target["budget_core"], "% of a core", 10000, "processor")
	begin_table("Network", "bytes a second")
	common_bytes()
	end_table(target["budget_bytes"], "bytes/s", 1, "network")
}
function store()
{
	role = "store"
	printf "\n### Store\n"
	begin_table("Writes", "calls a second")
	print_item("settings changes", settings_s, 1, "one compare-and-swap a change")
	print_item("lease renewals of owners", target["data_centres"], 1 / target["renew_interval"], "one lease a data centre, not one a daemon")
	print_item("job records", target["jobs_day"] / 86400 * target["job_writes"], 1, "a write for each phase only")
	print_item("offers of owners", target["data_centres"] / target["offer_write"], 1, "one small key a data centre, not one a worker")
	print_item("restarts (lease and index)", target["restarts_day"] / 86400, 2, "a claim of an index at each start")
	end_table(target["store_writes"], "calls/s", 1, "writes")
	begin_table("Reads", "calls a second")
	print_item("settings watches, woken by changes", target["data_centres"], settings_s, "one watcher a data centre; every daemon would be " target["processes"])
	print_item("settings watches that wait in vain", target["data_centres"], 1 / target["watch_wait"], "long wait")
	print_item("full reads by watchers", target["data_centres"], 1 / target["list_interval"], "one a minute")
	print_item("ownership watches", target["data_centres"] * target["candidates"], 1 / target["watch_wait"], "three candidates a data centre")
	print_item("start permits", target["data_centres"], 1 / target["permit_interval"], "one read serves all starts of a second")
	print_item("lists of offers", target["data_centres"], 1 / target["offer_read"], "owners only")
	print_item("job watches, woken by changes", target["jobs_day"] / 86400 * target["job_writes"], 1, "the owner alone watches its jobs")
	print_item("restarts (settings)", target["restarts_day"] / 86400, 1, "one list at each start")
	end_table(target["store_reads"], "calls/s", 1, "reads")
	printf "\nThe host list is read by every daemon each %s s: %s calls/s, on the host list's own interface.\n", target["host_list_interval"], num(target["processes"] / target["host_list_interval"])
}
function bad_hours(    jobs, writes, doc)
{
	printf "\n### Bad hours\n"
	role = "bad hours"
	begin_table("A data centre is lost and its jobs restart elsewhere", "store writes")
	print_item("running jobs moved and started again", running, target["job_writes"], "records move by compare-and-swap; bounded writes in flight")
	end_table("", "writes", 1, "")
	printf "\nAt %s writes/s less the normal load the store takes %s s for them. Each of the other data centres gets %s tasks.\n", target["store_writes"], num(sum / (target["store_writes"] - normal_writes)), num(tasks / (target["data_centres"] - 1))
	if (("capacity/worker_sync_cpu" in slope))
		printf "Starting them costs each owner at least %s ms of processor time (one call a task, held and released: two).\n", num(2 * tasks / (target["data_centres"] - 1) * capacity_cost("worker_sync_cpu") / 1000)
	doc = ("capacity/settings_change_bytes" in slope) ? capacity_cost("settings_change_bytes") : 0
	begin_table("A region is apart for an hour", "bytes a daemon, on return")
	require("capacity/settings_change_bytes")
	print_item("subtrees changed meanwhile (of " num(settings_s * 3600) " changes)", min(subtrees, settings_s * 3600), doc, "the newest document of each subtree, not each change")
	end_table("", "bytes", 1, "")
	if (gaps == "")
		printf "\nThat is %s s at the network budget, against %s s for settings in force. A region holds %s workers; its tasks go on, and nothing starts there.\n", num(sum / target["budget_bytes"]), num(target["budget_in_force"] / 1000), num(target["workers"] / target["regions"])
	begin_table("The store is down for an hour", "refused calls")
	print_item("settings changes refused", settings_s * 3600, 1, "503, nothing done; operators try again")
	print_item("job submissions refused or delayed", target["jobs_day"] / 24, 1, "503 with Retry-After; the same key is safe")
	end_table("", "calls", 1, "")
	printf "\nOn return, each data centre has one watcher and one owner that read again: %s lists, spread by jittered backoff.\n", num(2 * target["data_centres"])
}
function min(a, b)
{
	return a < b ? a : b
}
function print_timings()
{
	printf "\n### Times\n\n| Time | Measured | Budget | Verdict |\n|---|---:|---:|---|\n"
	print_timing("urgent start, p99, 50 workers at 130 % load (garba)", "decisions/garba.load_130.urgent_start_p99", target["budget_start"], 1000)
	print_timing("urgent start, p99, 50 workers at 130 % load (tapa)", "decisions/tapa.load_130.urgent_start_p99", target["budget_start"], 1000)
	print_timing("one plan at 957 workers, p99", "decisions/plan_time_p99.957_workers", 10)
	print_timing("settings in force, p99", "coordination/settings_in_force_p99", target["budget_in_force"])
	print_timing("settings in force with 33 % of messages lost, p99", "coordination/settings_in_force_loss_33_percent_p99", target["budget_in_force"])
	print_timing("settings in force after a partition of 30 s, p99", "coordination/settings_in_force_after_partition_30s_p99", target["budget_in_force"])
	print_timing("takeover after the owner died, longest", "coordination/takeover_after_kill_max", 6000)
}
function print_timing(name, metric, budget, factor,    ms)
{
	ms = slope[metric] * (factor ? factor : 1)
	if (metric in slope)
		printf "| %s | %s ms | %s ms | %s |\n", name, num(ms), num(budget), ms <= budget ? "kept" : sprintf("**broken, %.3g times**", ms / budget)
	else
		printf "| %s | not measured yet | %s ms | open |\n", name, num(budget)
}

END {
	settings_s = target["settings_day"] / 86400
	subtrees = target["workspaces"] + target["data_centres"] + 1
	per_dc = target["processes"] / target["data_centres"]
	workers = target["workers"] / target["data_centres"]
	tasks = target["tasks"] / target["data_centres"]
	running = tasks / target["tasks_per_job"]
	ended = target["jobs_day"] / target["data_centres"] * target["job_retention"] / 24
	jobs_s = target["jobs_day"] / 86400 / target["data_centres"]
	normal_writes = settings_s + target["data_centres"] / target["renew_interval"] + target["jobs_day"] / 86400 * target["job_writes"]
	# Links to the own data centre and to one remote member every 4 s, in
	# both directions.
	links = 2 * min(per_dc - 1 + target["link_idle"] / 4, target["processes"])
	entryd()
	owner()
	standby()
	store()
	bad_hours()
	print_timings()
	printf "\n### Verdicts\n\n| Role | Budget | Needed | Limit | Verdict |\n|---|---|---:|---:|---|\n%s", verdicts
}
