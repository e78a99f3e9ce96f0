#!/bin/sh
# usage: fuzz.sh BUILD SECONDS
# Runs every fuzz target of the build folder BUILD for SECONDS, starting from
# its committed corpus.  Findings and new inputs are kept in BUILD.
set -eu

build=$1
seconds=$2
for target in "$build"/fuzz/fuzz_*; do
	[ -f "$target" ] && [ -x "$target" ] || continue
	name=$(basename "$target")
	corpus=$build/corpus/$name
	mkdir -p "$corpus"
	"$target" -max_total_time="$seconds" -print_final_stats=1 \
	    -artifact_prefix="$build/" "$corpus" "fuzz/corpus/$name" \
	    2>"$build/$name.log" || { tail -40 "$build/$name.log"; exit 1; }
	runs=$(sed -n 's/^stat::number_of_executed_units: *//p' \
	    "$build/$name.log")
	echo "$name: $runs inputs, no finding"
done
