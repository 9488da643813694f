# Compares docs/operate/events-and-counters.md with the source code.
# Guards against events and counters that are not documented for operators.
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
# Names of log4c objects look like counters but are not.
grep -rhoE '"cq_[a-z_]+"' src --include='*.c' | tr -d '"' |
	grep -v -e '^cq_json_line$' -e '^cq_stderr' | missing counter
echo checked
