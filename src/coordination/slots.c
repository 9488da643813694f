#include "chestnutquay/slots.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

struct cq_slots_endpoint {
	char *id;
	uint32_t own; /* slots in the share of this host */
	uint32_t own_used;
	uint32_t lent;
	uint32_t borrowed_used;
	bool removed;	  /* kept only while loans refer to it */
	GPtrArray *loans; /* struct borrowed, not owned */
};

/* A loan that this host has from a lender. */
struct borrowed {
	uint64_t local_id; /* key in cq_slots.borrowed */
	uint64_t id;	   /* the lender's loan id */
	uint64_t lender_incarnation;
	struct cq_slots_endpoint *endpoint;
	int64_t start_deadline_ns; /* no call may start from then on */
	uint32_t lender;	   /* host index */
	bool used;
};

/* A loan that this host made. */
struct lent {
	uint64_t id;
	struct cq_slots_endpoint *endpoint;
	int64_t deadline_ns; /* the slot is free again from then on */
};

struct cq_slots {
	struct cq_slots_options options;
	GHashTable *endpoints; /* id -> struct cq_slots_endpoint */
	GPtrArray *order;      /* the same endpoints, for iteration */
	GHashTable *lent;      /* loan id -> struct lent */
	GHashTable *borrowed;  /* local number -> struct borrowed */
	uint64_t last_loan_id;
	uint64_t last_local_id;
	uint32_t lend_cursor; /* position in order of the last loan */
	bool index_lost;      /* this host does not hold its index */
};

static struct cq_slots_endpoint *find_endpoint(const struct cq_slots *slots,
					       const char *id);
static struct cq_slots_endpoint *find_or_add_endpoint(struct cq_slots *slots,
						      const char *id);
static uint32_t free_own_slots(const struct cq_slots *slots,
			       const struct cq_slots_endpoint *e,
			       int64_t now_ns);
static struct borrowed *find_idle_loan(const struct cq_slots_endpoint *e,
				       int64_t now_ns);
static uint32_t count_idle_loans(const struct cq_slots_endpoint *e,
				 int64_t now_ns);
static void remove_borrowed(struct cq_slots *slots, struct borrowed *loan);
static void endpoint_free(void *data);
static void free_if_unused(struct cq_slots *slots, struct cq_slots_endpoint *e);
static uint32_t lendable_slots(const struct cq_slots *slots, int64_t now_ns);

static void endpoint_free(void *data)
{
	struct cq_slots_endpoint *e = data;

	g_ptr_array_free(e->loans, TRUE);
	g_free(e->id);
	g_free(e);
}

struct cq_slots *cq_slots_create(const struct cq_slots_options *options)
{
	struct cq_slots *slots = g_new0(struct cq_slots, 1);

	assert(options->index < options->index_count);
	slots->options = *options;
	slots->endpoints = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						 endpoint_free);
	slots->order = g_ptr_array_new();
	slots->lent = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					    g_free);
	slots->borrowed = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						NULL, g_free);
	return slots;
}

void cq_slots_destroy(struct cq_slots *slots)
{
	if (!slots)
		return;
	g_hash_table_destroy(slots->lent);
	g_hash_table_destroy(slots->borrowed);
	g_ptr_array_free(slots->order, TRUE);
	g_hash_table_destroy(slots->endpoints);
	g_free(slots);
}

/* FNV-1a; a library's hash might differ between hosts or versions. */
static uint32_t hash_text(const char *text)
{
	uint32_t hash = 2166136261U;

	for (; *text; text++)
		hash = (hash ^ (unsigned char)*text) * 16777619U;
	return hash;
}

uint32_t cq_slots_share(const char *endpoint, uint32_t capacity, uint32_t index,
			uint32_t index_count)
{
	uint32_t first = hash_text(endpoint) % index_count;
	/* Number of indices from first to this one, wrapping around. */
	uint32_t position = (index + index_count - first) % index_count;

	return capacity / index_count +
	       (position < capacity % index_count ? 1 : 0);
}

void cq_slots_set_holds_index(struct cq_slots *slots, bool holds_index)
{
	slots->index_lost = !holds_index;
}

static struct cq_slots_endpoint *find_endpoint(const struct cq_slots *slots,
					       const char *id)
{
	return g_hash_table_lookup(slots->endpoints, id);
}

static struct cq_slots_endpoint *find_or_add_endpoint(struct cq_slots *slots,
						      const char *id)
{
	struct cq_slots_endpoint *e = find_endpoint(slots, id);

	if (e)
		return e;
	e = g_new0(struct cq_slots_endpoint, 1);
	e->id = g_strdup(id);
	e->removed = true;
	e->loans = g_ptr_array_new();
	g_hash_table_insert(slots->endpoints, e->id, e);
	g_ptr_array_add(slots->order, e);
	return e;
}

struct cq_slots_endpoint *cq_slots_set_endpoint(struct cq_slots *slots,
						const char *endpoint,
						uint32_t capacity)
{
	struct cq_slots_endpoint *e = find_or_add_endpoint(slots, endpoint);

	e->removed = false;
	e->own = cq_slots_share(endpoint, capacity, slots->options.index,
				slots->options.index_count);
	return e;
}

void cq_slots_remove_endpoint(struct cq_slots *slots,
			      struct cq_slots_endpoint *e)
{
	assert(!e->own_used && !e->borrowed_used);
	e->removed = true;
	free_if_unused(slots, e);
}

/* Frees a removed endpoint once no loan refers to it. */
static void free_if_unused(struct cq_slots *slots, struct cq_slots_endpoint *e)
{
	if (!e->removed || e->own_used || e->lent || e->loans->len)
		return;
	g_ptr_array_remove(slots->order, e);
	g_hash_table_remove(slots->endpoints, e->id);
}

static uint32_t free_own_slots(const struct cq_slots *slots,
			       const struct cq_slots_endpoint *e,
			       int64_t now_ns)
{
	uint32_t taken = e->own_used + e->lent;

	if (e->removed || slots->index_lost ||
	    now_ns < slots->options.usable_from_ns || taken >= e->own)
		return 0;
	return e->own - taken;
}

static struct borrowed *find_idle_loan(const struct cq_slots_endpoint *e,
				       int64_t now_ns)
{
	guint i;

	for (i = 0; i < e->loans->len; i++) {
		struct borrowed *loan = e->loans->pdata[i];

		if (!loan->used && now_ns < loan->start_deadline_ns)
			return loan;
	}
	return NULL;
}

static uint32_t count_idle_loans(const struct cq_slots_endpoint *e,
				 int64_t now_ns)
{
	uint32_t count = 0;
	guint i;

	for (i = 0; i < e->loans->len && !e->removed; i++) {
		const struct borrowed *loan = e->loans->pdata[i];

		if (!loan->used && now_ns < loan->start_deadline_ns)
			count++;
	}
	return count;
}

uint32_t cq_slots_free(const struct cq_slots *slots,
		       const struct cq_slots_endpoint *e, int64_t now_ns)
{
	return free_own_slots(slots, e, now_ns) + count_idle_loans(e, now_ns);
}

uint32_t cq_slots_free_total(const struct cq_slots *slots, int64_t now_ns)
{
	uint32_t total = 0;
	guint i;

	for (i = 0; i < slots->order->len; i++) {
		const struct cq_slots_endpoint *e = slots->order->pdata[i];

		total += free_own_slots(slots, e, now_ns) +
			 count_idle_loans(e, now_ns);
	}
	return total;
}

uint32_t cq_slots_usable_total(const struct cq_slots *slots, int64_t now_ns)
{
	uint32_t total = 0;
	guint i;

	for (i = 0; i < slots->order->len; i++) {
		const struct cq_slots_endpoint *e = slots->order->pdata[i];

		if (e->removed)
			continue;
		total += count_idle_loans(e, now_ns) + e->borrowed_used +
			 free_own_slots(slots, e, now_ns) + e->own_used;
	}
	return total;
}

uint32_t cq_slots_in_use(const struct cq_slots_endpoint *e)
{
	return e->own_used + e->borrowed_used;
}

bool cq_slots_take(struct cq_slots *slots, struct cq_slots_endpoint *e,
		   int64_t now_ns, struct cq_slots_grant *grant)
{
	struct borrowed *loan;

	if (e->removed)
		return false;
	loan = find_idle_loan(e, now_ns);
	if (loan) {
		loan->used = true;
		e->borrowed_used++;
		grant->loan_local_id = loan->local_id;
		return true;
	}
	if (!free_own_slots(slots, e, now_ns))
		return false;
	e->own_used++;
	grant->loan_local_id = 0;
	return true;
}

void cq_slots_put(struct cq_slots *slots, struct cq_slots_endpoint *e,
		  const struct cq_slots_grant *grant)
{
	struct borrowed *loan;

	if (!grant->loan_local_id) {
		assert(e->own_used);
		e->own_used--;
		return;
	}
	loan = g_hash_table_lookup(slots->borrowed, &grant->loan_local_id);
	assert(loan && loan->used);
	loan->used = false;
	e->borrowed_used--;
}

/* Number of slots that may be lent now. */
static uint32_t lendable_slots(const struct cq_slots *slots, int64_t now_ns)
{
	uint32_t idle = 0;
	uint32_t keep;
	guint i;

	for (i = 0; i < slots->order->len; i++)
		idle += free_own_slots(slots, slots->order->pdata[i], now_ns);
	keep = idle / 4 > 1 ? idle / 4 : 1;
	return idle > keep ? idle - keep : 0;
}

uint32_t cq_slots_lend(struct cq_slots *slots, uint32_t wanted, int64_t now_ns,
		       struct cq_slots_loan *loans)
{
	uint32_t limit = MIN(MIN(wanted, lendable_slots(slots, now_ns)),
			     CQ_SLOTS_MAX_LOANS);
	uint32_t count = 0;
	guint endpoints_without_slot;

	/* Lend one slot per endpoint and round to spread the loans evenly. */
	for (endpoints_without_slot = 0;
	     count < limit && endpoints_without_slot < slots->order->len;) {
		struct cq_slots_endpoint *e;
		struct lent *lent;

		slots->lend_cursor =
			(slots->lend_cursor + 1) % slots->order->len;
		e = slots->order->pdata[slots->lend_cursor];
		if (!free_own_slots(slots, e, now_ns)) {
			endpoints_without_slot++;
			continue;
		}
		lent = g_new0(struct lent, 1);
		lent->id = ++slots->last_loan_id;
		lent->endpoint = e;
		lent->deadline_ns = now_ns + slots->options.loan_ns +
				    slots->options.call_max_ns;
		g_hash_table_insert(slots->lent, &lent->id, lent);
		e->lent++;
		loans[count].id = lent->id;
		g_strlcpy(loans[count].endpoint, e->id,
			  sizeof(loans[count].endpoint));
		count++;
		endpoints_without_slot = 0;
	}
	return count;
}

void cq_slots_returned(struct cq_slots *slots, uint64_t loan_id)
{
	struct lent *lent = g_hash_table_lookup(slots->lent, &loan_id);
	struct cq_slots_endpoint *e;

	if (!lent)
		return;
	e = lent->endpoint;
	e->lent--;
	g_hash_table_remove(slots->lent, &loan_id);
	free_if_unused(slots, e);
}

void cq_slots_borrow(struct cq_slots *slots, uint32_t lender,
		     uint64_t lender_incarnation,
		     const struct cq_slots_loan *loans, uint32_t count,
		     int64_t asked_ns)
{
	uint32_t i;

	for (i = 0; i < count; i++) {
		struct borrowed *loan = g_new0(struct borrowed, 1);

		loan->local_id = ++slots->last_local_id;
		loan->id = loans[i].id;
		loan->lender = lender;
		loan->lender_incarnation = lender_incarnation;
		loan->endpoint = find_or_add_endpoint(slots, loans[i].endpoint);
		loan->start_deadline_ns = asked_ns + slots->options.loan_ns;
		g_ptr_array_add(loan->endpoint->loans, loan);
		g_hash_table_insert(slots->borrowed, &loan->local_id, loan);
	}
}

static void remove_borrowed(struct cq_slots *slots, struct borrowed *loan)
{
	struct cq_slots_endpoint *e = loan->endpoint;

	g_ptr_array_remove_fast(e->loans, loan);
	g_hash_table_remove(slots->borrowed, &loan->local_id);
	free_if_unused(slots, e);
}

uint32_t cq_slots_collect_returns(struct cq_slots *slots, bool all,
				  int64_t now_ns, uint32_t *lender,
				  uint64_t *lender_incarnation,
				  uint64_t *loan_ids)
{
	GPtrArray *found = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;
	uint32_t count;
	guint i;

	g_hash_table_iter_init(&iter, slots->borrowed);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct borrowed *loan = value;
		struct borrowed *first = found->len ? found->pdata[0] : loan;

		if (loan->used || found->len == CQ_SLOTS_MAX_LOANS ||
		    loan->lender != first->lender ||
		    loan->lender_incarnation != first->lender_incarnation)
			continue;
		if (all || loan->endpoint->removed ||
		    now_ns >= loan->start_deadline_ns)
			g_ptr_array_add(found, loan);
	}
	for (i = 0; i < found->len; i++) {
		struct borrowed *loan = found->pdata[i];

		*lender = loan->lender;
		*lender_incarnation = loan->lender_incarnation;
		loan_ids[i] = loan->id;
		remove_borrowed(slots, loan);
	}
	count = found->len;
	g_ptr_array_free(found, TRUE);
	return count;
}

void cq_slots_tick(struct cq_slots *slots, int64_t now_ns)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, slots->lent);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct lent *lent = value;
		struct cq_slots_endpoint *e;

		if (now_ns < lent->deadline_ns)
			continue;
		e = lent->endpoint;
		e->lent--;
		g_hash_table_iter_remove(&iter);
		free_if_unused(slots, e);
	}
}

uint32_t cq_slots_lent(const struct cq_slots *slots)
{
	return g_hash_table_size(slots->lent);
}

uint32_t cq_slots_borrowed(const struct cq_slots *slots)
{
	return g_hash_table_size(slots->borrowed);
}
