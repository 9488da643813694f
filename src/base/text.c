#include "chestnutquay/text.h"

#include <glib.h>
#include <stdarg.h>

/* Stands for a byte that is not UTF-8. */
#define REPLACEMENT '?'

void cq_text_set(const char **field, const char *text)
{
	/* The text may be the field's own. */
	const char *previous = *field;

	*field = g_ref_string_new_intern(text ? text : "");
	if (previous)
		g_ref_string_release((char *)previous);
}

void cq_text_printf(const char **field, const char *fmt, ...)
{
	va_list args;
	char *text;

	va_start(args, fmt);
	text = g_strdup_vprintf(fmt, args);
	va_end(args);
	cq_text_set(field, text);
	g_free(text);
}

void cq_text_clear(const char **field)
{
	if (*field)
		g_ref_string_release((char *)*field);
	*field = NULL;
}

void cq_text_make_utf8(char *text)
{
	const char *invalid;

	while (!g_utf8_validate(text, -1, &invalid)) {
		char *at = text + (invalid - text);

		/* -2: the bytes up to the end begin a character. */
		if (g_utf8_get_char_validated(at, -1) == (gunichar)-2)
			*at = '\0';
		else
			*at = REPLACEMENT;
	}
}
