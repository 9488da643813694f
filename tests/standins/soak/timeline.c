/* Text chart of a run: a row per host, link and worker, a column per second. */
#include <stdio.h>
#include <string.h>

#include "soak.h"

#define COLUMN_MS 1000
/* Columns for the wait for open jobs after the last fault. */
#define EXTRA_COLUMNS 60
#define OVERLAP '*'

struct soak_timeline {
	int hosts;
	int workers;
	int columns;
	int used_columns; /* columns up to the last mark or count */
	char *marks;	  /* cells of all rows, one letter each */
	int *counts;	  /* events of each counted kind in each column */
};

static const char *const count_names[] = { "accepted", "refused", "unanswered",
					   "completed" };

/* Returns the index of a row of marks; rows of one kind are adjacent. */
static int row_of(const struct soak_timeline *t, enum soak_row kind, int index)
{
	switch (kind) {
	case SOAK_ROW_HOST:
		return index;
	case SOAK_ROW_STORE_LINK:
		return t->hosts + index;
	case SOAK_ROW_WORKER:
		return 2 * t->hosts + index;
	default:
		return 2 * t->hosts + t->workers;
	}
}

struct soak_timeline *soak_timeline_create(const struct soak_options *options)
{
	struct soak_timeline *t = g_new0(struct soak_timeline, 1);
	size_t cells;

	t->hosts = options->hosts;
	t->workers = options->workers;
	t->columns = options->seconds + EXTRA_COLUMNS;
	cells = (size_t)(row_of(t, SOAK_ROW_PLATFORM, 0) + 1) *
		(size_t)t->columns;
	t->marks = g_malloc(cells);
	memset(t->marks, '.', cells);
	t->counts = g_new0(int, G_N_ELEMENTS(count_names) * (gsize)t->columns);
	return t;
}

void soak_timeline_destroy(struct soak_timeline *t)
{
	if (!t)
		return;
	g_free(t->marks);
	g_free(t->counts);
	g_free(t);
}

void soak_timeline_mark(struct soak_timeline *t, enum soak_row kind, int index,
			int from_ms, int until_ms, char letter)
{
	char *row = t->marks + row_of(t, kind, index) * t->columns;
	int last = MIN(until_ms / COLUMN_MS, t->columns - 1);
	int i;

	for (i = from_ms / COLUMN_MS; i <= last; i++)
		row[i] = row[i] == '.' || row[i] == letter ? letter : OVERLAP;
	t->used_columns = MAX(t->used_columns, last + 1);
}

void soak_timeline_count(struct soak_timeline *t, enum soak_row kind, int at_ms)
{
	int column = MIN(at_ms / COLUMN_MS, t->columns - 1);

	t->counts[((int)kind - (int)SOAK_ROW_ACCEPTED) * t->columns + column]++;
	t->used_columns = MAX(t->used_columns, column + 1);
}

static void print_marks(const struct soak_timeline *t, enum soak_row kind,
			int count, const char *name, FILE *out)
{
	int i;

	for (i = 0; i < count; i++)
		fprintf(out, "%-10s %3d  %.*s\n", name, i, t->used_columns,
			t->marks + row_of(t, kind, i) * t->columns);
}

static void print_counts(const struct soak_timeline *t, int kind, FILE *out)
{
	const int *counts = t->counts + kind * t->columns;
	int i;

	fprintf(out, "%-15s ", count_names[kind]);
	for (i = 0; i < t->used_columns; i++)
		if (counts[i] > 9)
			fputc('+', out);
		else
			fputc(counts[i] ? '0' + counts[i] : '.', out);
	fputc('\n', out);
}

void soak_timeline_print(const struct soak_timeline *t, FILE *out)
{
	size_t i;
	int second;

	fprintf(out, "%-15s ", "seconds");
	for (second = 0; second < t->used_columns; second++)
		fputc(second % 10 ? ' ' : '0' + second / 10 % 10, out);
	fputc('\n', out);
	print_marks(t, SOAK_ROW_HOST, t->hosts, "host", out);
	print_marks(t, SOAK_ROW_STORE_LINK, t->hosts, "store link", out);
	print_marks(t, SOAK_ROW_WORKER, t->workers, "worker", out);
	print_marks(t, SOAK_ROW_PLATFORM, 1, "platform", out);
	for (i = 0; i < G_N_ELEMENTS(count_names); i++)
		print_counts(t, (int)i, out);
}
