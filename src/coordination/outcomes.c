#include "chestnutquay/outcomes.h"

#include <glib.h>
#include <string.h>

/* Entry of the outcome table. */
struct cq_outcome {
	char *name;		 /* workspace "/" key */
	uint64_t fingerprint;	 /* hash of the request */
	int64_t expires_unix_ms; /* removed after this time if done */
	bool done;
	int64_t refused_unix_ms; /* 0: not refused */
	bool body_dropped;	 /* the answer's body is not kept */
	enum cq_refusal refusal;
	uint32_t status;
	char *content_type;
	char *endpoint;
	char *body;
	size_t body_len;
	GList order; /* link in cq_outcomes.order */
	void *user_data;
	uint64_t batch; /* last batch that contained it; 0: none */
	bool handed_over;
};

struct cq_outcomes {
	struct cq_outcomes_options options;
	int64_t start_unix_ms;
	int64_t last_tick_unix_ms;
	GHashTable *entries; /* name -> struct cq_outcome */
	/* Entries that were handed over, then the others by creation. */
	GQueue order;
	uint64_t body_bytes; /* total of the kept bodies */
	uint64_t last_batch; /* number of the last batch */
};

static uint64_t hash_bytes(uint64_t hash, const void *data, size_t len);
static uint64_t fingerprint(const struct cq_request *request);
static uint64_t rendezvous_score(uint64_t base, const char *name,
				 uint32_t index);
static struct cq_outcome *outcome_create(struct cq_outcomes *outcomes,
					 char *name,
					 uint64_t request_fingerprint);
static void outcome_free(struct cq_outcomes *outcomes, struct cq_outcome *o);
static void detect_pause(struct cq_outcomes *outcomes, int64_t unix_ms);
static void drop_oldest_bodies(struct cq_outcomes *outcomes, size_t wanted);
static bool is_expired(const struct cq_outcomes *outcomes,
		       const struct cq_outcome *o, int64_t unix_ms);
static int64_t expiry_time(int64_t unix_ms);
static enum cq_outcomes_verdict check_refused_key(struct cq_outcome *o,
						  int64_t accepted_unix_ms);
static enum cq_outcomes_verdict
check_unknown_key(const struct cq_outcomes *outcomes, int64_t created_unix_ms,
		  int64_t unix_ms);
static size_t batch_bytes(const struct cq_outcome *o);

static const char *const verdict_strings[] = {
	[CQ_OUTCOMES_NEW] = "new",	   [CQ_OUTCOMES_PENDING] = "pending",
	[CQ_OUTCOMES_DONE] = "done",	   [CQ_OUTCOMES_REFUSED] = "refused",
	[CQ_OUTCOMES_REUSED] = "reused",   [CQ_OUTCOMES_EXPIRED] = "expired",
	[CQ_OUTCOMES_TOO_OLD] = "too_old", [CQ_OUTCOMES_FUTURE] = "future",
	[CQ_OUTCOMES_FULL] = "full",
};

const char *cq_outcomes_verdict_string(enum cq_outcomes_verdict verdict)
{
	return verdict_strings[verdict];
}

/* FNV-1a, 64 bits. */
static uint64_t hash_bytes(uint64_t hash, const void *data, size_t len)
{
	const unsigned char *bytes = data;
	size_t i;

	for (i = 0; i < len; i++)
		hash = (hash ^ bytes[i]) * UINT64_C(1099511628211);
	return hash;
}

/* Hash that tells whether two requests with the same key are the same. */
static uint64_t fingerprint(const struct cq_request *request)
{
	uint64_t hash = UINT64_C(14695981039346656037);

	hash = hash_bytes(hash, request->path, strlen(request->path) + 1);
	hash = hash_bytes(hash, request->class_name,
			  strlen(request->class_name) + 1);
	return hash_bytes(hash, request->body, request->body_len);
}

/*
 * Score of a host in the rendezvous hashing. The finaliser keeps the scores of
 * neighbouring indices from being correlated.
 */
static uint64_t rendezvous_score(uint64_t base, const char *name,
				 uint32_t index)
{
	uint64_t score = hash_bytes(base, name, strlen(name) + 1) ^
			 ((uint64_t)(index + 1) * UINT64_C(0x9e3779b97f4a7c15));

	score ^= score >> 33;
	score *= UINT64_C(0xff51afd7ed558ccd);
	score ^= score >> 33;
	score *= UINT64_C(0xc4ceb9fe1a85ec53);
	return score ^ score >> 33;
}

bool cq_outcomes_find_home(const char *workspace, const char *key,
			   const struct cq_data_centre *centres, uint32_t count,
			   struct cq_key_home *home)
{
	const char *at = strchr(key, '@');
	uint64_t best = 0;
	uint64_t base = hash_bytes(UINT64_C(14695981039346656037), workspace,
				   strlen(workspace) + 1);
	bool found = false;
	uint32_t c;
	uint32_t i;

	base = hash_bytes(base, key, strlen(key));
	for (c = 0; c < count; c++) {
		if (at && strcmp(at + 1, centres[c].name) != 0)
			continue;
		for (i = 0; i < centres[c].index_count; i++) {
			uint64_t score =
				rendezvous_score(base, centres[c].name, i);

			if (found && score <= best)
				continue;
			best = score;
			home->data_centre = centres[c].name;
			home->index = i;
			found = true;
		}
	}
	return found;
}

struct cq_outcomes *
cq_outcomes_create(const struct cq_outcomes_options *options,
		   int64_t start_unix_ms)
{
	struct cq_outcomes *outcomes = g_new0(struct cq_outcomes, 1);

	outcomes->options = *options;
	outcomes->start_unix_ms = start_unix_ms;
	outcomes->last_tick_unix_ms = start_unix_ms;
	outcomes->entries = g_hash_table_new(g_str_hash, g_str_equal);
	g_queue_init(&outcomes->order);
	return outcomes;
}

void cq_outcomes_destroy(struct cq_outcomes *outcomes)
{
	if (!outcomes)
		return;
	while (outcomes->order.head)
		outcome_free(outcomes, outcomes->order.head->data);
	g_hash_table_destroy(outcomes->entries);
	g_free(outcomes);
}

/* Adds an entry and takes ownership of name. */
static struct cq_outcome *outcome_create(struct cq_outcomes *outcomes,
					 char *name,
					 uint64_t request_fingerprint)
{
	struct cq_outcome *o = g_new0(struct cq_outcome, 1);

	o->name = name;
	o->fingerprint = request_fingerprint;
	o->order.data = o;
	g_queue_push_tail_link(&outcomes->order, &o->order);
	g_hash_table_insert(outcomes->entries, o->name, o);
	return o;
}

static void outcome_free(struct cq_outcomes *outcomes, struct cq_outcome *o)
{
	g_hash_table_remove(outcomes->entries, o->name);
	g_queue_unlink(&outcomes->order, &o->order);
	outcomes->body_bytes -= o->body_len;
	g_free(o->name);
	g_free(o->content_type);
	g_free(o->endpoint);
	g_free(o->body);
	g_free(o);
}

/*
 * Treats a gap in the calls as a restart. A clock that was set back is ignored,
 * because it would look like a pause later.
 */
static void detect_pause(struct cq_outcomes *outcomes, int64_t unix_ms)
{
	if (unix_ms - outcomes->last_tick_unix_ms > CQ_OUTCOMES_MAX_PAUSE_MS)
		outcomes->start_unix_ms = unix_ms;
	if (unix_ms > outcomes->last_tick_unix_ms)
		outcomes->last_tick_unix_ms = unix_ms;
}

static int64_t expiry_time(int64_t unix_ms)
{
	return unix_ms + CQ_OUTCOMES_KEY_WINDOW_MS +
	       CQ_OUTCOMES_MAX_KEY_AHEAD_MS + CQ_OUTCOMES_MAX_CLOCK_SKEW_MS;
}

/*
 * Whether a copy of a refused request may run. Its acceptance and the refusal
 * were timed by the clocks of two hosts, which may differ.
 */
static enum cq_outcomes_verdict check_refused_key(struct cq_outcome *o,
						  int64_t accepted_unix_ms)
{
	if (accepted_unix_ms <=
	    o->refused_unix_ms + CQ_OUTCOMES_MAX_CLOCK_SKEW_MS)
		return CQ_OUTCOMES_REFUSED;
	o->refused_unix_ms = 0;
	return CQ_OUTCOMES_NEW;
}

/* Whether a key that is not in the table may be treated as new. */
static enum cq_outcomes_verdict
check_unknown_key(const struct cq_outcomes *outcomes, int64_t created_unix_ms,
		  int64_t unix_ms)
{
	if (created_unix_ms > unix_ms + CQ_OUTCOMES_MAX_KEY_AHEAD_MS)
		return CQ_OUTCOMES_FUTURE;
	if (created_unix_ms < unix_ms - CQ_OUTCOMES_KEY_WINDOW_MS)
		return CQ_OUTCOMES_EXPIRED;
	if (created_unix_ms <= outcomes->start_unix_ms +
				       CQ_OUTCOMES_MAX_KEY_AHEAD_MS +
				       CQ_OUTCOMES_MAX_CLOCK_SKEW_MS)
		return CQ_OUTCOMES_TOO_OLD;
	if (g_hash_table_size(outcomes->entries) >=
	    outcomes->options.max_entries)
		return CQ_OUTCOMES_FULL;
	return CQ_OUTCOMES_NEW;
}

enum cq_outcomes_verdict cq_outcomes_begin(struct cq_outcomes *outcomes,
					   const struct cq_request *request,
					   int64_t accepted_unix_ms,
					   int64_t unix_ms,
					   struct cq_outcome **outcome)
{
	int64_t created_unix_ms = request->key_unix_ms;
	char *name = g_strdup_printf("%s/%s", request->workspace, request->key);
	struct cq_outcome *o = g_hash_table_lookup(outcomes->entries, name);
	enum cq_outcomes_verdict verdict;

	detect_pause(outcomes, unix_ms);
	*outcome = o;
	if (o) {
		g_free(name);
		if (o->fingerprint != fingerprint(request))
			return CQ_OUTCOMES_REUSED;
		if (o->refused_unix_ms)
			return check_refused_key(o, accepted_unix_ms);
		return o->done ? CQ_OUTCOMES_DONE : CQ_OUTCOMES_PENDING;
	}
	verdict = check_unknown_key(outcomes, created_unix_ms, unix_ms);
	if (verdict != CQ_OUTCOMES_NEW) {
		g_free(name);
		return verdict;
	}
	o = outcome_create(outcomes, name, fingerprint(request));
	/* After this time, the key is refused as expired. */
	o->expires_unix_ms = expiry_time(MAX(created_unix_ms, unix_ms));
	*outcome = o;
	return CQ_OUTCOMES_NEW;
}

void cq_outcome_answer(const struct cq_outcome *o, struct cq_answer *answer)
{
	memset(answer, 0, sizeof(*answer));
	answer->refusal = o->refusal;
	answer->run = CQ_REQUEST_MAY_HAVE_RUN;
	answer->status = o->status;
	answer->content_type = o->content_type ? o->content_type : "";
	answer->endpoint = o->endpoint ? o->endpoint : "";
	answer->body = o->body ? o->body : "";
	answer->body_len = o->body_len;
	answer->message = "an earlier request with this key has no known "
			  "outcome";
	if (o->body_dropped) {
		answer->refusal = CQ_REFUSAL_ANSWER_NOT_KEPT;
		answer->message =
			"the request of this key was answered before; "
			"the answer is no longer kept";
	}
	if (answer->refusal)
		answer->status = cq_refusal_status(answer->refusal);
}

/* Drops the bodies of the oldest answers; their entries stay in the table. */
static void drop_oldest_bodies(struct cq_outcomes *outcomes, size_t wanted)
{
	GList *link = outcomes->order.head;

	for (; link &&
	       outcomes->body_bytes + wanted > outcomes->options.max_body_bytes;
	     link = link->next) {
		struct cq_outcome *o = link->data;

		if (!o->done || !o->body_len)
			continue;
		outcomes->body_bytes -= o->body_len;
		g_clear_pointer(&o->body, g_free);
		o->body_len = 0;
		o->body_dropped = true;
	}
}

void cq_outcomes_done(struct cq_outcomes *outcomes, struct cq_outcome *o,
		      const struct cq_answer *answer)
{
	o->done = true;
	o->user_data = NULL;
	o->refusal = answer->refusal;
	o->status = answer->status;
	if (answer->refusal)
		return;
	g_free(o->content_type);
	g_free(o->endpoint);
	o->content_type = g_strdup(answer->content_type);
	o->endpoint = g_strdup(answer->endpoint);
	if (answer->body_len > outcomes->options.max_answer_bytes) {
		o->body_dropped = true;
		return;
	}
	drop_oldest_bodies(outcomes, answer->body_len);
	o->body = g_memdup2(answer->body, answer->body_len);
	o->body_len = answer->body_len;
	outcomes->body_bytes += o->body_len;
}

void cq_outcomes_refused(struct cq_outcomes *outcomes, struct cq_outcome *o,
			 int64_t unix_ms)
{
	(void)outcomes;
	o->user_data = NULL;
	o->refused_unix_ms = unix_ms;
}

void cq_outcomes_remove(struct cq_outcomes *outcomes, struct cq_outcome *o)
{
	outcome_free(outcomes, o);
}

void cq_outcome_set_user_data(struct cq_outcome *o, void *user)
{
	o->user_data = user;
}

void *cq_outcome_user_data(const struct cq_outcome *o)
{
	return o->user_data;
}

static bool is_expired(const struct cq_outcomes *outcomes,
		       const struct cq_outcome *o, int64_t unix_ms)
{
	if (o->refused_unix_ms)
		return o->refused_unix_ms + outcomes->options.refused_keep_ms +
			       CQ_OUTCOMES_MAX_CLOCK_SKEW_MS <
		       unix_ms;
	return o->done && o->expires_unix_ms < unix_ms;
}

void cq_outcomes_tick(struct cq_outcomes *outcomes, int64_t unix_ms)
{
	GList *link = outcomes->order.head;

	detect_pause(outcomes, unix_ms);
	while (link) {
		struct cq_outcome *o = link->data;

		link = link->next;
		if (is_expired(outcomes, o, unix_ms))
			outcome_free(outcomes, o);
	}
}

uint32_t cq_outcomes_count(const struct cq_outcomes *outcomes)
{
	return g_hash_table_size(outcomes->entries);
}

uint64_t cq_outcomes_body_bytes(const struct cq_outcomes *outcomes)
{
	return outcomes->body_bytes;
}

static size_t batch_bytes(const struct cq_outcome *o)
{
	return sizeof(struct cq_kept_outcome) + strlen(o->name) + o->body_len;
}

uint32_t cq_outcomes_next_batch(struct cq_outcomes *outcomes,
				struct cq_kept_outcome *kept, uint32_t max,
				size_t max_bytes)
{
	GList *link = outcomes->order.tail;
	uint32_t count = 0;
	size_t bytes = 0;

	outcomes->last_batch++;
	for (; link && count < max; link = link->prev) {
		struct cq_outcome *o = link->data;
		struct cq_answer answer;

		if (o->handed_over)
			break;
		if (!o->done)
			continue;
		bytes += batch_bytes(o);
		if (count && bytes > max_bytes)
			break;
		o->batch = outcomes->last_batch;
		cq_outcome_answer(o, &answer);
		kept[count++] = (struct cq_kept_outcome){
			.name = o->name,
			.fingerprint = o->fingerprint,
			.expires_unix_ms = o->expires_unix_ms,
			.refusal = o->refusal,
			.status = o->status,
			.content_type = answer.content_type,
			.endpoint = answer.endpoint,
			.body = answer.body,
			.body_len = answer.body_len,
			.body_dropped = o->body_dropped,
		};
	}
	return count;
}

void cq_outcomes_batch_handed_over(struct cq_outcomes *outcomes)
{
	GList *link = outcomes->order.tail;

	while (link) {
		struct cq_outcome *o = link->data;

		link = link->prev;
		if (o->handed_over)
			break;
		if (o->batch != outcomes->last_batch)
			continue;
		o->handed_over = true;
		g_queue_unlink(&outcomes->order, &o->order);
		g_queue_push_head_link(&outcomes->order, &o->order);
	}
}

void cq_outcomes_reset_hand_over(struct cq_outcomes *outcomes)
{
	GList *link;

	for (link = outcomes->order.head; link; link = link->next)
		((struct cq_outcome *)link->data)->handed_over = false;
}

uint32_t cq_outcomes_not_handed_over_count(const struct cq_outcomes *outcomes)
{
	uint32_t count = 0;
	GList *link;

	for (link = outcomes->order.head; link; link = link->next) {
		const struct cq_outcome *o = link->data;

		count += o->done && !o->handed_over;
	}
	return count;
}

uint32_t cq_outcomes_pending_count(const struct cq_outcomes *outcomes)
{
	uint32_t count = 0;
	GList *link;

	for (link = outcomes->order.head; link; link = link->next) {
		const struct cq_outcome *o = link->data;

		count += !o->done && !o->refused_unix_ms;
	}
	return count;
}

bool cq_outcomes_import(struct cq_outcomes *outcomes,
			const struct cq_kept_outcome *kept, int64_t unix_ms)
{
	struct cq_answer answer = {
		.refusal = kept->refusal,
		.status = kept->status,
		.content_type = kept->content_type,
		.endpoint = kept->endpoint,
		.body = kept->body,
		.body_len = kept->body_len,
	};
	/* No host accepts keys that were created further in the future. */
	int64_t latest = expiry_time(unix_ms + CQ_OUTCOMES_MAX_KEY_AHEAD_MS +
				     CQ_OUTCOMES_MAX_CLOCK_SKEW_MS);
	struct cq_outcome *o;

	if (g_hash_table_contains(outcomes->entries, kept->name))
		return true;
	if (g_hash_table_size(outcomes->entries) >=
	    outcomes->options.max_entries)
		return false;
	o = outcome_create(outcomes, g_strdup(kept->name), kept->fingerprint);
	o->expires_unix_ms = MIN(kept->expires_unix_ms, latest);
	cq_outcomes_done(outcomes, o, &answer);
	o->body_dropped = o->body_dropped || kept->body_dropped;
	return true;
}
