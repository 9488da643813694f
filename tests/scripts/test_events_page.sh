# docs/operate/events-and-counters.md against the source.
# Guards against an event or counter that operators cannot look up.
page=docs/operate/events-and-counters.md
missing() {
	sort -u | while read -r name; do
		grep -q "^| \`$name\` |" "$page" || echo "$1 $name is not in $page"
	done
}
find src -name '*.c' | while read -r file; do
	tr '\n' ' ' <"$file" |
		grep -oE 'cq_log_event\([^"]*"[a-z_]+"' |
		grep -oE '[a-z_]+"$' | tr -d '"'
done | missing event
# Names of log4c objects are no counters.
grep -rhoE '"cq_[a-z_]+"' src --include='*.c' | tr -d '"' |
	grep -v -e '^cq_json_line$' -e '^cq_stderr' | missing counter
echo checked
