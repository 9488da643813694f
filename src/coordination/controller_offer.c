/*
 * What the data centres offer each other, and moves of waiting jobs to one
 * that suits them better.
 *
 * Each owner writes `offers/<data centre>`: numbers of workers by size and by
 * free accelerators, and of jobs that wait. Offers are advisory and may be some
 * seconds old. A job that was moved once is not handed over for a shorter wait
 * again, so that no two data centres pass it back and forth.
 */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "chestnutquay/log.h"
#include "controller_snapshot.h"

#define OFFERS_PREFIX "offers/"
#define READ_INTERVAL_NS (10 * CQ_NS_PER_S)
#define READ_RETRY_NS (2 * CQ_NS_PER_S)
#define WRITE_INTERVAL_NS (5 * CQ_NS_PER_S)
#define REFRESH_INTERVAL_NS (20 * CQ_NS_PER_S)
/* Free accelerators of an older offer may be taken by now. */
#define FRESH_MS 45000
/* Spares the store and the other data centre. */
#define MAX_HAND_OVERS_PER_PLAN 4
/* Offers that keep proving wrong must not send a job around for ever. */
#define MAX_MISFIT_MOVES 4

static void on_offers(struct cq_controller *c, const char *job_id,
		      const struct cq_store_result *result);
static void on_published(struct cq_controller *c, const char *job_id,
			 const struct cq_store_result *result);

static void parse_counts(const json_t *json, uint32_t *counts)
{
	const json_t *item;
	size_t i;

	json_array_foreach(json, i, item) if (i <= CQ_FLEET_MAX_ACCELERATORS)
		counts[i] =
			(uint32_t)CLAMP(json_integer_value(item), 0, INT32_MAX);
}

static json_t *format_counts(const uint32_t *counts)
{
	json_t *list = json_array();
	uint32_t i;

	for (i = 0; i <= CQ_FLEET_MAX_ACCELERATORS && (!i || counts[i]); i++)
		json_array_append_new(list, json_integer(counts[i]));
	return list;
}

static void parse_offer(const struct cq_store_entry *entry,
			struct cq_offer *offer)
{
	json_t *json = json_loadb(entry->value, entry->value_len, 0, NULL);

	memset(offer, 0, sizeof(*offer));
	g_strlcpy(offer->name, entry->key + strlen(OFFERS_PREFIX),
		  sizeof(offer->name));
	parse_counts(json_object_get(json, "total"), offer->total);
	parse_counts(json_object_get(json, "rack_total"), offer->rack_total);
	parse_counts(json_object_get(json, "free"), offer->free);
	parse_counts(json_object_get(json, "rack_free"), offer->rack_free);
	offer->millicores = (uint64_t)json_integer_value(
		json_object_get(json, "cpu_millicores"));
	offer->memory_bytes = (uint64_t)json_integer_value(
		json_object_get(json, "memory_bytes"));
	offer->waiting =
		(uint32_t)json_integer_value(json_object_get(json, "waiting"));
	offer->written_unix_ms =
		json_integer_value(json_object_get(json, "written_unix_ms"));
	json_decref(json);
}

static char *format_offer(const struct cq_offer *offer, int64_t unix_ms)
{
	json_t *json = json_pack("{s:o,s:o,s:o,s:o,s:I,s:I,s:I,s:I}", "total",
				 format_counts(offer->total), "rack_total",
				 format_counts(offer->rack_total), "free",
				 format_counts(offer->free), "rack_free",
				 format_counts(offer->rack_free),
				 "cpu_millicores",
				 (json_int_t)offer->millicores, "memory_bytes",
				 (json_int_t)offer->memory_bytes, "waiting",
				 (json_int_t)offer->waiting, "written_unix_ms",
				 (json_int_t)unix_ms);
	char *text = json_dumps(json, JSON_COMPACT);

	json_decref(json);
	return text;
}

static void on_offers(struct cq_controller *c, const char *job_id,
		      const struct cq_store_result *result)
{
	size_t i;

	(void)job_id;
	if (result->status != CQ_STORE_OK) {
		c->offers_ns =
			cq_clock_now_ns(c->options.clock) + READ_RETRY_NS;
		return;
	}
	g_array_set_size(c->offers, 0);
	for (i = 0; i < result->entry_count; i++) {
		struct cq_offer offer;

		parse_offer(&result->entries[i], &offer);
		g_array_append_val(c->offers, offer);
	}
	c->offers_known = true;
	c->plan_wanted = true;
}

void cq_controller_read_offers(struct cq_controller *c, int64_t now_ns)
{
	struct cq_controller_call *call;

	if (now_ns < c->offers_ns || c->dcs->len < 2)
		return;
	c->offers_ns = now_ns + READ_INTERVAL_NS;
	call = cq_controller_call_create(c, "", on_offers);
	call->call = c->store.ops->list(c->store.self, OFFERS_PREFIX,
					c->options.store_timeout_ms,
					cq_controller_on_store, call);
}

static void count_worker(uint32_t *counts, uint32_t accelerators)
{
	uint32_t i;

	for (i = 0; i <= MIN(accelerators, CQ_FLEET_MAX_ACCELERATORS); i++)
		counts[i]++;
}

struct rack_counts {
	uint32_t total[CQ_FLEET_MAX_ACCELERATORS + 1];
	uint32_t free[CQ_FLEET_MAX_ACCELERATORS + 1];
};

static void add_worker(struct cq_offer *offer, GHashTable *racks,
		       const struct cq_fleet_worker *worker, uint64_t used)
{
	uint32_t taken = (uint32_t)__builtin_popcountll(used);
	uint32_t left = worker->accelerators - MIN(worker->accelerators, taken);
	gpointer key = GUINT_TO_POINTER(worker->rack);
	struct rack_counts *rack = g_hash_table_lookup(racks, key);
	uint32_t i;

	if (!rack) {
		rack = g_new0(struct rack_counts, 1);
		g_hash_table_insert(racks, key, rack);
	}
	count_worker(offer->total, worker->accelerators);
	count_worker(offer->free, left);
	count_worker(rack->total, worker->accelerators);
	count_worker(rack->free, left);
	for (i = 0; i <= CQ_FLEET_MAX_ACCELERATORS; i++) {
		offer->rack_total[i] =
			MAX(offer->rack_total[i], rack->total[i]);
		offer->rack_free[i] = MAX(offer->rack_free[i], rack->free[i]);
	}
	offer->millicores = MAX(offer->millicores, worker->millicores);
	offer->memory_bytes = MAX(offer->memory_bytes, worker->memory_bytes);
}

/* What is free after the plan. */
static void fill_offer(const struct cq_snapshot *snapshot,
		       const struct cq_plan *plan, struct cq_offer *offer)
{
	uint64_t *used = g_new0(uint64_t, snapshot->worker_count + 1);
	GHashTable *racks = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	uint32_t i;
	uint32_t k;

	memset(offer, 0, sizeof(*offer));
	for (i = 0; i < snapshot->task_count; i++)
		used[snapshot->tasks[i].worker] |=
			snapshot->tasks[i].accelerator_mask;
	for (i = 0; i < plan->action_count; i++)
		for (k = 0; k < plan->actions[i].placement_count; k++)
			used[plan->actions[i].placements[k].worker] |=
				plan->actions[i].placements[k].accelerator_mask;
	for (i = 0; i < snapshot->worker_count; i++)
		if (snapshot->workers[i].state == CQ_WORKER_UP)
			add_worker(offer, racks, &snapshot->workers[i],
				   used[i]);
	offer->waiting = plan->wait_count;
	g_hash_table_destroy(racks);
	g_free(used);
}

static void on_published(struct cq_controller *c, const char *job_id,
			 const struct cq_store_result *result)
{
	(void)job_id;
	/* The next one is written whether it differs or not. */
	if (result->status != CQ_STORE_OK)
		c->offer_refresh_ns = 0;
}

void cq_controller_publish_offer(struct cq_controller *c,
				 const struct cq_snapshot *snapshot,
				 const struct cq_plan *plan, int64_t now_ns)
{
	struct cq_controller_call *call;
	struct cq_offer offer;
	char *plain;
	char *key;
	char *text;

	if (now_ns < c->offer_write_ns || c->dcs->len < 2 ||
	    !cq_controller_all_settled(c))
		return;
	fill_offer(snapshot, plan, &offer);
	/* Without the time, to see whether it changed. */
	plain = format_offer(&offer, 0);
	if (!g_strcmp0(plain, c->offer_text) && now_ns < c->offer_refresh_ns) {
		free(plain);
		return;
	}
	free(c->offer_text);
	c->offer_text = plain;
	c->offer_write_ns = now_ns + WRITE_INTERVAL_NS;
	c->offer_refresh_ns = now_ns + REFRESH_INTERVAL_NS;
	text = format_offer(&offer, cq_clock_unix_ms(c->options.clock));
	key = g_strconcat(OFFERS_PREFIX, c->data_centre, NULL);
	call = cq_controller_call_create(c, "", on_published);
	call->call = c->store.ops->put(c->store.self, key, text,
				       CQ_STORE_ANY_REVISION, 0,
				       c->options.store_timeout_ms,
				       cq_controller_on_store, call);
	g_free(key);
	free(text);
}

/*
 * Whether the job fits into workers counted by accelerators: a worker with k
 * accelerators holds k / n tasks of n, which is how many multiples of n are
 * at most k.
 */
static bool fits(const struct cq_offer *offer, const uint32_t *counts,
		 const uint32_t *rack_counts,
		 const struct cq_job_record *record)
{
	uint64_t on_one =
		record->adjacency == CQ_ADJACENT_WORKER ? record->tasks : 1;
	const uint32_t *from =
		record->adjacency == CQ_ADJACENT_RACK ? rack_counts : counts;
	uint64_t size = on_one * record->accelerators;
	uint64_t places = 0;
	uint64_t i;

	if (on_one * record->cpu_millicores > offer->millicores ||
	    record->memory_bytes > offer->memory_bytes / on_one ||
	    size > CQ_FLEET_MAX_ACCELERATORS)
		return false;
	if (!size)
		return counts[0] > 0;
	for (i = size; i <= CQ_FLEET_MAX_ACCELERATORS; i += size)
		places += from[i];
	return places * on_one >= record->tasks;
}

static bool has_room(const struct cq_controller *c,
		     const struct cq_offer *offer,
		     const struct cq_job_record *record)
{
	int64_t age_ms =
		cq_clock_unix_ms(c->options.clock) - offer->written_unix_ms;

	return !offer->waiting && age_ms <= FRESH_MS &&
	       fits(offer, offer->free, offer->rack_free, record);
}

/*
 * Another data centre in service where the job fits, or fits at once; which
 * one depends on the job, so that not all go to the same.
 */
static struct cq_offer *choose_offer(struct cq_controller *c,
				     const struct cq_job_record *record,
				     bool at_once)
{
	const char **names;
	struct cq_offer **offers;
	struct cq_offer *chosen = NULL;
	uint32_t count = 0;
	guint i;

	if (*record->data_centre)
		return NULL;
	names = g_new0(const char *, c->offers->len + 1);
	offers = g_new0(struct cq_offer *, c->offers->len + 1);
	for (i = 0; i < c->offers->len; i++) {
		struct cq_offer *offer =
			&g_array_index(c->offers, struct cq_offer, i);
		const struct cq_controller_dc *dc =
			cq_controller_find_dc(c, offer->name);

		if (!dc || !dc->in_service ||
		    !strcmp(dc->name, c->data_centre) ||
		    !fits(offer, offer->total, offer->rack_total, record) ||
		    (at_once && !has_room(c, offer, record)))
			continue;
		names[count] = offer->name;
		offers[count++] = offer;
	}
	if (count)
		chosen = offers[cq_job_home(record->id, names, count)];
	g_free(names);
	g_free(offers);
	return chosen;
}

bool cq_controller_fits_elsewhere(struct cq_controller *c,
				  const struct cq_job_record *record)
{
	return choose_offer(c, record, false) != NULL;
}

bool cq_job_move_misfit(struct cq_job *job, int64_t now_ns)
{
	struct cq_controller *c = job->controller;
	char reason[CQ_JOB_REASON_BYTES];
	struct cq_offer *offer;

	if (*job->record.data_centre || c->dcs->len < 2 ||
	    job->record.moves >= MAX_MISFIT_MOVES)
		return false;
	/* Whether another one is large enough is not known yet. */
	if (!c->offers_known)
		return true;
	offer = choose_offer(c, &job->record, false);
	if (!offer)
		return false;
	g_snprintf(reason, sizeof(reason),
		   "never fits in data centre %s; moved to %s", c->data_centre,
		   offer->name);
	cq_job_move_to(job, offer->name, reason, now_ns);
	return true;
}

static bool waits_long(const struct cq_job *job, const struct cq_wait *wait,
		       int64_t now_ns)
{
	const struct cq_controller *c = job->controller;
	int64_t waited_ms = cq_clock_unix_ms(c->options.clock) -
			    job->record.submitted_unix_ms;
	int64_t wait_ns = wait->expected_start_ns == CQ_FLEET_UNKNOWN_NS
				  ? waited_ms * CQ_NS_PER_MS
				  : wait->expected_start_ns - now_ns;

	return wait_ns >= c->options.hand_over_wait_ns;
}

/* As if each task took a whole worker, until the next reading. */
static void take_room(struct cq_offer *offer, uint32_t tasks)
{
	uint32_t i;

	for (i = 0; i <= CQ_FLEET_MAX_ACCELERATORS; i++) {
		offer->free[i] -= MIN(offer->free[i], tasks);
		offer->rack_free[i] -= MIN(offer->rack_free[i], tasks);
	}
}

void cq_controller_hand_over(struct cq_controller *c,
			     const struct cq_controller_snapshot *s,
			     const struct cq_plan *plan, int64_t now_ns)
{
	char reason[CQ_JOB_REASON_BYTES];
	uint32_t left = MAX_HAND_OVERS_PER_PLAN;
	uint32_t i;

	if (!c->dc_in || c->draining || !c->offers_known)
		return;
	for (i = 0; left && i < plan->wait_count; i++) {
		struct cq_job *job =
			g_ptr_array_index(s->owners, plan->waits[i].job);
		struct cq_offer *offer;

		if (!job || job->record.moves || job->record.cancel ||
		    job->writing || job->places ||
		    !cq_job_phase_is_waiting(job->record.phase) ||
		    !waits_long(job, &plan->waits[i], now_ns))
			continue;
		offer = choose_offer(c, &job->record, true);
		if (!offer)
			continue;
		g_snprintf(reason, sizeof(reason),
			   "waits long in data centre %s; handed over to %s",
			   c->data_centre, offer->name);
		if (!cq_job_move_to(job, offer->name, reason, now_ns))
			return;
		take_room(offer, job->record.tasks);
		left--;
	}
}
