/* Differences between two JSON values, as a list of changed places. */
#ifndef CQ_PROGRAMS_JSON_DIFF_H
#define CQ_PROGRAMS_JSON_DIFF_H

#include <jansson.h>

/*
 * Returns an array of {"path","before","after"}; before or after is absent
 * where the place does not exist. Paths look like "guarantees[1].count" and
 * come in the order of names. Either value may be NULL (does not exist).
 */
json_t *cq_json_diff(const json_t *before, const json_t *after);

#endif
