#!/bin/sh
# usage: lint.sh [--fix] [BUILD]
# Runs the formatter on all C and C++ files, and the linter on the C sources
# that BUILD compiles.  Fails on any difference or finding.  With --fix it only
# reformats the files.
set -eu

fix=
if [ "${1:-}" = --fix ]; then
	fix=1
	shift
fi
build=${1:-build}

files=$(git ls-files -co --exclude-standard '*.c' '*.h' '*.cc')
if [ -n "$fix" ]; then
	# shellcheck disable=SC2086
	clang-format -i $files
	exit 0
fi
# shellcheck disable=SC2086
clang-format --dry-run -Werror $files
# The default build does not compile fuzz targets, which need flags of clang.
sources=$(printf '%s\n' $files | grep -E '\.c$' | grep -v '^fuzz/')
[ -n "$sources" ] || exit 0
printf '%s\n' $sources | xargs -P "$(nproc)" -n 4 clang-tidy -p "$build" --quiet
