# Checks the Markdown pages of the repository.
# Guards against broken links and names of files that do not exist.
git ls-files '*.md' | while read -r page; do
	dir=$(dirname "$page")
	grep -oE '\]\([^)#]+' "$page" | sed 's/^](//' |
		grep -v '^[a-z]*:' | while read -r target; do
		[ -e "$dir/$target" ] || echo "$page: no $target"
	done
done
# Checks names of files and directories in the pages, such as `src/...`.
grep -ohE '`(src|include|tests|docs|bench|scripts)/[A-Za-z0-9_./-]+`' \
	README.md CONTRIBUTING.md docs/architecture.md docs/CAPACITY.md \
	docs/operate/*.md | tr -d '`' | sort -u | while read -r name; do
	case $name in *NAME*) continue ;; esac
	[ -e "$name" ] || echo "no $name"
done
echo checked
