/* Differences between two JSON values, as a list of changed paths. */
#ifndef CQ_PROGRAMS_JSON_DIFF_H
#define CQ_PROGRAMS_JSON_DIFF_H

#include <jansson.h>

/*
 * Returns an array of {"path","before","after"}, sorted by name; before or
 * after is absent if the path does not exist there. A path looks like
 * "guarantees[1].count". Either value may be NULL if it does not exist.
 */
json_t *cq_json_diff(const json_t *before, const json_t *after);

#endif
