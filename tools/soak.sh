#!/bin/sh
# Runs the soak test of basilmeshd; see tests/soak/soak.c.
#   soak.sh BUILD              the seeds of tests/soak/seeds.txt, one by one
#   soak.sh BUILD FIRST LAST   seeds FIRST to LAST, $JOBS (8) in parallel
# Prints each problem and one line per seed; fails if a seed fails.
set -eu
build=$1
soak=$build/tests/soak
BF_BIN=$build/bin
export BF_BIN soak
if [ $# -eq 1 ]; then
	failed=0
	out=$(mktemp)
	while read -r seed nodes seconds _; do
		case $seed in "#"*|"") continue ;; esac
		"$soak" --seed "$seed" --nodes "$nodes" \
		    --seconds "$seconds" > "$out" 2>&1 || failed=1
		grep -E "^(PROBLEM|soak)" "$out" || failed=1
	done < tests/soak/seeds.txt
	rm -f "$out"
	exit $failed
fi
seq "$2" "$3" | xargs -P "${JOBS:-8}" -I{} sh -c \
    '"$soak" --seed {} > "${TMPDIR:-/tmp}/soak-{}.out" 2>&1; code=$?
     grep -E "^(PROBLEM|soak)" "${TMPDIR:-/tmp}/soak-{}.out"; exit $code'
