/* Changes that are executed later than they were sent. */
#include <string.h>

#include "mem_store_internal.h"

void mem_store_keep_late(struct mem_store *s, const struct cq_store_txn *txn)
{
	struct late_change *late = g_new0(struct late_change, 1);
	size_t i;

	late->checks = g_array_new(FALSE, TRUE, sizeof(struct cq_store_check));
	late->puts = g_array_new(FALSE, TRUE, sizeof(struct cq_store_put));
	late->deletes = g_ptr_array_new_with_free_func(g_free);
	for (i = 0; i < txn->check_count; i++) {
		struct cq_store_check check = txn->checks[i];

		check.key = g_strdup(check.key);
		g_array_append_val(late->checks, check);
	}
	for (i = 0; i < txn->put_count; i++) {
		struct cq_store_put put = txn->puts[i];

		put.key = g_strdup(put.key);
		put.value = g_strdup(put.value);
		g_array_append_val(late->puts, put);
	}
	for (i = 0; i < txn->delete_count; i++)
		g_ptr_array_add(late->deletes, g_strdup(txn->deletes[i]));
	g_ptr_array_add(s->late, late);
}

void mem_store_late_free(void *data)
{
	struct late_change *late = data;
	guint i;

	for (i = 0; i < late->checks->len; i++)
		g_free((char *)g_array_index(late->checks,
					     struct cq_store_check, i)
			       .key);
	for (i = 0; i < late->puts->len; i++) {
		const struct cq_store_put *put =
			&g_array_index(late->puts, struct cq_store_put, i);

		g_free((char *)put->key);
		g_free((char *)put->value);
	}
	g_array_unref(late->checks);
	g_array_unref(late->puts);
	g_ptr_array_unref(late->deletes);
	g_free(late);
}

void mem_store_run_late(struct mem_store *s)
{
	guint i;

	for (i = 0; i < s->late->len; i++) {
		const struct late_change *late = g_ptr_array_index(s->late, i);
		const struct cq_store_txn txn = {
			.checks = (void *)late->checks->data,
			.check_count = late->checks->len,
			.puts = (void *)late->puts->data,
			.put_count = late->puts->len,
			.deletes = (void *)late->deletes->pdata,
			.delete_count = late->deletes->len,
		};

		if (mem_store_checks_hold(s, &txn))
			mem_store_execute(s, &txn);
	}
	g_ptr_array_set_size(s->late, 0);
}
