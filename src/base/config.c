#include "chestnutquay/config.h"

#include <argtable2.h>
#include <arpa/inet.h>
#include <assert.h>
#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct value {
	char *text;
	int64_t integer;
	char **list;
};

struct cq_config {
	const struct cq_setting *settings;
	int32_t count;
	struct value *values;
};

static void *make_argument(const struct cq_setting *s);
static void print_help(const char *program, const char *summary, void **table,
		       const struct cq_setting *settings, int32_t count);
static const char *argument_text(const struct cq_setting *s, void *argument);
static bool set_value(struct value *v, const struct cq_setting *s,
		      const char *text, const char *source,
		      struct cq_error *err);
static bool check_integer(struct value *v, const struct cq_setting *s,
			  const char *text, const char *source,
			  struct cq_error *err);
static bool check_length(const struct cq_setting *s, const char *text,
			 const char *source, struct cq_error *err);
static const struct value *find_value(const struct cq_config *config,
				      const char *name,
				      enum cq_setting_kind kind);

static void *make_argument(const struct cq_setting *s)
{
	if (s->kind == CQ_SETTING_FLAG)
		return arg_lit0(NULL, s->name, s->help);
	return arg_str0(NULL, s->name,
			s->kind == CQ_SETTING_INTEGER	? "N"
			: s->kind == CQ_SETTING_ADDRESS ? "IP:PORT"
			: s->kind == CQ_SETTING_LIST	? "A,B"
							: "TEXT",
			s->help);
}

static void print_help(const char *program, const char *summary, void **table,
		       const struct cq_setting *settings, int32_t count)
{
	int32_t i;

	printf("Usage: %s [OPTION]...\n%s\n\n", program, summary);
	arg_print_glossary(stdout, table, "  %-32s %s\n");
	printf("\nEnvironment (flags go first):\n");
	for (i = 0; i < count; i++) {
		if (!settings[i].env)
			continue;
		printf("  %-32s --%s", settings[i].env, settings[i].name);
		if (settings[i].default_value)
			printf(" (default \"%s\")", settings[i].default_value);
		else
			printf(" (required)");
		if (settings[i].kind == CQ_SETTING_INTEGER)
			printf(" (%" PRId64 " to %" PRId64 ")", settings[i].min,
			       settings[i].max);
		printf("\n");
	}
}

static const char *argument_text(const struct cq_setting *s, void *argument)
{
	if (s->kind == CQ_SETTING_FLAG)
		return ((struct arg_lit *)argument)->count ? "true" : NULL;
	return ((struct arg_str *)argument)->count
		       ? ((struct arg_str *)argument)->sval[0]
		       : NULL;
}

static bool check_integer(struct value *v, const struct cq_setting *s,
			  const char *text, const char *source,
			  struct cq_error *err)
{
	char *end;

	errno = 0;
	v->integer = strtoll(text, &end, 10);
	if (errno || end == text || *end || v->integer < s->min ||
	    v->integer > s->max)
		return cq_error_set(err, CQ_ERROR_BASE, CQ_ERR_INVALID,
				    "%s: \"%s\" is not an integer from %" PRId64
				    " to %" PRId64,
				    source, text, s->min, s->max);
	return true;
}

static bool check_length(const struct cq_setting *s, const char *text,
			 const char *source, struct cq_error *err)
{
	int64_t len = (int64_t)strlen(text);

	if (s->max && (len < s->min || len > s->max))
		return cq_error_set(err, CQ_ERROR_BASE, CQ_ERR_INVALID,
				    "%s: \"%.40s\" has %" PRId64
				    " bytes, allowed are %" PRId64
				    " to %" PRId64,
				    source, text, len, s->min, s->max);
	return true;
}

static bool set_value(struct value *v, const struct cq_setting *s,
		      const char *text, const char *source,
		      struct cq_error *err)
{
	char ip[16];
	uint16_t port;

	v->text = g_strdup(text);
	switch (s->kind) {
	case CQ_SETTING_INTEGER:
		return check_integer(v, s, text, source, err);
	case CQ_SETTING_ADDRESS:
		if (!*text && s->default_value && !*s->default_value)
			return true;
		if (cq_address_parse(text, ip, &port, err))
			return true;
		return cq_error_wrap(err, CQ_ERROR_BASE, "%s", source);
	case CQ_SETTING_FLAG:
		if (strcmp(text, "true") && strcmp(text, "false"))
			return cq_error_set(
				err, CQ_ERROR_BASE, CQ_ERR_INVALID,
				"%s: \"%s\" is neither true nor false", source,
				text);
		v->integer = !strcmp(text, "true");
		return true;
	case CQ_SETTING_LIST:
		v->list = *text ? g_strsplit(text, ",", -1) : g_new0(char *, 1);
		return true;
	case CQ_SETTING_STRING:
		return check_length(s, text, source, err);
	}
	return true;
}

struct cq_config *cq_config_parse(const char *program, const char *summary,
				  const struct cq_setting *settings,
				  int32_t count, int argc, char **argv,
				  struct cq_error *err)
{
	struct arg_lit *help = arg_lit0(NULL, "help", "print this and exit");
	struct arg_lit *version =
		arg_lit0(NULL, "version", "print the version and exit");
	struct arg_end *end = arg_end(8);
	void **table = g_new0(void *, count + 3);
	struct cq_config *config = g_new0(struct cq_config, 1);
	bool ok = true;
	int32_t i;

	config->settings = settings;
	config->count = count;
	config->values = g_new0(struct value, count);
	for (i = 0; i < count; i++)
		table[i] = make_argument(&settings[i]);
	table[count] = help;
	table[count + 1] = version;
	table[count + 2] = end;
	if (arg_parse(argc, argv, table) && !help->count && !version->count) {
		char text[CQ_ERROR_MESSAGE_BYTES] = "";
		FILE *out = fmemopen(text, sizeof(text) - 1, "w");

		arg_print_errors(out, end, program);
		fclose(out);
		g_strdelimit(text, "\n", ' ');
		g_strchomp(text);
		ok = cq_error_set(err, CQ_ERROR_BASE, CQ_ERR_INVALID,
				  "%s (try --help)", text);
	}
	if (help->count) {
		print_help(program, summary, table, settings, count);
		exit(0);
	}
	if (version->count) {
		printf("%s %s\n", program, CQ_VERSION);
		exit(0);
	}
	for (i = 0; ok && i < count; i++) {
		const struct cq_setting *s = &settings[i];
		char *source = g_strdup_printf("--%s", s->name);
		const char *text = argument_text(s, table[i]);

		if (!text && s->env && (text = getenv(s->env))) {
			g_free(source);
			source = g_strdup(s->env);
		}
		if (!text)
			text = s->default_value;
		if (text)
			ok = set_value(&config->values[i], s, text, source,
				       err);
		else
			ok = cq_error_set(err, CQ_ERROR_BASE, CQ_ERR_INVALID,
					  "--%s (or %s) is required", s->name,
					  s->env ? s->env : "no variable");
		g_free(source);
	}
	arg_freetable(table, count + 3);
	g_free(table);
	if (ok)
		return config;
	cq_config_destroy(config);
	return NULL;
}

void cq_config_destroy(struct cq_config *config)
{
	int32_t i;

	if (!config)
		return;
	for (i = 0; i < config->count; i++) {
		g_free(config->values[i].text);
		g_strfreev(config->values[i].list);
	}
	g_free(config->values);
	g_free(config);
}

static const struct value *find_value(const struct cq_config *config,
				      const char *name,
				      enum cq_setting_kind kind)
{
	int32_t i;

	for (i = 0; i < config->count; i++) {
		if (strcmp(config->settings[i].name, name))
			continue;
		assert(config->settings[i].kind == kind ||
		       kind == CQ_SETTING_STRING);
		return &config->values[i];
	}
	assert(!"setting is in the program's table");
	abort();
}

const char *cq_config_string(const struct cq_config *config, const char *name)
{
	return find_value(config, name, CQ_SETTING_STRING)->text;
}

int64_t cq_config_integer(const struct cq_config *config, const char *name)
{
	return find_value(config, name, CQ_SETTING_INTEGER)->integer;
}

bool cq_config_flag(const struct cq_config *config, const char *name)
{
	return find_value(config, name, CQ_SETTING_FLAG)->integer != 0;
}

char **cq_config_list(const struct cq_config *config, const char *name)
{
	return find_value(config, name, CQ_SETTING_LIST)->list;
}

bool cq_address_parse(const char *text, char *ip, uint16_t *port,
		      struct cq_error *err)
{
	const char *colon = strrchr(text, ':');
	struct in_addr addr;
	char *end = NULL;
	long number = 0;

	if (colon && colon - text < 16) {
		memcpy(ip, text, colon - text);
		ip[colon - text] = 0;
		number = strtol(colon + 1, &end, 10);
	}
	/* strtol() would also accept a sign or leading white space. */
	if (!end || !g_ascii_isdigit(colon[1]) || *end || number > UINT16_MAX ||
	    inet_pton(AF_INET, ip, &addr) != 1)
		return cq_error_set(err, CQ_ERROR_BASE, CQ_ERR_INVALID,
				    "\"%s\" is not an address of the form "
				    "IPv4:PORT",
				    text);
	*port = (uint16_t)number;
	return true;
}
