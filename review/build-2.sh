#!/bin/sh
# Builds the stand-ins and the cases of the second review, to target/review-2.
# Needs the compiler and libjansson-dev, as the deploy file does.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/standin-2/cases/*.c; do
	${CC:-cc} -std=gnu11 -D_GNU_SOURCE -g -O1 -Wall -Wextra \
		-Wno-format-truncation -Wno-restrict -Ireview/standin-2 \
		-Ireview/standin-2/cases \
		-o "target/review-2/$(basename "$case" .c)" "$case" \
		review/standin-2/*.c -ljansson -lpthread
done
