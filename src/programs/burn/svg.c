/* Draws the report: a summary, a card per objective and the missing hosts. */
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "programs/burn/burn.h"

/* Sizes and positions in pixels. */
#define WIDTH 960
#define MARGIN 24
#define HEADER_HEIGHT 136
#define CARD_HEIGHT 148
#define CARD_GAP 14
#define HOST_HEIGHT 26
#define CHART_X 480
#define CHART_WIDTH 340
#define CHART_HEIGHT 84
#define BAR_WIDTH 400

/* Maximum text lengths that fit the layout, even in a wide font. */
#define CLASS_CHARS 30
#define OBJECTIVE_CHARS 56
#define HOST_CHARS 42
#define BANNER_CHARS 88

#define DARK "#22262b"
#define GREY "#5c636d"

static const char *verdict_colour(enum burn_verdict verdict);
static char *make_valid_xml(const char *text);
static char *ellipsize(const char *text, glong max_chars);
static char *format_multiple(double burn);
static void print_text(int x, int y, const char *style, const char *text);
static void print_header(const struct burn_report *report, int height);
static void print_banner(const struct burn_report *report);
static void print_budget(const struct burn_result *result, int x, int y);
static double scale_max(const struct burn_report *report);
static void print_scale(const struct burn_report *report, double top, int x,
			int y);
static void print_curve(const struct burn_result *result, double top, int x,
			int y);
static void print_card(const struct burn_report *report,
		       const struct burn_result *result, double top, int y);
static void print_host(const struct burn_host *host, int y);

static const char *verdict_colour(enum burn_verdict verdict)
{
	static const char *const colours[] = {
		[BURN_GOOD] = "#2e7d5b",      [BURN_SPENT] = "#a3541f",
		[BURN_SLOW] = "#b47710",      [BURN_FAST] = "#c0392b",
		[BURN_NO_EVENTS] = "#7a808a",
	};

	return colours[verdict];
}

/* Returns a copy that XML allows: valid UTF-8 without control characters. */
static char *make_valid_xml(const char *text)
{
	char *valid = g_utf8_make_valid(text, -1);
	char *at;

	for (at = valid; *at; at++)
		if ((unsigned char)*at < ' ' || *at == 0x7f)
			*at = '?';
	return valid;
}

/* Replaces the middle of a longer text by an ellipsis. */
static char *ellipsize(const char *text, glong max_chars)
{
	char *valid = make_valid_xml(text);
	glong len = g_utf8_strlen(valid, -1);
	glong kept = (max_chars - 1) / 2;
	char *head;
	char *fitted;

	if (len <= max_chars)
		return valid;
	head = g_utf8_substring(valid, 0, max_chars - 1 - kept);
	fitted = g_strconcat(head, "\xe2\x80\xa6",
			     g_utf8_offset_to_pointer(valid, len - kept), NULL);
	g_free(head);
	g_free(valid);
	return fitted;
}

static char *format_multiple(double burn)
{
	return g_strdup_printf(burn < 10 ? "%.2f\xc3\x97" : "%.1f\xc3\x97",
			       burn);
}

static void print_text(int x, int y, const char *style, const char *text)
{
	char *escaped = g_markup_escape_text(text, -1);

	printf("<text x=\"%d\" y=\"%d\" %s>%s</text>\n", x, y, style, escaped);
	g_free(escaped);
}

static void print_header(const struct burn_report *report, int height)
{
	GDateTime *end = g_date_time_new_from_unix_utc(report->last_ms / 1000);
	char *when = g_date_time_format(end, "%Y-%m-%d %H:%M:%S UTC");
	char *span = burn_duration((report->last_ms - report->first_ms) / 1000);
	char *line = g_strdup_printf(
		"hosts: %u, observed for %s until %s; 1\xc3\x97 is the rate at "
		"which a budget lasts exactly its window",
		report->hosts->len, span, when);

	printf("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" "
	       "height=\"%d\" viewBox=\"0 0 %d %d\" "
	       "font-family=\"Inter, 'Segoe UI', 'DejaVu Sans', sans-serif\">\n",
	       WIDTH, height, WIDTH, height);
	printf("<rect width=\"%d\" height=\"%d\" fill=\"#f4f2ee\"/>\n", WIDTH,
	       height);
	print_text(MARGIN, 42,
		   "font-size=\"24\" font-weight=\"600\" fill=\"" DARK "\"",
		   "Service-level burn");
	print_text(MARGIN, 66, "font-size=\"13\" fill=\"" GREY "\"", line);
	print_banner(report);
	g_free(line);
	g_free(span);
	g_free(when);
	g_date_time_unref(end);
}

/* Prints the worst objective and the number of missing hosts. */
static void print_banner(const struct burn_report *report)
{
	const struct burn_result *worst =
		&g_array_index(report->results, struct burn_result, 0);
	const char *colour = verdict_colour(worst->verdict);
	uint32_t missing = 0;
	char *burn;
	char *worst_text;
	char *text;
	char *fitted;
	guint i;

	for (i = 0; i < report->hosts->len; i++)
		missing += g_array_index(report->hosts, struct burn_host, i)
				   .missing_s > 0;
	burn = format_multiple(worst->fast[1].burn);
	worst_text =
		worst->fast[1].burn < 0
			? g_strdup("No events")
			: g_strdup_printf("%s: %s, %s, %s %s",
					  worst->verdict == BURN_GOOD
						  ? "All good, highest"
						  : "Worst",
					  worst->objective.class_name,
					  worst->objective.name, burn,
					  burn_verdict_string(worst->verdict));
	text = missing ? g_strdup_printf("%s. Hosts missing: %u of %u",
					 worst_text, missing,
					 report->hosts->len)
		       : g_strdup(worst_text);
	fitted = ellipsize(text, BANNER_CHARS);
	printf("<rect x=\"%d\" y=\"82\" width=\"%d\" height=\"38\" rx=\"8\" "
	       "fill=\"%s\"/>\n",
	       MARGIN, WIDTH - 2 * MARGIN, colour);
	print_text(MARGIN + 16, 107,
		   "font-size=\"16\" font-weight=\"600\" fill=\"#ffffff\"",
		   fitted);
	g_free(fitted);
	g_free(text);
	g_free(worst_text);
	g_free(burn);
}

/* Prints a bar whose coloured part is the remaining error budget. */
static void print_budget(const struct burn_result *result, int x, int y)
{
	double left = fmax(fmin(result->remaining, 1), 0);
	char *window = burn_duration(result->objective.window_s);
	char *used = format_multiple(1 - result->remaining);
	char *text;

	if (result->budget_window.burn < 0)
		text = g_strdup_printf("budget of %s: no events", window);
	else if (result->remaining < 0)
		text = g_strdup_printf("budget of %s overspent: %s used so far",
				       window, used);
	else
		text = g_strdup_printf("%.1f %% of the budget of %s left",
				       result->remaining * 100, window);
	printf("<rect x=\"%d\" y=\"%d\" width=\"%d\" height=\"8\" rx=\"4\" "
	       "fill=\"#e3e0da\"/>\n",
	       x, y, BAR_WIDTH);
	if (result->budget_window.burn >= 0 && left > 0)
		printf("<rect x=\"%d\" y=\"%d\" width=\"%.1f\" height=\"8\" "
		       "rx=\"4\" fill=\"%s\"/>\n",
		       x, y, BAR_WIDTH * left, verdict_colour(result->verdict));
	print_text(x, y + 25, "font-size=\"12\" fill=\"" GREY "\"", text);
	g_free(text);
	g_free(used);
	g_free(window);
}

/* Returns the top of the scale, shared by all cards to compare their curves. */
static double scale_max(const struct burn_report *report)
{
	double top = report->options.fast_limit * 2;
	guint i;
	int k;

	for (i = 0; i < report->results->len; i++)
		for (k = 0; k < BURN_CURVE_POINTS; k++)
			top = fmax(top, g_array_index(report->results,
						      struct burn_result, i)
						.curve[k]);
	return top;
}

/*
 * Maps a burn rate to a y coordinate. The scale is logarithmic, so that both 1
 * (the budget lasts exactly its window) and the fast limit are readable.
 */
static int scale_y(double burn, double top, int y)
{
	return (int)lrint(y + CHART_HEIGHT -
			  CHART_HEIGHT * log1p(fmax(burn, 0)) / log1p(top));
}

static void print_scale(const struct burn_report *report, double top, int x,
			int y)
{
	const double fast = report->options.fast_limit;
	const double lines[] = { 0, 1, fast, top };
	char *span = burn_duration((report->last_ms - report->first_ms) / 1000);
	char *start = g_strdup_printf("%s ago", span);
	int last = WIDTH * 10;
	size_t k;

	for (k = 0; k < G_N_ELEMENTS(lines); k++) {
		int at = scale_y(lines[k], top, y);
		char *label =
			g_strdup_printf("%.3g\xc3\x97%s", lines[k],
					lines[k] == fast ? " fast limit" : "");

		/* Skips a line whose label would overlap the previous label. */
		if (last - at >= 12) {
			printf("<line x1=\"%d\" y1=\"%d\" x2=\"%d\" "
			       "y2=\"%d\" stroke=\"%s\"%s/>\n",
			       x, at, x + CHART_WIDTH, at,
			       lines[k] == fast ? "#c0392b" : "#c9c4ba",
			       k ? " stroke-dasharray=\"3 4\"" : "");
			print_text(x + CHART_WIDTH + 6, at + 4,
				   "font-size=\"11\" fill=\"" GREY "\"", label);
			last = at;
		}
		g_free(label);
	}
	print_text(x, y + CHART_HEIGHT + 16,
		   "font-size=\"11\" fill=\"" GREY "\"", start);
	print_text(x + CHART_WIDTH, y + CHART_HEIGHT + 16,
		   "font-size=\"11\" text-anchor=\"end\" fill=\"" GREY "\"",
		   "now");
	g_free(start);
	g_free(span);
}

static void print_curve(const struct burn_result *result, double top, int x,
			int y)
{
	bool open = false;
	bool any = false;
	int i;

	printf("<path fill=\"none\" stroke=\"%s\" stroke-width=\"2\" "
	       "stroke-linejoin=\"round\" stroke-linecap=\"round\" d=\"",
	       verdict_colour(result->verdict));
	for (i = 0; i < BURN_CURVE_POINTS; i++) {
		double burn = result->curve[i];

		/* Points without events leave a gap in the curve. */
		if (burn >= 0)
			printf("%c%.1f %d ", open ? 'L' : 'M',
			       x + CHART_WIDTH * (double)i /
					       (BURN_CURVE_POINTS - 1),
			       scale_y(burn, top, y));
		open = burn >= 0;
		any = any || open;
	}
	puts("\"/>");
	if (!any)
		print_text(
			x + CHART_WIDTH / 2, y + CHART_HEIGHT / 2 + 4,
			"font-size=\"13\" text-anchor=\"middle\" fill=\"" GREY
			"\"",
			"no events");
}

static void print_card(const struct burn_report *report,
		       const struct burn_result *result, double top, int y)
{
	const struct burn_objective *objective = &result->objective;
	const struct burn_rate *rate = &result->fast[1];
	const char *colour = verdict_colour(result->verdict);
	const char *verdict = burn_verdict_string(result->verdict);
	char *title = ellipsize(objective->class_name, CLASS_CHARS);
	char *window = burn_duration(report->options.fast_s[1]);
	char *burn = rate->burn < 0 ? g_strdup("-")
				    : format_multiple(rate->burn);
	char *window_text = g_strdup_printf("burn over the last %s", window);
	char *style = g_strdup_printf(
		"font-size=\"22\" font-weight=\"600\" fill=\"%s\"", colour);
	char *name = ellipsize(objective->name, OBJECTIVE_CHARS);
	char *host;
	int badge_width = 24 + 8 * (int)strlen(verdict);

	if (result->worst_host) {
		char *short_host = ellipsize(result->worst_host, HOST_CHARS);
		char *worst = format_multiple(result->worst_burn);

		host = g_strdup_printf("worst host %s, %s", short_host, worst);
		g_free(worst);
		g_free(short_host);
	} else {
		host = g_strdup("no host burns");
	}
	printf("<rect x=\"%d\" y=\"%d\" width=\"%d\" height=\"%d\" rx=\"10\" "
	       "fill=\"#ffffff\" stroke=\"#e3e0da\"/>\n",
	       MARGIN, y, WIDTH - 2 * MARGIN, CARD_HEIGHT);
	printf("<rect x=\"%d\" y=\"%d\" width=\"6\" height=\"%d\" rx=\"3\" "
	       "fill=\"%s\"/>\n",
	       MARGIN, y, CARD_HEIGHT, colour);
	print_text(MARGIN + 24, y + 28,
		   "font-size=\"16\" font-weight=\"600\" fill=\"" DARK "\"",
		   title);
	print_text(MARGIN + 24, y + 46, "font-size=\"12\" fill=\"" GREY "\"",
		   name);
	printf("<rect x=\"%d\" y=\"%d\" width=\"%d\" height=\"22\" rx=\"11\" "
	       "fill=\"%s\"/>\n",
	       MARGIN + 24 + BAR_WIDTH - badge_width, y + 12, badge_width,
	       colour);
	print_text(MARGIN + 24 + BAR_WIDTH - badge_width / 2, y + 27,
		   "font-size=\"12\" font-weight=\"600\" fill=\"#ffffff\" "
		   "text-anchor=\"middle\"",
		   verdict);
	print_text(MARGIN + 24, y + 76, style, burn);
	print_text(MARGIN + 134, y + 76, "font-size=\"12\" fill=\"" GREY "\"",
		   window_text);
	print_budget(result, MARGIN + 24, y + 88);
	print_text(MARGIN + 24, y + 133, "font-size=\"12\" fill=\"" GREY "\"",
		   host);
	print_scale(report, top, CHART_X, y + 28);
	print_curve(result, top, CHART_X, y + 28);
	g_free(host);
	g_free(name);
	g_free(style);
	g_free(window_text);
	g_free(burn);
	g_free(window);
	g_free(title);
}

static void print_host(const struct burn_host *host, int y)
{
	char *missing = burn_duration(host->missing_s);
	char *name = ellipsize(host->host, HOST_CHARS);
	char *text = g_strdup_printf(
		"nothing known for %s, %u restart%s; not in "
		"the figures for that time",
		missing, host->restarts, host->restarts == 1 ? "" : "s");

	printf("<circle cx=\"%d\" cy=\"%d\" r=\"5\" fill=\"#c0392b\"/>\n",
	       MARGIN + 8, y - 4);
	print_text(MARGIN + 24, y, "font-size=\"13\" fill=\"" DARK "\"", name);
	print_text(MARGIN + 400, y, "font-size=\"13\" fill=\"" GREY "\"", text);
	g_free(text);
	g_free(name);
	g_free(missing);
}

void burn_print_svg(const struct burn_report *report)
{
	double top = scale_max(report);
	int y = HEADER_HEIGHT;
	int height = HEADER_HEIGHT + MARGIN;
	guint i;

	height += (int)report->results->len * (CARD_HEIGHT + CARD_GAP);
	for (i = 0; i < report->hosts->len; i++)
		if (g_array_index(report->hosts, struct burn_host, i).missing_s)
			height += HOST_HEIGHT;
	print_header(report, height);
	for (i = 0; i < report->results->len; i++) {
		print_card(report,
			   &g_array_index(report->results, struct burn_result,
					  i),
			   top, y);
		y += CARD_HEIGHT + CARD_GAP;
	}
	for (i = 0; i < report->hosts->len; i++) {
		const struct burn_host *host =
			&g_array_index(report->hosts, struct burn_host, i);

		if (!host->missing_s)
			continue;
		print_host(host, y + 14);
		y += HOST_HEIGHT;
	}
	puts("</svg>");
}
