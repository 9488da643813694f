#!/bin/sh
# Generates Markdown tables of the programs' settings from their --help output.
#
#   scripts/settings-reference.sh BIN-DIR PROGRAM   prints the rows of a program
#   scripts/settings-reference.sh --update BIN-DIR  updates docs/operate/install.md
#
# PROGRAM "common" selects the settings that both daemons share. They are left
# out of the tables of each daemon.
set -eu
page=docs/operate/install.md

print_rows() {
	"$1" --help | awk '
		/^Environment/ { env = 1; next }
		/^  --/ && !env {
			name = $1
			sub(/=.*/, "", name)
			help[name] = $0
			sub(/^  [^ ]+ +/, "", help[name])
			order[++n] = name
		}
		/^  CQ_/ && env {
			variable[$2] = $1
			value = $0
			sub(/^  [^ ]+ +[^ ]+ /, "", value)
			gsub(/[()]/, "", value)
			gsub(/"/, "`", value)
			sub(/default ``/, "empty", value)
			sub(/default /, "", value)
			sub(/ ([0-9]+ to [0-9]+)$/, ", &", value)
			sub(/,  /, ", ", value)
			text[$2] = value
		}
		END {
			for (i = 1; i <= n; i++) {
				name = order[i]
				if (name == "--help" || name == "--version")
					continue
				v = name in variable ? "`" variable[name] "`" : "-"
				printf "| `%s` | %s | %s | %s |\n", name, v, text[name], help[name]
			}
		}'
}

common_names=$(print_rows "${2:-$1}/cq-fake-daemon" 2>/dev/null |
	grep -v -e '--partial' -e '--schedd' | cut -d '`' -f 2 || true)

print_section() {
	bin=$1
	case $2 in
	common)
		print_rows "$bin/cq-fake-daemon" | grep -v -e '--partial' -e '--schedd'
		;;
	cq-entryd | cq-schedd)
		print_rows "$bin/$2" | while IFS= read -r row; do
			name=$(echo "$row" | cut -d '`' -f 2)
			echo "$common_names" | grep -qx -e "$name" || echo "$row"
		done
		;;
	*)
		print_rows "$bin/$2"
		;;
	esac
}

if [ "$1" = --update ]; then
	new=$(mktemp)
	trap 'rm -f "$new" "$new.rows" "$new.2"' EXIT
	cp "$page" "$new"
	for program in common cq-entryd cq-schedd cq-burn; do
		[ "$program" = common ] || [ -x "$2/$program" ] || continue
		print_section "$2" "$program" >"$new.rows"
		awk -v rows="$new.rows" -v program="$program" '
			$0 == "<!-- settings of " program " -->" {
				print
				print "| Flag | Variable | Default and range | Meaning |"
				print "|---|---|---|---|"
				while ((getline line < rows) > 0)
					print line
				skip = 1
				next
			}
			/^<!-- end -->/ { skip = 0 }
			!skip { print }' "$new" >"$new.2"
		mv "$new.2" "$new"
	done
	cat "$new" >"$page"
else
	common_names=$(print_rows "$1/cq-fake-daemon" |
		grep -v -e '--partial' -e '--schedd' | cut -d '`' -f 2)
	print_section "$1" "$2"
fi
