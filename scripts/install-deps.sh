#!/bin/sh
# Installs the Debian packages that the build and the tests need; with --lint,
# also those of make lint and the fuzzers. Does nothing if all are installed.
set -eu
packages="build-essential pkg-config libev-dev libprotobuf-c-dev
libmicrohttpd-dev libcurl4-openssl-dev libargtable2-dev liblog4c-dev
libglib2.0-dev libjansson-dev librapidcheck-dev curl jq"
if [ "${1:-}" = "--lint" ]; then
	packages="$packages clang clang-format clang-tidy cppcheck libclang-rt-14-dev"
fi
missing=
for package in $packages; do
	dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
		grep -q 'ok installed' || missing="$missing $package"
done
[ -n "$missing" ] || exit 0
export DEBIAN_FRONTEND=noninteractive
apt-get update
# shellcheck disable=SC2086
apt-get install -y --no-install-recommends $missing
