#include "chestnutquay/workload.h"

#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <string.h>

#include "chestnutquay/text.h"

static json_t *format_step(const struct cq_workload_step *step);
static void set_flag_if_true(json_t *object, const char *name, bool value);
static void set_number_if_nonzero(json_t *object, const char *name,
				  int64_t value);
static bool set_text_if_given(json_t *object, const char *name,
			      const char *value);
static void read_text_if_given(const json_t *object, const char *name,
			       const char **out);
static int64_t read_number(const json_t *object, const char *name);
static void parse_step(const json_t *object, struct cq_workload_step *step);
static bool check_step(const struct cq_workload *w, uint32_t i,
		       struct cq_error *err);

struct cq_workload *cq_workload_create(void)
{
	struct cq_workload *w = g_new0(struct cq_workload, 1);

	w->occurrences = 1;
	cq_text_set(&w->queue, "");
	cq_text_set(&w->workspace, "");
	return w;
}

void cq_workload_destroy(struct cq_workload *w)
{
	uint32_t i;

	if (!w)
		return;
	for (i = 0; i < w->step_count; i++) {
		cq_text_clear(&w->steps[i].required_label);
		cq_text_clear(&w->steps[i].data_rack);
		cq_text_clear(&w->steps[i].image);
	}
	cq_text_clear(&w->queue);
	cq_text_clear(&w->workspace);
	g_free(w->spec);
	g_free(w->steps);
	g_free(w);
}

static bool check_step(const struct cq_workload *w, uint32_t i,
		       struct cq_error *err)
{
	const struct cq_workload_step *step = &w->steps[i];

	if (!step->tasks)
		return cq_error_set(err, CQ_ERROR_STATE, CQ_ERR_INVALID,
				    "step %u has no tasks", i);
	if (step->after >> i)
		return cq_error_set(err, CQ_ERROR_STATE, CQ_ERR_INVALID,
				    "step %u depends on a step that is not an "
				    "earlier one",
				    i);
	return true;
}

int64_t cq_workload_due_ms(const struct cq_workload *w, uint32_t occurrence)
{
	int64_t after_first_ms;
	int64_t due_ms;

	if (w->first_run_ms <= 0)
		return 0;
	if (__builtin_mul_overflow(w->interval_ms, (int64_t)occurrence,
				   &after_first_ms) ||
	    __builtin_add_overflow(w->first_run_ms, after_first_ms, &due_ms))
		return w->interval_ms < 0 ? 0 : INT64_MAX;
	return MAX(due_ms, 0);
}

uint32_t cq_workload_task_count(const struct cq_workload *w)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < w->step_count; i++)
		count += w->steps[i].tasks;
	return count;
}

bool cq_workload_check(const struct cq_workload *w, struct cq_error *err)
{
	uint64_t tasks = 0;
	uint32_t i;

	if (strlen(w->id) != CQ_WORKLOAD_ID_BYTES - 1 ||
	    strspn(w->id, "0123456789abcdefABCDEF") != strlen(w->id))
		return cq_error_set(err, CQ_ERROR_STATE, CQ_ERR_INVALID,
				    "id \"%s\" is not 16 hexadecimal digits",
				    w->id);
	if (!w->spec || strlen(w->spec) > CQ_WORKLOAD_SPEC_BYTES)
		return cq_error_set(err, CQ_ERROR_STATE, CQ_ERR_INVALID,
				    "spec is missing or longer than %d bytes",
				    CQ_WORKLOAD_SPEC_BYTES);
	if (!w->step_count || w->step_count > CQ_WORKLOAD_MAX_STEPS)
		return cq_error_set(err, CQ_ERROR_STATE, CQ_ERR_INVALID,
				    "%u steps; allowed are 1 to %d",
				    w->step_count, CQ_WORKLOAD_MAX_STEPS);
	for (i = 0; i < w->step_count; i++) {
		if (!check_step(w, i, err))
			return false;
		tasks += w->steps[i].tasks;
	}
	if (tasks > CQ_WORKLOAD_MAX_TASKS)
		return cq_error_set(err, CQ_ERROR_STATE, CQ_ERR_LIMIT,
				    "%" PRIu64 " tasks; at most %d are allowed",
				    tasks, CQ_WORKLOAD_MAX_TASKS);
	return true;
}

static void set_flag_if_true(json_t *object, const char *name, bool value)
{
	if (value)
		json_object_set_new(object, name, json_true());
}

static void set_number_if_nonzero(json_t *object, const char *name,
				  int64_t value)
{
	if (value)
		json_object_set_new(object, name,
				    json_integer((json_int_t)value));
}

/* Returns false if the text is not UTF-8. */
static bool set_text_if_given(json_t *object, const char *name,
			      const char *value)
{
	return !value || !json_object_set_new(object, name, json_string(value));
}

/* Returns NULL if a text of the step is not UTF-8. */
static json_t *format_step(const struct cq_workload_step *step)
{
	json_t *object = json_object();
	bool ok;

	set_number_if_nonzero(object, "tasks", step->tasks);
	set_number_if_nonzero(object, "cpu", step->cpu_millicores);
	set_number_if_nonzero(object, "memory_mb", step->memory_mb);
	set_number_if_nonzero(object, "accelerators", step->accelerators);
	set_number_if_nonzero(object, "estimate_ms", step->estimate_ms);
	set_number_if_nonzero(object, "after", (int64_t)step->after);
	set_flag_if_true(object, "gang", step->gang);
	set_flag_if_true(object, "same_rack", step->same_rack);
	set_flag_if_true(object, "checkpointing", step->checkpointing);
	set_flag_if_true(object, "allow_duplicates", step->allow_duplicates);
	set_flag_if_true(object, "long_running", step->long_running);
	set_flag_if_true(object, "fills", step->fills);
	set_number_if_nonzero(object, "max_per_worker", step->max_per_worker);
	set_number_if_nonzero(object, "max_unavailable", step->max_unavailable);
	set_number_if_nonzero(object, "target_ms", step->target_ms);
	ok = set_text_if_given(object, "required_label",
			       step->required_label) &&
	     set_text_if_given(object, "data_rack", step->data_rack) &&
	     set_text_if_given(object, "image", step->image);
	if (ok)
		return object;
	json_decref(object);
	return NULL;
}

char *cq_workload_format(const struct cq_workload *w)
{
	json_t *steps = json_array();
	json_t *object;
	char *text;
	uint32_t i;

	for (i = 0; i < w->step_count; i++) {
		if (json_array_append_new(steps, format_step(&w->steps[i]))) {
			json_decref(steps);
			return NULL;
		}
	}
	object = json_pack("{s:s,s:s,s:s,s:s,s:o}", "id", w->id, "queue",
			   w->queue, "workspace", w->workspace, "spec", w->spec,
			   "steps", steps);
	if (!object)
		return NULL;
	set_number_if_nonzero(object, "occurrences", w->occurrences);
	set_number_if_nonzero(object, "first_run_ms", w->first_run_ms);
	set_number_if_nonzero(object, "interval_ms", w->interval_ms);
	set_number_if_nonzero(object, "accepted_ms", w->accepted_ms);
	set_flag_if_true(object, "cancelled", w->cancelled);
	text = json_dumps(object, JSON_COMPACT);
	json_decref(object);
	return text;
}

static const char *text_of(const json_t *object, const char *name)
{
	return json_string_value(json_object_get(object, name));
}

static void read_text_if_given(const json_t *object, const char *name,
			       const char **out)
{
	const char *text = text_of(object, name);

	if (text && *text)
		cq_text_set(out, text);
}

static int64_t read_number(const json_t *object, const char *name)
{
	return json_integer_value(json_object_get(object, name));
}

static void parse_step(const json_t *object, struct cq_workload_step *step)
{
	step->tasks = (uint32_t)read_number(object, "tasks");
	step->cpu_millicores = (uint32_t)read_number(object, "cpu");
	step->memory_mb = (uint32_t)read_number(object, "memory_mb");
	step->accelerators = (uint32_t)read_number(object, "accelerators");
	step->estimate_ms = read_number(object, "estimate_ms");
	step->after = (uint64_t)read_number(object, "after");
	step->gang = json_is_true(json_object_get(object, "gang"));
	step->same_rack = json_is_true(json_object_get(object, "same_rack"));
	step->checkpointing =
		json_is_true(json_object_get(object, "checkpointing"));
	step->allow_duplicates =
		json_is_true(json_object_get(object, "allow_duplicates"));
	step->long_running =
		json_is_true(json_object_get(object, "long_running"));
	step->fills = json_is_true(json_object_get(object, "fills"));
	step->max_per_worker = (uint32_t)read_number(object, "max_per_worker");
	step->max_unavailable =
		(uint32_t)read_number(object, "max_unavailable");
	step->target_ms = (uint32_t)read_number(object, "target_ms");
	read_text_if_given(object, "required_label", &step->required_label);
	read_text_if_given(object, "data_rack", &step->data_rack);
	read_text_if_given(object, "image", &step->image);
}

struct cq_workload *cq_workload_parse(const char *json, size_t len,
				      struct cq_error *err)
{
	json_t *root = json_loadb(json, len, 0, NULL);
	const json_t *steps = json_object_get(root, "steps");
	struct cq_workload *w;
	const char *id;
	uint32_t i;

	if (!json_is_object(root) || !json_is_array(steps)) {
		json_decref(root);
		cq_error_set(err, CQ_ERROR_STATE, CQ_ERR_INVALID,
			     "not a JSON object with steps");
		return NULL;
	}
	w = cq_workload_create();
	/* cq_workload_check() refuses an id that does not fit. */
	id = text_of(root, "id");
	if (id && strlen(id) < sizeof(w->id))
		g_strlcpy(w->id, id, sizeof(w->id));
	cq_text_set(&w->queue, text_of(root, "queue"));
	cq_text_set(&w->workspace, text_of(root, "workspace"));
	w->spec = g_strdup(text_of(root, "spec"));
	w->step_count = (uint32_t)json_array_size(steps);
	w->steps = g_new0(struct cq_workload_step, w->step_count);
	for (i = 0; i < w->step_count; i++)
		parse_step(json_array_get(steps, i), &w->steps[i]);
	w->occurrences = (uint32_t)read_number(root, "occurrences");
	w->first_run_ms = read_number(root, "first_run_ms");
	w->interval_ms = read_number(root, "interval_ms");
	w->accepted_ms = read_number(root, "accepted_ms");
	w->cancelled = json_is_true(json_object_get(root, "cancelled"));
	json_decref(root);
	if (!cq_workload_check(w, err)) {
		cq_workload_destroy(w);
		return NULL;
	}
	return w;
}
