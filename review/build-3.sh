#!/usr/bin/env bash
# Builds the stand-in of the scripts of the third review, target/bin/cq-case-3,
# after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
pkgs="glib-2.0 jansson libcurl libmicrohttpd"
# shellcheck disable=SC2046
cc -std=gnu11 -g -O2 -Wall -Wextra -D_GNU_SOURCE -Iinclude -Isrc -I. \
	$(pkg-config --cflags $pkgs) -o target/bin/cq-case-3 \
	review/standin-3/*.c target/libchestnutquay.a \
	$(pkg-config --libs $pkgs) -lev -lm
