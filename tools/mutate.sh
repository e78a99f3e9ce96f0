#!/bin/bash
# Mutation test: applies each mutation of tests/mutations.txt to a scratch copy
# of the tree, builds it and expects the named test to fail.  Exits with 0 only
# if every mutation was caught.
set -u
cd "$(dirname "$0")/.."
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git ls-files -z | xargs -0 cp --parents -t "$copy"
cmake -S "$copy" -B "$copy/build" >/dev/null || exit 1
cmake --build "$copy/build" -j "$(nproc)" >/dev/null || exit 1

caught=0
missed=0
run_mutation() {
	local original=$copy/original
	cp "$copy/$file" "$original"
	# The text must occur exactly once, so that stale entries are noticed.
	FROM=$from TO=$to perl -0pi -e '
		BEGIN { $n = 0 }
		$n += s/\Q$ENV{FROM}\E/$ENV{TO}/g;
		END { exit($n == 1 ? 0 : 1) }' "$copy/$file" || {
		echo "STALE   $promise: $file does not contain \"$from\" exactly once"
		missed=$((missed + 1))
		cp "$original" "$copy/$file"
		return
	}
	if ! cmake --build "$copy/build" -j "$(nproc)" >"$copy/log" 2>&1; then
		echo "BROKEN  $promise: does not build"
		grep -m1 'error:' "$copy/log"
		missed=$((missed + 1))
	elif (cd "$copy" && BF_BIN=$copy/build/bin timeout 200 \
	    "build/tests/$test" >"$copy/log" 2>&1); then
		echo "MISSED  $promise: $test passes with the mutation of $file"
		missed=$((missed + 1))
	else
		echo "caught  $promise ($file, $test)"
		caught=$((caught + 1))
	fi
	cp "$original" "$copy/$file"
}

while IFS= read -r line; do
	case $line in
	"promise: "*) promise=${line#promise: } ;;
	"file: "*) file=${line#file: } ;;
	"from: "*) from=${line#from: } ;;
	"to: "*) to=${line#to: } ;;
	"test: "*)
		test=${line#test: }
		run_mutation
		;;
	esac
done <tests/mutations.txt
echo "$caught caught, $missed missed"
[ "$missed" -eq 0 ]
