/*
 * Guards against an address that is accepted but not of the form IPv4:PORT,
 * and against a flag value crashing the parser of the command line.
 */
#include <arpa/inet.h>
#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "chestnutquay/config.h"

#define MAX_INPUT_BYTES 256

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void check_address(const char *text)
{
	struct cq_error err = CQ_ERROR_INIT;
	struct in_addr addr;
	char ip[16];
	char again[16];
	char copy[32];
	uint16_t port;
	uint16_t port_again;

	if (!cq_address_parse(text, ip, &port, &err)) {
		assert(err.code == CQ_ERR_INVALID && *err.message);
		return;
	}
	assert(inet_pton(AF_INET, ip, &addr) == 1);
	assert(strspn(text, "0123456789.:") == strlen(text));
	snprintf(copy, sizeof(copy), "%s:%u", ip, port);
	assert(cq_address_parse(copy, again, &port_again, &err));
	assert(!strcmp(ip, again) && port == port_again);
}

static void check_flags(const char *text)
{
	static const struct cq_setting settings[] = {
		{ "number", NULL, CQ_SETTING_INTEGER, "3", 1, 9, "" },
		{ "address", NULL, CQ_SETTING_ADDRESS, "1.2.3.4:5", 0, 0, "" },
		{ "list", NULL, CQ_SETTING_LIST, "", 0, 0, "" },
		{ "text", NULL, CQ_SETTING_STRING, "a", 1, 5, "" },
	};
	struct cq_error err = CQ_ERROR_INIT;
	struct cq_config *config;
	char *arguments[6] = { "fuzz" };
	char flags[4][MAX_INPUT_BYTES + 16];
	int i;

	for (i = 0; i < 4; i++) {
		snprintf(flags[i], sizeof(flags[i]), "--%s=%s",
			 settings[i].name, text);
		arguments[1] = flags[i];
		err.code = CQ_OK;
		config = cq_config_parse("fuzz", "", settings, 4, 2, arguments,
					 &err);
		assert(config || err.code == CQ_ERR_INVALID);
		if (config && i == 0)
			assert(cq_config_integer(config, "number") >= 1 &&
			       cq_config_integer(config, "number") <= 9);
		cq_config_destroy(config);
	}
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	char text[MAX_INPUT_BYTES + 1];

	if (size > MAX_INPUT_BYTES)
		return 0;
	memcpy(text, data, size);
	text[size] = 0;
	check_address(text);
	check_flags(text);
	return 0;
}
