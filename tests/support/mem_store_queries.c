/* Queries on the state of the in-memory store, for tests. */
#include "mem_store_internal.h"

const char *mem_store_read(const struct mem_store *s, const char *key)
{
	const struct item *item = g_tree_lookup(s->items, key);

	return item ? item->value : NULL;
}

int64_t mem_store_revision(const struct mem_store *s)
{
	return s->revision;
}

int64_t mem_store_lease_of(const struct mem_store *s, const char *key)
{
	const struct item *item = g_tree_lookup(s->items, key);

	return item ? item->lease_id : 0;
}

uint32_t mem_store_lists(const struct mem_store *s)
{
	return s->list_count;
}

uint32_t mem_store_changes(const struct mem_store *s)
{
	return s->change_count;
}

uint32_t mem_store_calls(const struct mem_store *s)
{
	return s->call_count;
}
