/* Queries on the state of the in-memory store, and its settings, for tests. */
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

void mem_store_set_delay(struct mem_store *s, double delay_s)
{
	s->delay_s = delay_s;
}

void mem_store_fail_changes(struct mem_store *s, enum mem_store_fault fault,
			    int count)
{
	s->change_fault = fault;
	s->fault_count = count;
}

void mem_store_set_max_value(struct mem_store *s, size_t bytes)
{
	s->max_value_bytes = bytes;
}

uint32_t mem_store_refused_changes(const struct mem_store *s)
{
	return s->refused_count;
}

void mem_store_fail_all(struct mem_store *s, enum mem_store_fault fault)
{
	s->fault = fault;
}
