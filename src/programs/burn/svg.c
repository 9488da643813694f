/* One picture: a card for each objective and a strip of hosts below. */
#include <math.h>
#include <stdio.h>

#include "programs/burn/burn.h"

#define WIDTH 960
#define MARGIN 24
#define HEADER 92
#define CARD_HEIGHT 132
#define CARD_GAP 16
#define HOST_HEIGHT 26
#define CHART_X 440
#define CHART_WIDTH 470
#define CHART_HEIGHT 74

static const char *colour_of(enum burn_verdict verdict);
static void print_escaped(const char *text);
static void print_text(int x, int y, const char *style, const char *text);
static void print_header(const struct burn_report *report, int height);
static void print_budget(const struct burn_result *result, int x, int y);
static void print_chart(const struct burn_result *result,
			const struct burn_options *options, int x, int y);
static void print_card(const struct burn_result *result,
		       const struct burn_options *options, int y);
static void print_host(const struct burn_host *host, int y);

static const char *colour_of(enum burn_verdict verdict)
{
	static const char *const colours[] = {
		[BURN_GOOD] = "#2e7d5b",   [BURN_SPENT] = "#a3541f",
		[BURN_SLOW] = "#c98a1b",   [BURN_FAST] = "#c0392b",
		[BURN_SILENT] = "#8a8f98",
	};

	return colours[verdict];
}

static void print_escaped(const char *text)
{
	char *escaped = g_markup_escape_text(text, -1);

	fputs(escaped, stdout);
	g_free(escaped);
}

static void print_text(int x, int y, const char *style, const char *text)
{
	printf("<text x=\"%d\" y=\"%d\" %s>", x, y, style);
	print_escaped(text);
	puts("</text>");
}

static void print_header(const struct burn_report *report, int height)
{
	GDateTime *end = g_date_time_new_from_unix_utc(report->last_ms / 1000);
	char *when = g_date_time_format(end, "%Y-%m-%d %H:%M:%S UTC");
	char *span = burn_duration((report->last_ms - report->first_ms) / 1000);
	char *line = g_strdup_printf("hosts: %u, observed for %s until %s",
				     report->hosts->len, span, when);

	printf("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" "
	       "height=\"%d\" viewBox=\"0 0 %d %d\" "
	       "font-family=\"Inter, 'Segoe UI', 'DejaVu Sans', sans-serif\">\n",
	       WIDTH, height, WIDTH, height);
	printf("<rect width=\"%d\" height=\"%d\" fill=\"#f4f2ee\"/>\n", WIDTH,
	       height);
	print_text(MARGIN, 44,
		   "font-size=\"24\" font-weight=\"600\" fill=\"#22262b\"",
		   "Service-level burn");
	print_text(MARGIN, 68, "font-size=\"13\" fill=\"#5c636d\"", line);
	g_free(line);
	g_free(span);
	g_free(when);
	g_date_time_unref(end);
}

/* A bar of the budget; the part used up is drawn in the verdict's colour. */
static void print_budget(const struct burn_result *result, int x, int y)
{
	double left = fmax(fmin(result->remaining, 1), 0);
	char *window = burn_duration(result->objective.window_s);
	char *text = g_strdup_printf("%.1f %% of the budget of %s left",
				     result->remaining * 100, window);

	printf("<rect x=\"%d\" y=\"%d\" width=\"360\" height=\"8\" rx=\"4\" "
	       "fill=\"#e3e0da\"/>\n",
	       x, y);
	printf("<rect x=\"%d\" y=\"%d\" width=\"%.1f\" height=\"8\" rx=\"4\" "
	       "fill=\"%s\"/>\n",
	       x, y, 360 * left, colour_of(result->verdict));
	print_text(x, y + 26, "font-size=\"12\" fill=\"#5c636d\"", text);
	g_free(text);
	g_free(window);
}

/*
 * Burn over time, on a logarithmic scale so that 1 (the budget lasts exactly)
 * and the limit of the fast pair are both readable.
 */
static void print_chart(const struct burn_result *result,
			const struct burn_options *options, int x, int y)
{
	double top = log1p(options->fast_limit * 2);
	const double lines[] = { 1, options->fast_limit };
	bool open = false;
	size_t k;
	int i;

	for (k = 0; k < G_N_ELEMENTS(lines); k++) {
		double at =
			y + CHART_HEIGHT - CHART_HEIGHT * log1p(lines[k]) / top;

		printf("<line x1=\"%d\" y1=\"%.1f\" x2=\"%d\" y2=\"%.1f\" "
		       "stroke=\"#d3cfc7\" stroke-dasharray=\"3 4\"/>\n",
		       x, at, x + CHART_WIDTH - 34, at);
		printf("<text x=\"%d\" y=\"%.1f\" font-size=\"11\" "
		       "fill=\"#8a8f98\">%.3g</text>\n",
		       x + CHART_WIDTH - 28, at + 4, lines[k]);
	}
	printf("<path fill=\"none\" stroke=\"%s\" stroke-width=\"2\" "
	       "stroke-linejoin=\"round\" d=\"",
	       colour_of(result->verdict));
	for (i = 0; i < BURN_POINTS; i++) {
		double burn = result->points[i];
		double at = y + CHART_HEIGHT -
			    CHART_HEIGHT * fmin(log1p(fmax(burn, 0)) / top, 1);

		/* A time without events leaves a gap. */
		if (burn >= 0)
			printf("%c%.1f %.1f ", open ? 'L' : 'M',
			       x + (CHART_WIDTH - 40.0) * i / (BURN_POINTS - 1),
			       at);
		open = burn >= 0;
	}
	puts("\"/>");
}

static void print_card(const struct burn_result *result,
		       const struct burn_options *options, int y)
{
	const struct burn_objective *objective = &result->objective;
	const char *colour = colour_of(result->verdict);
	char *title = g_strdup_printf("%s \xc2\xb7 %s", objective->name,
				      objective->class_name);
	char *burn =
		result->fast[1].burn < 0
			? g_strdup("no events")
			: g_strdup_printf("burn %.2f", result->fast[1].burn);
	char *style = g_strdup_printf(
		"font-size=\"20\" font-weight=\"600\" fill=\"%s\"", colour);
	char *host = result->worst_host
			     ? g_strdup_printf("worst host %s, burn %.2f",
					       result->worst_host,
					       result->worst_burn)
			     : g_strdup("no host burns");

	printf("<rect x=\"%d\" y=\"%d\" width=\"%d\" height=\"%d\" rx=\"10\" "
	       "fill=\"#ffffff\" stroke=\"#e3e0da\"/>\n",
	       MARGIN, y, WIDTH - 2 * MARGIN, CARD_HEIGHT);
	printf("<rect x=\"%d\" y=\"%d\" width=\"6\" height=\"%d\" rx=\"3\" "
	       "fill=\"%s\"/>\n",
	       MARGIN, y, CARD_HEIGHT, colour);
	print_text(MARGIN + 24, y + 30,
		   "font-size=\"15\" font-weight=\"600\" fill=\"#22262b\"",
		   title);
	print_text(MARGIN + 24, y + 58, style, burn);
	print_text(MARGIN + 190, y + 58, "font-size=\"12\" fill=\"#5c636d\"",
		   burn_verdict_string(result->verdict));
	print_budget(result, MARGIN + 24, y + 72);
	print_text(MARGIN + 24, y + 117, "font-size=\"12\" fill=\"#5c636d\"",
		   host);
	print_chart(result, options, CHART_X, y + 30);
	g_free(host);
	g_free(style);
	g_free(burn);
	g_free(title);
}

static void print_host(const struct burn_host *host, int y)
{
	char *missing = burn_duration(host->missing_s);
	char *text = g_strdup_printf(
		"nothing known for %s, %u restart%s; its events there are not "
		"in the figures",
		missing, host->restarts, host->restarts == 1 ? "" : "s");

	printf("<circle cx=\"%d\" cy=\"%d\" r=\"5\" fill=\"#c0392b\"/>\n",
	       MARGIN + 8, y - 4);
	print_text(MARGIN + 24, y, "font-size=\"13\" fill=\"#22262b\"",
		   host->host);
	print_text(MARGIN + 190, y, "font-size=\"13\" fill=\"#5c636d\"", text);
	g_free(text);
	g_free(missing);
}

void burn_print_svg(const struct burn_report *report)
{
	int y = HEADER;
	int height = HEADER + MARGIN;
	guint i;

	height += (int)report->results->len * (CARD_HEIGHT + CARD_GAP);
	for (i = 0; i < report->hosts->len; i++)
		if (g_array_index(report->hosts, struct burn_host, i).missing_s)
			height += HOST_HEIGHT;
	print_header(report, height);
	for (i = 0; i < report->results->len; i++) {
		print_card(&g_array_index(report->results, struct burn_result,
					  i),
			   &report->options, y);
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
