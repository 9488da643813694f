#include <argtable2.h>
#include <curl/curl.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "chestnutquay/config.h"
#include "programs/cqctl/cqctl.h"
#include "programs/cqctl/output.h"

#define MAX_OPTIONS 16
#define DEFAULT_TIMEOUT_MS 30000
#define MAX_TIMEOUT_MS 3600000

static const struct cqctl_command *const command_lists[] = {
	cqctl_status_commands,	    cqctl_settings_commands,
	cqctl_data_centre_commands, cqctl_jobs_commands,
	cqctl_list_commands,
};

static const struct cqctl_option common_options[] = {
	{ "server", "IP:PORT",
	  "operators' listener of any daemon (or CQ_SERVER)" },
	{ "output", "table|json", "form of the answer (default table)" },
	{ "timeout-ms", "N",
	  "longest time for one call, 1 to 3600000 (default 30000)" },
	{ "help", NULL, "print this and exit" },
	{ NULL, NULL, NULL },
};

static char *command_name(const struct cqctl_command *command);
static void print_overview(FILE *out);
static void print_command_help(const struct cqctl_command *command,
			       void **table);
static const struct cqctl_command *find_command(int *argc, char ***argv);
static bool group_exists(const char *group);
static void **make_arg_table(const struct cqctl_command *command,
			     struct arg_str **positional, struct arg_end **end);
static bool read_options(struct cqctl *ctl, void **table,
			 const struct arg_str *positional);
static bool apply_common_options(struct cqctl *ctl);
static int run_command(const struct cqctl_command *command, int argc,
		       char **argv);

const char *cqctl_option_get(const struct cqctl *ctl, const char *name)
{
	return g_hash_table_lookup(ctl->options, name);
}

const char *cqctl_argument(const struct cqctl *ctl, guint i)
{
	return i < ctl->arguments->len ? ctl->arguments->pdata[i] : NULL;
}

static char *command_name(const struct cqctl_command *command)
{
	if (!command->name)
		return g_strdup(command->group);
	return g_strdup_printf("%s %s", command->group, command->name);
}

static void print_overview(FILE *out)
{
	const struct cqctl_command *command;
	size_t i;

	fputs("Usage: cqctl COMMAND [ARGUMENT]... [OPTION]...\n"
	      "Client of the operators' interface of cq-entryd and "
	      "cq-schedd.\n\nCommands:\n",
	      out);
	for (i = 0; i < G_N_ELEMENTS(command_lists); i++)
		for (command = command_lists[i]; command->group; command++) {
			char *name = command_name(command);

			fprintf(out, "  %-20s %s\n", name, command->summary);
			g_free(name);
		}
	fputs("\nEnvironment:\n"
	      "  CQ_SERVER            IP:PORT of the operators' listener of "
	      "any daemon\n"
	      "  CQ_OPERATOR_TOKEN    token of the deployment\n"
	      "\nExit codes:\n"
	      "  0 ok, 1 failed, 2 usage, 3 conflict, 4 not found,\n"
	      "  5 unreachable (nothing was done), 6 timed out, stale or "
	      "partial\n"
	      "\ncqctl COMMAND --help describes a command.\n",
	      out);
}

static void print_command_help(const struct cqctl_command *command,
			       void **table)
{
	char *name = command_name(command);

	printf("Usage: cqctl %s%s%s [OPTION]...\n%s\n\n", name,
	       *command->arguments ? " " : "", command->arguments,
	       command->summary);
	arg_print_glossary(stdout, table, "  %-24s %s\n");
	g_free(name);
}

static bool group_exists(const char *group)
{
	const struct cqctl_command *command;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(command_lists); i++)
		for (command = command_lists[i]; command->group; command++)
			if (!strcmp(command->group, group))
				return true;
	return false;
}

/*
 * Finds the command and removes its words from the arguments. Prints an error
 * and returns NULL if there is no such command.
 */
static const struct cqctl_command *find_command(int *argc, char ***argv)
{
	const struct cqctl_command *command;
	const char *group = *argc > 1 ? (*argv)[1] : "";
	const char *name = *argc > 2 ? (*argv)[2] : "";
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(command_lists); i++)
		for (command = command_lists[i]; command->group; command++) {
			if (strcmp(command->group, group) ||
			    (command->name && strcmp(command->name, name)))
				continue;
			*argc -= command->name ? 2 : 1;
			*argv += command->name ? 2 : 1;
			return command;
		}
	if (group_exists(group) && !*name)
		fprintf(stderr, "cqctl: \"%s\" needs one more word\n", group);
	else if (group_exists(group))
		fprintf(stderr, "cqctl: \"%s %s\" is not a command\n", group,
			name);
	else
		fprintf(stderr, "cqctl: \"%s\" is not a command\n", group);
	fputs("next: cqctl --help lists the commands\n", stderr);
	return NULL;
}

static void **make_arg_table(const struct cqctl_command *command,
			     struct arg_str **positional, struct arg_end **end)
{
	void **table = g_new0(void *, MAX_OPTIONS);
	const struct cqctl_option *lists[] = { command->options,
					       common_options };
	const struct cqctl_option *option;
	size_t n = 0;
	size_t i;

	*positional = NULL;
	if (command->max_arguments) {
		*positional = arg_strn(NULL, NULL, command->arguments,
				       command->min_arguments,
				       command->max_arguments, NULL);
		table[n++] = *positional;
	}
	for (i = 0; i < G_N_ELEMENTS(lists); i++)
		for (option = lists[i]; option && option->name; option++) {
			g_assert(n < MAX_OPTIONS - 1);
			table[n++] =
				option->value
					? (void *)arg_str0(NULL, option->name,
							   option->value,
							   option->help)
					: (void *)arg_lit0(NULL, option->name,
							   option->help);
		}
	*end = arg_end(4);
	table[n] = *end;
	return table;
}

static bool read_options(struct cqctl *ctl, void **table,
			 const struct arg_str *positional)
{
	const struct cqctl_option *lists[] = { ctl->command->options,
					       common_options };
	const struct cqctl_option *option;
	size_t n = positional ? 1 : 0;
	size_t i;
	int k;

	for (k = 0; positional && k < positional->count; k++)
		g_ptr_array_add(ctl->arguments, g_strdup(positional->sval[k]));
	for (i = 0; i < G_N_ELEMENTS(lists); i++)
		for (option = lists[i]; option && option->name; option++, n++) {
			const struct arg_str *text = table[n];
			const struct arg_lit *flag = table[n];

			if (option->value ? text->count : flag->count)
				g_hash_table_insert(
					ctl->options, g_strdup(option->name),
					g_strdup(option->value ? text->sval[0]
							       : ""));
		}
	return apply_common_options(ctl);
}

static bool apply_common_options(struct cqctl *ctl)
{
	const char *output = cqctl_option_get(ctl, "output");
	const char *timeout = cqctl_option_get(ctl, "timeout-ms");
	const char *server = cqctl_option_get(ctl, "server");
	struct cq_error err = CQ_ERROR_INIT;
	char ip[16];
	uint16_t port;
	char *end = NULL;

	ctl->timeout_ms = DEFAULT_TIMEOUT_MS;
	if (timeout) {
		errno = 0;
		ctl->timeout_ms = strtoll(timeout, &end, 10);
		if (errno || end == timeout || *end || ctl->timeout_ms < 1 ||
		    ctl->timeout_ms > MAX_TIMEOUT_MS) {
			cqctl_error(ctl,
				    "--timeout-ms: \"%s\" is not an integer "
				    "from 1 to %d",
				    timeout, MAX_TIMEOUT_MS);
			return false;
		}
	}
	if (output && strcmp(output, "table") && strcmp(output, "json")) {
		cqctl_error(ctl, "--output: \"%s\" is neither table nor json",
			    output);
		return false;
	}
	ctl->format = output && !strcmp(output, "json") ? CQCTL_JSON
							: CQCTL_TABLE;
	if (!server)
		server = getenv("CQ_SERVER");
	if (!server || !*server) {
		cqctl_error(ctl, "no server given");
		cqctl_hint(ctl, "use --server IP:PORT or set CQ_SERVER to the "
				"operators' listener of any daemon");
		return false;
	}
	if (!cq_address_parse(server, ip, &port, &err)) {
		cqctl_error(ctl, "--server: %s", err.message);
		return false;
	}
	ctl->server = g_strdup(server);
	return true;
}

static int run_command(const struct cqctl_command *command, int argc,
		       char **argv)
{
	struct cqctl ctl = { .command = command };
	struct arg_str *positional;
	struct arg_end *end;
	void **table = make_arg_table(command, &positional, &end);
	int result = CQCTL_USAGE;
	bool wants_help = false;
	int errors;
	int i;

	for (i = 1; i < argc; i++)
		wants_help = wants_help || !strcmp(argv[i], "--help");
	ctl.colour = isatty(STDOUT_FILENO) && !getenv("NO_COLOR");
	ctl.options =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	ctl.arguments = g_ptr_array_new_with_free_func(g_free);
	errors = wants_help ? 0 : arg_parse(argc, argv, table);
	if (wants_help) {
		print_command_help(command, table);
		result = CQCTL_OK;
	} else if (errors) {
		char *name = command_name(command);

		arg_print_errors(stderr, end, "cqctl");
		fprintf(stderr, "next: see cqctl %s --help\n", name);
		g_free(name);
	} else if (read_options(&ctl, table, positional)) {
		curl_global_init(CURL_GLOBAL_DEFAULT);
		result = command->run(&ctl);
		curl_global_cleanup();
	}
	for (i = 0; table[i] != end; i++)
		free(table[i]);
	free(end);
	g_free(table);
	g_hash_table_destroy(ctl.options);
	g_ptr_array_free(ctl.arguments, TRUE);
	g_free(ctl.server);
	return result;
}

int main(int argc, char **argv)
{
	const struct cqctl_command *command;

	if (argc < 2) {
		print_overview(stderr);
		return CQCTL_USAGE;
	}
	if (!strcmp(argv[1], "--help")) {
		print_overview(stdout);
		return CQCTL_OK;
	}
	if (!strcmp(argv[1], "--version")) {
		printf("cqctl %s\n", CQ_VERSION);
		return CQCTL_OK;
	}
	command = find_command(&argc, &argv);
	return command ? run_command(command, argc, argv) : CQCTL_USAGE;
}
