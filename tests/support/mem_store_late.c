/* Changes whose execution is delayed after the call was answered. */
#include <string.h>

#include "mem_store_internal.h"

void mem_store_add_delayed(struct mem_store *s, const struct cq_store_txn *txn)
{
	struct delayed_change *change = g_new0(struct delayed_change, 1);
	size_t i;

	change->checks =
		g_array_new(FALSE, TRUE, sizeof(struct cq_store_check));
	change->puts = g_array_new(FALSE, TRUE, sizeof(struct cq_store_put));
	change->deletes = g_ptr_array_new_with_free_func(g_free);
	for (i = 0; i < txn->check_count; i++) {
		struct cq_store_check check = txn->checks[i];

		check.key = g_strdup(check.key);
		g_array_append_val(change->checks, check);
	}
	for (i = 0; i < txn->put_count; i++) {
		struct cq_store_put put = txn->puts[i];

		put.key = g_strdup(put.key);
		put.value = g_strdup(put.value);
		g_array_append_val(change->puts, put);
	}
	for (i = 0; i < txn->delete_count; i++)
		g_ptr_array_add(change->deletes, g_strdup(txn->deletes[i]));
	g_ptr_array_add(s->delayed, change);
}

void mem_store_delayed_free(void *data)
{
	struct delayed_change *change = data;
	guint i;

	for (i = 0; i < change->checks->len; i++)
		g_free((char *)g_array_index(change->checks,
					     struct cq_store_check, i)
			       .key);
	for (i = 0; i < change->puts->len; i++) {
		const struct cq_store_put *put =
			&g_array_index(change->puts, struct cq_store_put, i);

		g_free((char *)put->key);
		g_free((char *)put->value);
	}
	g_array_unref(change->checks);
	g_array_unref(change->puts);
	g_ptr_array_unref(change->deletes);
	g_free(change);
}

void mem_store_run_delayed(struct mem_store *s)
{
	guint i;

	for (i = 0; i < s->delayed->len; i++) {
		const struct delayed_change *change =
			g_ptr_array_index(s->delayed, i);
		const struct cq_store_txn txn = {
			.checks = (void *)change->checks->data,
			.check_count = change->checks->len,
			.puts = (void *)change->puts->data,
			.put_count = change->puts->len,
			.deletes = (void *)change->deletes->pdata,
			.delete_count = change->deletes->len,
		};

		if (mem_store_checks_hold(s, &txn))
			mem_store_execute(s, &txn);
	}
	g_ptr_array_set_size(s->delayed, 0);
}
