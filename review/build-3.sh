#!/bin/sh
# Builds the programs of the cases of this review into target/review-3/.
set -eu
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags=$(pkg-config --cflags --libs jansson libsodium)
for source in review/1[1-5]/case.c; do
	[ -f "$source" ] || continue
	number=$(basename "$(dirname "$source")")
	# shellcheck disable=SC2086
	cc -std=gnu11 -O1 -g -Wall -Wextra -D_GNU_SOURCE -Ireview/lib-3 \
	    -o "$out/case-$number" "$source" review/lib-3/lab.c \
	    review/lib-3/answers.c $flags -lpthread
done
