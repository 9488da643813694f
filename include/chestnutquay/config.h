/*
 * Program settings from flags and environment.
 *
 * A program describes its settings in a table. cq_config_parse() takes each
 * value from the flag, else from the environment variable, else from the
 * default. It checks every value; the error message names the setting, the
 * value and the allowed range.
 */
#ifndef CHESTNUTQUAY_CONFIG_H
#define CHESTNUTQUAY_CONFIG_H

#include <stdbool.h>
#include <stdint.h>

#include "chestnutquay/error.h"

enum cq_setting_kind {
	CQ_SETTING_STRING,
	CQ_SETTING_INTEGER,
	CQ_SETTING_ADDRESS, /* IPv4:PORT, no host names */
	CQ_SETTING_LIST,    /* comma-separated strings; may be empty */
	CQ_SETTING_FLAG,    /* flag without a value; variable: true or false */
};

struct cq_setting {
	const char *name; /* long option without dashes: "peer-address" */
	const char *env;  /* environment variable: "CQ_PEER_ADDRESS"; or NULL */
	enum cq_setting_kind kind;
	const char *default_value; /* NULL if the setting is required */
	/* Range of an integer, or of the length of a string in bytes. */
	int64_t min, max;
	const char *help; /* one line, with the unit */
};

struct cq_config;

/*
 * Parses the command line. Prints and exits 0 for --help and --version.
 * Returns NULL and sets err on a bad value; the program then exits 2.
 */
struct cq_config *cq_config_parse(const char *program, const char *summary,
				  const struct cq_setting *settings,
				  int32_t count, int argc, char **argv,
				  struct cq_error *err);
void cq_config_destroy(struct cq_config *config);

const char *cq_config_string(const struct cq_config *config, const char *name);
int64_t cq_config_integer(const struct cq_config *config, const char *name);
bool cq_config_flag(const struct cq_config *config, const char *name);
/* Returns a NULL-terminated array owned by the config. */
char **cq_config_list(const struct cq_config *config, const char *name);

/* Splits IPv4:PORT; ip must have room for 16 bytes. */
bool cq_address_parse(const char *text, char *ip, uint16_t *port,
		      struct cq_error *err);

/* Exit code of a program that was given invalid settings. */
#define CQ_EXIT_USAGE 2

#endif
