#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "chestnutquay/config.h"

static const struct cq_setting settings[] = {
	{ "name", "CQ_TEST_NAME", CQ_SETTING_STRING, NULL, 1, 8, "" },
	{ "count", "CQ_TEST_COUNT", CQ_SETTING_INTEGER, "3", 1, 9, "" },
	{ "address", "CQ_TEST_ADDRESS", CQ_SETTING_ADDRESS, "1.2.3.4:5", 0, 0,
	  "" },
	{ "optional", NULL, CQ_SETTING_ADDRESS, "", 0, 0, "" },
	{ "peers", "CQ_TEST_PEERS", CQ_SETTING_LIST, "", 0, 0, "" },
	{ "verbose", "CQ_TEST_VERBOSE", CQ_SETTING_FLAG, "false", 0, 0, "" },
};

static const char *const variables[] = { "CQ_TEST_NAME", "CQ_TEST_COUNT",
					 "CQ_TEST_ADDRESS", "CQ_TEST_PEERS",
					 "CQ_TEST_VERBOSE" };

#define MAX_ARGUMENTS 5

static struct cq_config *parse(const char *const *arguments,
			       struct cq_error *err)
{
	char *argv[MAX_ARGUMENTS + 2] = { "test" };
	int argc = 1;

	while (argc <= MAX_ARGUMENTS && arguments[argc - 1]) {
		argv[argc] = (char *)arguments[argc - 1];
		argc++;
	}
	return cq_config_parse("test", "", settings, G_N_ELEMENTS(settings),
			       argc, argv, err);
}

static void clear_environment(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(variables); i++)
		g_unsetenv(variables[i]);
}

/*
 * Guards against the environment overriding a flag, and against the default
 * overriding the environment.
 */
static void test_precedence(void)
{
	static const char *const flags[] = { "--name=flag", "--count=7", NULL };
	static const char *const none[] = { NULL };
	struct cq_error err = CQ_ERROR_INIT;
	struct cq_config *config;

	clear_environment();
	g_setenv("CQ_TEST_NAME", "env", TRUE);
	g_setenv("CQ_TEST_COUNT", "5", TRUE);
	config = parse(flags, &err);
	g_assert_cmpstr(err.message, ==, "");
	g_assert_cmpstr(cq_config_string(config, "name"), ==, "flag");
	g_assert_cmpint(cq_config_integer(config, "count"), ==, 7);
	cq_config_destroy(config);
	config = parse(none, &err);
	g_assert_cmpstr(cq_config_string(config, "name"), ==, "env");
	g_assert_cmpint(cq_config_integer(config, "count"), ==, 5);
	g_assert_cmpstr(cq_config_string(config, "address"), ==, "1.2.3.4:5");
	cq_config_destroy(config);
	g_unsetenv("CQ_TEST_COUNT");
	config = parse(none, &err);
	g_assert_cmpint(cq_config_integer(config, "count"), ==, 3);
	cq_config_destroy(config);
	clear_environment();
}

/*
 * Guards against lists and flags that are read from the command line or the
 * environment only.
 */
static void test_lists_and_flags(void)
{
	static const char *const given[] = { "--name=a", "--peers=x,y",
					     "--verbose", NULL };
	static const char *const none[] = { "--name=a", NULL };
	struct cq_error err = CQ_ERROR_INIT;
	struct cq_config *config;

	clear_environment();
	config = parse(given, &err);
	g_assert_cmpstr(cq_config_list(config, "peers")[0], ==, "x");
	g_assert_cmpstr(cq_config_list(config, "peers")[1], ==, "y");
	g_assert_null(cq_config_list(config, "peers")[2]);
	g_assert_true(cq_config_flag(config, "verbose"));
	cq_config_destroy(config);
	config = parse(none, &err);
	g_assert_null(cq_config_list(config, "peers")[0]);
	g_assert_false(cq_config_flag(config, "verbose"));
	cq_config_destroy(config);
	g_setenv("CQ_TEST_PEERS", "z", TRUE);
	g_setenv("CQ_TEST_VERBOSE", "true", TRUE);
	config = parse(none, &err);
	g_assert_cmpstr(cq_config_list(config, "peers")[0], ==, "z");
	g_assert_true(cq_config_flag(config, "verbose"));
	cq_config_destroy(config);
	clear_environment();
}

/*
 * Guards against an invalid value being accepted, and against an error that
 * does not name the source of the value, the value or the allowed range.
 */
static void test_bad_values(void)
{
	static const struct {
		const char *arguments[MAX_ARGUMENTS];
		const char *variable, *value;
		const char *names[3];
	} cases[] = {
		{ { NULL }, NULL, NULL, { "--name", "CQ_TEST_NAME" } },
		{ { "--name=" }, NULL, NULL, { "--name" } },
		{ { NULL }, "CQ_TEST_NAME", "", { "CQ_TEST_NAME", "1 to 8" } },
		{ { "--name=123456789" }, NULL, NULL, { "123456789", "8" } },
		{ { "--name=a", "--count=0" },
		  NULL,
		  NULL,
		  { "--count", "\"0\"", "1 to 9" } },
		{ { "--name=a", "--count=10" }, NULL, NULL, { "\"10\"" } },
		{ { "--name=a", "--count=3x" }, NULL, NULL, { "\"3x\"" } },
		{ { "--name=a", "--count=" }, NULL, NULL, { "--count" } },
		{ { "--name=a", "--count=99999999999999999999" },
		  NULL,
		  NULL,
		  { "1 to 9" } },
		{ { "--name=a" },
		  "CQ_TEST_COUNT",
		  "many",
		  { "CQ_TEST_COUNT", "\"many\"", "1 to 9" } },
		{ { "--name=a", "--address=host:1" },
		  NULL,
		  NULL,
		  { "--address", "\"host:1\"", "IPv4:PORT" } },
		{ { "--name=a", "--address=1.2.3.4" }, NULL, NULL, { "IPv4" } },
		{ { "--name=a", "--address=1.2.3.4:+1" },
		  NULL,
		  NULL,
		  { "1.2.3.4:+1" } },
		{ { "--name=a", "--address=1.2.3.4:65536" },
		  NULL,
		  NULL,
		  { "65536" } },
		{ { "--name=a", "--address=1.2.3.256:1" },
		  NULL,
		  NULL,
		  { "256" } },
		{ { "--name=a" },
		  "CQ_TEST_VERBOSE",
		  "yes",
		  { "CQ_TEST_VERBOSE", "\"yes\"", "true nor false" } },
		{ { "--name=a", "--unknown=1" }, NULL, NULL, { "--help" } },
		{ { "--name=a", "word" }, NULL, NULL, { "word" } },
	};
	size_t i;
	size_t k;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct cq_error err = CQ_ERROR_INIT;

		clear_environment();
		if (cases[i].variable)
			g_setenv(cases[i].variable, cases[i].value, TRUE);
		g_test_message("case %zu", i);
		g_assert_null(parse(cases[i].arguments, &err));
		g_assert_cmpint(err.code, ==, CQ_ERR_INVALID);
		for (k = 0; k < 3 && cases[i].names[k]; k++)
			if (!strstr(err.message, cases[i].names[k]))
				g_error("\"%s\" does not name %s", err.message,
					cases[i].names[k]);
	}
	clear_environment();
}

/* Guards against refusing an address that is optional by an empty default. */
static void test_optional_address(void)
{
	static const char *const arguments[] = { "--name=a", NULL };
	struct cq_error err = CQ_ERROR_INIT;
	struct cq_config *config = parse(arguments, &err);

	g_assert_cmpstr(err.message, ==, "");
	g_assert_nonnull(config);
	g_assert_cmpstr(cq_config_string(config, "optional"), ==, "");
	cq_config_destroy(config);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/config/precedence", test_precedence);
	g_test_add_func("/config/lists_and_flags", test_lists_and_flags);
	g_test_add_func("/config/bad_values", test_bad_values);
	g_test_add_func("/config/optional_address", test_optional_address);
	return g_test_run();
}
