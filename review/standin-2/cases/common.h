/* What the cases share: the configuration and the check of rule LOST. */
#ifndef REVIEW_COMMON_H
#define REVIEW_COMMON_H

#include <stdlib.h>
#include <string.h>

#include "standin.h"

#define FINISH_S 14
#define STAY_MS 3000

/* A route of the service "s"; prefix: the path that selects it. */
#define ROUTE(name, prefix, priority, target_ms, stretch)                    \
	"{\"name\":\"" name "\",\"host\":\"q.example\",\"prefix\":\"" prefix \
	"\",\"kind\":\"non_idempotent\",\"timeoutMs\":3000,"                 \
	"\"targetRuntimeMs\":" target_ms ",\"priority\":" priority           \
	",\"service\":\"s\",\"maxAttempts\":2,\"stretch\":" stretch          \
	",\"allowAnonymous\":false}"

#define TENANT(name, key)                            \
	"{\"name\":\"" name "\",\"apiKeys\":[\"" key \
	"\"],\"priority\":1,\"guaranteed\":{\"gpus\":0}}"

#define CONFIG(version, routes, tenants)                                          \
	"{\"version\":" version ",\"routes\":[" routes                            \
	"],\"services\":[{\"name\":\"s\",\"healthPath\":\"/health\","             \
	"\"maxConns\":64,\"protocol\":\"h1\",\"tls\":false,"                      \
	"\"admissionCheck\":false,\"standby\":false}],\"limits\":{"               \
	"\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"                       \
	"\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[" tenants \
	"]}"

static inline void hosts_up(int count)
{
	int i;

	for (i = 0; i < count; i++)
		host_start(i);
	for (i = 0; i < count; i++)
		host_wait_ready(i, 10000);
}

#endif
