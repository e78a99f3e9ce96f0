#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/9 start, into
# target/review-2/, from review/lib-2/ and the project's own.  Needs the
# packages of deploy/system.toml only.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
packages="apr-1 glib-2.0 jansson libsodium libxxhash"
for number in 6 7 8 9; do
	# shellcheck disable=SC2046,SC2086
	cc -std=gnu11 -O1 -g -Wall -Wextra -D_GNU_SOURCE -I. \
	    $(pkg-config --cflags $packages) -o "$out/$number" \
	    "review/$number/soak/case.c" review/lib-2/soak/rig.c \
	    tests/soak/store.c tests/soak/proxy.c http/message.c \
	    http/server.c http/client.c net/loop.c net/tcp.c memory/budget.c \
	    base/address.c base/bytes.c base/error.c base/clock.c \
	    $(pkg-config --libs $packages) -lhttp_parser -lm
done
