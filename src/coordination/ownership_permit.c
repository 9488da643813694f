/*
 * Start permits, granted after a direct read of the data centre's state from
 * the store.
 */
#include <string.h>

#include "chestnutquay/settings.h"
#include "coordination/ownership_private.h"

static void read_dc_state(struct cq_ownership *o, int64_t now_ns);
static void on_permit(void *ctx, const struct cq_store_result *result);

/*
 * Minimum time between reads while the data centre is out of service or its
 * state cannot be read.
 */
#define DENIED_READ_INTERVAL_NS (200 * CQ_NS_PER_MS)

static void on_permit(void *ctx, const struct cq_store_result *result)
{
	struct cq_ownership *o = ctx;
	int64_t now_ns = cq_ownership_clock_ns(o);
	enum cq_settings_dc_state state = CQ_SETTINGS_DC_OUT;
	bool granted = false;

	o->permit_call = NULL;
	if (result->status == CQ_STORE_OK && result->entry_count == 1) {
		granted = cq_settings_document_dc_state(
				  result->entries[0].value, &state) &&
			  state == CQ_SETTINGS_DC_IN;
		/*
		 * The permit counts from the send of the read, because the
		 * state read cannot be older than that.
		 */
		o->permit_deadline_ns =
			granted ? o->permit_sent_ns + o->options.permit_ns : 0;
	} else if (result->status == CQ_STORE_NOT_FOUND) {
		/* A data centre without settings is not in service. */
		o->permit_deadline_ns = 0;
	}
	o->next_permit_read_ns = granted ? now_ns
					 : now_ns + DENIED_READ_INTERVAL_NS;
	granted = granted && now_ns < o->permit_deadline_ns;
	if (o->ops.permit)
		o->ops.permit(o->ctx, granted);
}

static void read_dc_state(struct cq_ownership *o, int64_t now_ns)
{
	if (o->permit_call || now_ns < o->next_permit_read_ns)
		return;
	o->permit_sent_ns = now_ns;
	o->permit_call = o->store->ops->get(o->store->self, o->settings_key,
					    o->options.call_timeout_ms,
					    on_permit, o);
}

bool cq_ownership_start_permit(struct cq_ownership *o, int64_t now_ns,
			       int64_t *not_after_unix_ms)
{
	int64_t until_ns;

	if (!cq_ownership_may_command(o, now_ns))
		return false;
	/*
	 * The permit is renewed before it expires, so that queued starts are
	 * not delayed.
	 */
	if (o->permit_deadline_ns - now_ns < o->options.permit_ns / 2)
		read_dc_state(o, now_ns);
	if (now_ns >= o->permit_deadline_ns)
		return false;
	until_ns = MIN(o->permit_deadline_ns, cq_ownership_deadline_ns(o));
	*not_after_unix_ms = cq_clock_unix_ms(o->options.clock) +
			     (until_ns - now_ns) / CQ_NS_PER_MS;
	return true;
}
