/*
 * Text from outside: names of queues, workspaces, workers and racks. No
 * interface limits their length, and two names that share a beginning are
 * different ones, so that none may be cut to fit a field.
 *
 * A field of this kind is a pointer to an immutable text, which is shared by
 * all fields that have the same one. It starts as NULL and is changed by these
 * functions only.
 */
#ifndef CHESTNUTQUAY_TEXT_H
#define CHESTNUTQUAY_TEXT_H

#include <stdbool.h>
#include <stddef.h>

/* Sets the field to a copy of the text; NULL gives the empty text. */
void cq_text_set(const char **field, const char *text);
void cq_text_printf(const char **field, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
/* Releases the text; the field is NULL afterwards. */
void cq_text_clear(const char **field);

/*
 * Replaces bytes that are not UTF-8 in place, by question marks. A character
 * that is cut at the end of the buffer is removed. Encoders refuse other text.
 */
void cq_text_make_utf8(char *text);

#endif
