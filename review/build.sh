#!/bin/sh
# Builds the stand-ins and the cases of this review into review/build/. Needs
# the packages of deploy/system.toml only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/build
flags=$(pkg-config --cflags glib-2.0 jansson)
libs=$(pkg-config --libs glib-2.0 jansson)
for folder in review/[1-5]; do
	[ -f "$folder/case.c" ] || continue
	# shellcheck disable=SC2086
	${CC:-cc} -std=gnu11 -g -O1 -Wall -Wextra -D_GNU_SOURCE \
		-Ireview/standin $flags -o "review/build/case-${folder##*/}" \
		"$folder/case.c" review/standin/*.c $libs -lev
done
