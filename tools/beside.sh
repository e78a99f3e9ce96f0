#!/bin/bash
# Runs programs of two builds together, as during a rolling upgrade.
#   beside.sh OLD_BUILD NEW_BUILD [FIRST LAST]
# First runs the soak test with basilmeshd of both, for the seeds FIRST to LAST
# (default 1 to 4), then the demo with basilnoded of both: once with basilctl of
# the old build, once with that of the new.  Both builds need the same options.
# Exits with 0 only if all runs passed.
set -u
cd "$(dirname "$0")/.."
[ $# -eq 2 ] || [ $# -eq 4 ] || { sed -n '2,7p' "$0" >&2; exit 2; }
old=$(realpath "$1")/bin
new=$(realpath "$2")/bin
soak=$(realpath "$2")/tests/soak
first=${3:-1}
last=${4:-4}
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
failed=0

# write_wrapper PROGRAM PATH: writes a script PATH that starts PROGRAM of the old
# build if the last number in the path of the settings file is odd, and of the
# new build otherwise.
write_wrapper() {
	cat >"$2" <<END
#!/bin/bash
settings=\${!#}
number=\$(printf '%s' "\$settings" | grep -oE '[0-9]+' | tail -1)
if [ \$((number % 2)) -eq 1 ]; then
	exec "$old/$1" "\$@"
fi
exec "$new/$1" "\$@"
END
	chmod +x "$2"
}

mkdir "$dir/bin"
write_wrapper basilmeshd "$dir/bin/basilmeshd"
for seed in $(seq "$first" "$last"); do
	"$soak" --seed "$seed" --program "$dir/bin/basilmeshd" \
	    >"$dir/out" 2>&1 || failed=1
	grep -E '^(PROBLEM|soak)' "$dir/out" || failed=1
done

for ctl in "$old" "$new"; do
	for program in "$new"/*; do
		ln -sf "$program" "$dir/bin/"
	done
	ln -sf "$ctl/basilctl" "$dir/bin/basilctl"
	rm "$dir/bin/basilnoded"
	write_wrapper basilnoded "$dir/bin/basilnoded"
	echo "demo with basilctl of $ctl"
	tools/demo.sh "$(realpath --relative-to=. "$dir")" >"$dir/out" 2>&1 ||
	    failed=1
	grep -A9 -E '^(move|demo|configuration)' "$dir/out" | tail -25
done
exit $failed
