#include "chestnutquay/executor.h"

#include <glib.h>
#include <string.h>

#include "chestnutquay/text.h"

static const char *const answer_strings[] = {
	[CQ_EXECUTOR_OK] = "ok",
	[CQ_EXECUTOR_FENCED] = "fenced",
	[CQ_EXECUTOR_OLD_RUN] = "old_run",
	[CQ_EXECUTOR_LEASE_EXPIRED] = "late",
	[CQ_EXECUTOR_NO_CAPACITY] = "no_room",
	[CQ_EXECUTOR_INVALID_TICKET] = "no_ticket",
	[CQ_EXECUTOR_OTHER_INCARNATION] = "other_life",
	[CQ_EXECUTOR_UNHEALTHY] = "unhealthy",
	[CQ_EXECUTOR_INVALID] = "invalid",
	[CQ_EXECUTOR_NOT_SENT] = "not_sent",
	[CQ_EXECUTOR_UNKNOWN] = "unknown",
};

static const char *const end_strings[] = {
	[CQ_RUN_DONE] = "done",		 [CQ_RUN_FAILED] = "failed",
	[CQ_RUN_STOPPED] = "stopped",	 [CQ_RUN_LEASE_EXPIRED] = "lapsed",
	[CQ_RUN_GANG_BROKEN] = "broken", [CQ_RUN_GANG_INCOMPLETE] = "alone",
	[CQ_RUN_LOST] = "lost",
};

const char *cq_executor_answer_string(enum cq_executor_answer answer)
{
	return answer_strings[answer];
}

const char *cq_run_end_string(enum cq_run_end end)
{
	return end_strings[end];
}

bool cq_run_end_parse(const char *text, enum cq_run_end *end)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(end_strings); i++) {
		if (strcmp(text, end_strings[i]))
			continue;
		*end = (enum cq_run_end)i;
		return true;
	}
	return false;
}

void cq_executor_registration_init(struct cq_executor_registration *r)
{
	memset(r, 0, sizeof(*r));
	cq_text_set(&r->id, "");
	cq_text_set(&r->service, "");
	cq_text_set(&r->data_centre, "");
	cq_text_set(&r->rack, "");
}

static void clear_labels(struct cq_executor_registration *r)
{
	uint32_t i;

	for (i = 0; i < r->label_count; i++)
		cq_text_clear(&r->labels[i]);
	g_clear_pointer(&r->labels, g_free);
	r->label_count = 0;
}

void cq_executor_registration_clear(struct cq_executor_registration *r)
{
	clear_labels(r);
	cq_text_clear(&r->id);
	cq_text_clear(&r->service);
	cq_text_clear(&r->data_centre);
	cq_text_clear(&r->rack);
}

void cq_executor_registration_add_label(struct cq_executor_registration *r,
					const char *label)
{
	r->labels = g_renew(const char *, r->labels, r->label_count + 1);
	r->labels[r->label_count] = NULL;
	cq_text_set(&r->labels[r->label_count++], label);
}

void cq_executor_registration_copy(struct cq_executor_registration *to,
				   const struct cq_executor_registration *from)
{
	struct cq_executor_registration copy = *from;
	uint32_t i;

	copy.id = to->id;
	copy.service = to->service;
	copy.data_centre = to->data_centre;
	copy.rack = to->rack;
	copy.labels = NULL;
	copy.label_count = 0;
	clear_labels(to);
	*to = copy;
	cq_text_set(&to->id, from->id);
	cq_text_set(&to->service, from->service);
	cq_text_set(&to->data_centre, from->data_centre);
	cq_text_set(&to->rack, from->rack);
	for (i = 0; i < from->label_count; i++)
		cq_executor_registration_add_label(to, from->labels[i]);
}
