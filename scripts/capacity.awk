# Model of docs/CAPACITY.md; see capacity.sh. First file: targets (name, value);
# second file: slopes of a bench run (bench/metric, value).
FNR == NR {
	if ($1 !~ /^#/)
		t[$1] = $2
	next
}
{ slope[$1] = $2 }

# Slope of bench_capacity; an absent one is noted and counts 0.
function c(name)
{
	return m("capacity/" name)
}
function m(name)
{
	if (name in slope)
		return slope[name]
	if (!(name in absent))
		gaps = gaps (gaps == "" ? "" : ", ") name
	absent[name] = 1
	return 0
}
function begin(title, unit)
{
	printf "\n#### %s (%s)\n\n| Item | Count | Slope | Sum | Carried by |\n|---|---:|---:|---:|---|\n", title, unit
	sum = 0
	gaps = ""
	split("", absent)
}
# One line: count times slope; an unmeasured slope is said so.
function item(name, count, value, by,    before)
{
	before = gaps
	if (gaps_of_item != "") {
		printf "| %s | %s | not measured yet | - | %s |\n", name, num(count), by
	} else {
		printf "| %s | %s | %s | %s | %s |\n", name, num(count), num(value), num(count * value), by
		sum += count * value
	}
	gaps_of_item = ""
}
# Marks the next item as unmeasured if one of the names is absent.
function need(names,    list, n, i)
{
	n = split(names, list, " ")
	gaps_of_item = ""
	for (i = 1; i <= n; i++)
		if (!(list[i] in slope)) {
			gaps_of_item = list[i]
			gaps = gaps (gaps == "" ? "" : ", ") list[i]
		}
}
function end(budget, unit, divisor, what,    value)
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

# What every daemon holds and does.
function common_memory()
{
	need("capacity/process_resident")
	item("process before any state", 1, c("process_resident"), "diskless processes; state is bounded by the tables below")
	need("capacity/member_memory")
	item("member records", t["processes"], c("member_memory"), "membership: one record a daemon, whole deployment")
	need("capacity/settings_subtree_memory")
	item("settings subtrees", subtrees, c("settings_subtree_memory"), "settings tree: all subtrees on every daemon")
	need("capacity/peer_link_memory")
	item("peer links", links, c("peer_link_memory"), "links are opened on demand and closed when idle")
}
function common_cpu()
{
	need("capacity/membership_cpu")
	item("membership", 1, c("membership_cpu"), "one probe a second, whatever the number of daemons")
	need("capacity/peer_message_cpu capacity/membership_messages")
	item("membership messages, sent and received", 2 * c("membership_messages"), c("peer_message_cpu"), "bounded number of records in a message")
	need("capacity/settings_apply_cpu")
	item("settings changes", settings_s, c("settings_apply_cpu"), "each change is applied once")
	need("capacity/peer_message_cpu")
	item("settings messages (change and acknowledgement)", 2 * settings_s, c("peer_message_cpu"), "relay within the data centre")
}
function common_bytes()
{
	need("capacity/membership_bytes")
	item("membership, sent and received", 1, c("membership_bytes"), "one probe a second; bounded messages")
	need("capacity/settings_change_bytes")
	item("settings changes received", settings_s, c("settings_change_bytes"), "relay; only what is missing is pulled")
	need("capacity/peer_message_overhead")
	item("settings acknowledgements", settings_s, c("peer_message_overhead") + 10, "one short answer a change")
}
function watcher_cpu(extra)
{
	need("capacity/peer_message_cpu")
	item("relayed settings messages (watcher)", 2 * settings_s * (per_dc - 2), c("peer_message_cpu"), "one watcher a data centre pushes to the others")
	need("capacity/store_read_cpu")
	item("settings watch (watcher)", settings_s + 1 / t["watch_wait"], c("store_read_cpu"), "one watcher a data centre")
}
function watcher_bytes()
{
	need("capacity/settings_change_bytes capacity/peer_message_overhead")
	item("relayed settings (watcher)", settings_s * (per_dc - 2), c("settings_change_bytes") + c("peer_message_overhead") + 10, "one watcher a data centre pushes to the others")
}

function entryd()
{
	role = "cq-entryd"
	printf "\n### cq-entryd\n"
	begin("Memory", "bytes")
	common_memory()
	end(t["budget_memory"], "bytes", 1, "memory")
	begin("Processor time", "microseconds a second")
	common_cpu()
	need("capacity/store_write_cpu")
	item("settings writes of operators", settings_s / (t["processes"] / 2), c("store_write_cpu"), "any entry host takes a write")
	end(t["budget_core"], "% of a core", 10000, "processor, without requests")
	begin("Network", "bytes a second")
	common_bytes()
	end(t["budget_bytes"], "bytes/s", 1, "network, without requests")
	printf "\nNo target rate of requests is given, so requests appear as a slope only: %s.\n", requests_text()
}
function requests_text(    name)
{
	name = "requests/requests_per_second_per_core"
	if (!(name in slope))
		return "not measured yet"
	return num(1e6 / slope[name]) " us of processor time each, so " num(slope[name] * t["budget_core"] / 100) " requests/s fit in the processor budget"
}
function owner()
{
	role = "cq-schedd, owner"
	printf "\n### cq-schedd as owner\n\nOne data centre: %s workers, %s tasks, %s running jobs, %s records of ended jobs.\n", num(workers), num(tasks), num(running), num(ended)
	begin("Memory", "bytes")
	common_memory()
	need("capacity/worker_memory")
	item("workers", workers, c("worker_memory"), "one owner a data centre; state is split by data centre")
	need("capacity/task_memory")
	item("tasks", tasks, c("task_memory"), "rebuilt from the workers")
	need("capacity/job_record_memory")
	item("job records", running + ended, c("job_record_memory"), "ended jobs are kept for the retention time only")
	need("capacity/http_connection_memory")
	item("idle connections to workers", min(workers, t["idle_connections"]), c("http_connection_memory"), "idle connections kept are capped")
	need("decisions/planner_memory_per_worker")
	item("planner, kept", workers, slope["decisions/planner_memory_per_worker"], "history and health by worker")
	need("decisions/plan_scratch_per_worker")
	item("planner, during a plan, by worker", workers, slope["decisions/plan_scratch_per_worker"], "one snapshot at a time")
	need("decisions/plan_scratch_per_task")
	item("planner, during a plan, by task", tasks, slope["decisions/plan_scratch_per_task"], "one snapshot at a time")
	end(t["budget_memory"], "bytes", 1, "memory")
	begin("Processor time", "microseconds a second")
	common_cpu()
	watcher_cpu()
	need("capacity/worker_sync_cpu")
	item("worker syncs", syncs(), c("worker_sync_cpu"), "reuse of connections; only changed tasks are reported")
	need("capacity/worker_report_cpu")
	item("reports into the fleet state", syncs(), c("worker_report_cpu"), "hash tables by task id")
	need("capacity/job_record_cpu capacity/store_write_cpu")
	item("job record writes", jobs_s * t["job_writes"], c("job_record_cpu") + c("store_write_cpu"), "a write for each phase only")
	need("capacity/store_write_cpu")
	item("lease renewals", 1 / t["renew_interval"], c("store_write_cpu"), "one lease a data centre")
	need("capacity/store_read_cpu")
	item("start permits", 1 / t["permit_interval"], c("store_read_cpu"), "one read serves all starts of a second")
	need("decisions/plan_time_p50.957_workers")
	item("plans", 1 / t["plan_interval"], 1000 * slope["decisions/plan_time_p50.957_workers"], "one plan a second; workers are split by data centre")
	end(t["budget_core"], "% of a core", 10000, "processor")
	begin("Network", "bytes a second")
	common_bytes()
	watcher_bytes()
	need("capacity/worker_sync_bytes")
	item("worker syncs", syncs(), c("worker_sync_bytes"), "only changed tasks are reported")
	need("capacity/job_record_bytes")
	item("job records written and watched", 2 * jobs_s * t["job_writes"], c("job_record_bytes"), "a write for each phase only")
	end(t["budget_bytes"], "bytes/s", 1, "network")
	sync_note()
}
# Syncs a second with all workers of a data centre.
function syncs()
{
	return min(workers / t["sync_interval"], t["max_syncs"])
}
# What the interval of worker syncs would have to be.
function sync_note(    cpu, bytes)
{
	if (!("capacity/worker_sync_unchanged_bytes" in slope))
		return
	cpu = slope["capacity/worker_sync_unchanged_cpu"]
	bytes = slope["capacity/worker_sync_unchanged_bytes"]
	printf "\nThe worker syncs decide. If no task of a worker changed, a sync takes %s us and %s bytes; all workers then need %s %% of a core and %s bytes/s. Syncs alone would fit the budgets with one each %s s (processor) and %s s (network) for a worker, if nothing changed.\n", num(cpu), num(bytes), num(syncs() * cpu / 10000), num(syncs() * bytes), num(workers * cpu / 10000 / t["budget_core"]), num(workers * bytes / t["budget_bytes"])
	if (workers > t["idle_connections"])
		printf "\nOnly %s idle connections are kept for %s workers, so at least %s of the syncs open a new connection; the slope above is that of a reused one.\n", num(t["idle_connections"]), num(workers), num(workers - t["idle_connections"])
}
function standby()
{
	role = "cq-schedd, standing by"
	printf "\n### cq-schedd standing by\n"
	begin("Memory", "bytes")
	common_memory()
	end(t["budget_memory"], "bytes", 1, "memory")
	begin("Processor time", "microseconds a second")
	common_cpu()
	need("capacity/store_read_cpu")
	item("watch of the ownership key", 1 / t["watch_wait"], c("store_read_cpu"), "only the candidates of lowest id watch")
	end(t["budget_core"], "% of a core", 10000, "processor")
	begin("Network", "bytes a second")
	common_bytes()
	end(t["budget_bytes"], "bytes/s", 1, "network")
}
function store()
{
	role = "store"
	printf "\n### Store\n"
	begin("Writes", "calls a second")
	item("settings changes", settings_s, 1, "one compare-and-swap a change")
	item("lease renewals of owners", t["data_centres"], 1 / t["renew_interval"], "one lease a data centre, not one a daemon")
	item("job records", t["jobs_day"] / 86400 * t["job_writes"], 1, "a write for each phase only")
	item("offers of owners", t["data_centres"] / t["offer_write"], 1, "one small key a data centre, not one a worker")
	item("restarts (lease and index)", t["restarts_day"] / 86400, 2, "a claim of an index at each start")
	end(t["store_writes"], "calls/s", 1, "writes")
	begin("Reads", "calls a second")
	item("settings watches, woken by changes", t["data_centres"], settings_s, "one watcher a data centre; every daemon would be " t["processes"])
	item("settings watches that wait in vain", t["data_centres"], 1 / t["watch_wait"], "long wait")
	item("full reads by watchers", t["data_centres"], 1 / t["list_interval"], "one a minute")
	item("ownership watches", t["data_centres"] * t["candidates"], 1 / t["watch_wait"], "three candidates a data centre")
	item("start permits", t["data_centres"], 1 / t["permit_interval"], "one read serves all starts of a second")
	item("lists of offers", t["data_centres"], 1 / t["offer_read"], "owners only")
	item("job watches, woken by changes", t["jobs_day"] / 86400 * t["job_writes"], 1, "the owner alone watches its jobs")
	item("restarts (settings)", t["restarts_day"] / 86400, 1, "one list at each start")
	end(t["store_reads"], "calls/s", 1, "reads")
	printf "\nThe host list is read by every daemon each %s s: %s calls/s, on the host list's own interface.\n", t["host_list_interval"], num(t["processes"] / t["host_list_interval"])
}
function bad_hours(    jobs, writes, doc)
{
	printf "\n### Bad hours\n"
	role = "bad hours"
	begin("A data centre is lost and its jobs restart elsewhere", "store writes")
	item("running jobs moved and started again", running, t["job_writes"], "records move by compare-and-swap; bounded writes in flight")
	end("", "writes", 1, "")
	printf "\nAt %s writes/s less the normal load the store takes %s s for them. Each of the other data centres gets %s tasks.\n", t["store_writes"], num(sum / (t["store_writes"] - normal_writes)), num(tasks / (t["data_centres"] - 1))
	if (("capacity/worker_sync_cpu" in slope))
		printf "Starting them costs each owner at least %s ms of processor time (one call a task, held and released: two).\n", num(2 * tasks / (t["data_centres"] - 1) * c("worker_sync_cpu") / 1000)
	doc = ("capacity/settings_change_bytes" in slope) ? c("settings_change_bytes") : 0
	begin("A region is apart for an hour", "bytes a daemon, on return")
	need("capacity/settings_change_bytes")
	item("subtrees changed meanwhile (of " num(settings_s * 3600) " changes)", min(subtrees, settings_s * 3600), doc, "the newest document of each subtree, not each change")
	end("", "bytes", 1, "")
	if (gaps == "")
		printf "\nThat is %s s at the network budget, against %s s for settings in force. A region holds %s workers; its tasks go on, and nothing starts there.\n", num(sum / t["budget_bytes"]), num(t["budget_in_force"] / 1000), num(t["workers"] / t["regions"])
	begin("The store is down for an hour", "refused calls")
	item("settings changes refused", settings_s * 3600, 1, "503, nothing done; operators try again")
	item("job submissions refused or delayed", t["jobs_day"] / 24, 1, "503 with Retry-After; the same key is safe")
	end("", "calls", 1, "")
	printf "\nOn return, each data centre has one watcher and one owner that read again: %s lists, spread by jittered backoff.\n", num(2 * t["data_centres"])
}
function min(a, b)
{
	return a < b ? a : b
}
function timings()
{
	printf "\n### Times\n\n| Time | Measured | Budget | Verdict |\n|---|---:|---:|---|\n"
	timing("urgent start, p99, 50 workers at 130 % load (garba)", "decisions/garba.load_130.urgent_start_p99", t["budget_start"], 1000)
	timing("urgent start, p99, 50 workers at 130 % load (tapa)", "decisions/tapa.load_130.urgent_start_p99", t["budget_start"], 1000)
	timing("one plan at 957 workers, p99", "decisions/plan_time_p99.957_workers", 10)
	timing("settings in force, p99", "coordination/settings_in_force_p99", t["budget_in_force"])
	timing("settings in force with 33 % of messages lost, p99", "coordination/settings_in_force_loss_33_percent_p99", t["budget_in_force"])
	timing("settings in force after a partition of 30 s, p99", "coordination/settings_in_force_after_partition_30s_p99", t["budget_in_force"])
	timing("takeover after the owner died, longest", "coordination/takeover_after_kill_max", 6000)
}
function timing(name, metric, budget, factor,    ms)
{
	ms = slope[metric] * (factor ? factor : 1)
	if (metric in slope)
		printf "| %s | %s ms | %s ms | %s |\n", name, num(ms), num(budget), ms <= budget ? "kept" : sprintf("**broken, %.3g times**", ms / budget)
	else
		printf "| %s | not measured yet | %s ms | open |\n", name, num(budget)
}

END {
	settings_s = t["settings_day"] / 86400
	subtrees = t["workspaces"] + t["data_centres"] + 1
	per_dc = t["processes"] / t["data_centres"]
	workers = t["workers"] / t["data_centres"]
	tasks = t["tasks"] / t["data_centres"]
	running = tasks / t["tasks_per_job"]
	ended = t["jobs_day"] / t["data_centres"] * t["job_retention"] / 24
	jobs_s = t["jobs_day"] / 86400 / t["data_centres"]
	normal_writes = settings_s + t["data_centres"] / t["renew_interval"] + t["jobs_day"] / 86400 * t["job_writes"]
	# Own data centre, and one remote member each fourth second, both ways.
	links = 2 * min(per_dc - 1 + t["link_idle"] / 4, t["processes"])
	entryd()
	owner()
	standby()
	store()
	bad_hours()
	timings()
	printf "\n### Verdicts\n\n| Role | Budget | Needed | Limit | Verdict |\n|---|---|---:|---:|---|\n%s", verdicts
}
