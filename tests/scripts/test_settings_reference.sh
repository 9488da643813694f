# Compares docs/operate/install.md with the --help output of the programs.
# Guards against a setting that is renamed or added, or whose default changes,
# without a change of the page.
bin=${CQ_BUILD:-build}/bin
page=docs/operate/install.md
for program in common $(ls src/programs | sed -n -e 's/^entryd$/cq-entryd/p' \
	-e 's/^schedd$/cq-schedd/p' -e 's/^burn$/cq-burn/p'); do
	written=$(sed -n "/^<!-- settings of $program -->/,/^<!-- end -->/p" \
		"$page" | sed -e 1,3d -e '$d')
	actual=$(scripts/settings-reference.sh "$bin" "$program")
	if [ -z "$actual" ] || [ "$written" != "$actual" ]; then
		echo "$page differs from $program --help; update it with"
		echo "scripts/settings-reference.sh --update $bin"
		exit 1
	fi
done
# Checks that every command of cqctl has a help text that describes every flag.
"$bin/cqctl" --help | sed -n '/^Commands:/,/^$/p' | sed -n 's/^  \(.*\)/\1/p' |
	cut -c 1-20 | while read -r words; do
	# shellcheck disable=SC2086
	"$bin/cqctl" $words --help |
		awk -v words="$words" '/^  --/ && NF < 2 {
			print words ": " $1 " has no description" }' ||
		echo "$words: no help"
done
echo checked
