# Runs the program of a case; sourced by its run.sh, in the case's folder.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
number=$(basename "$here")
program=$root/target/review-3/case-$number
LAB_PROGRAM=$root/target/bin/basilmeshd
[ -x "$program" ] && [ -x "$LAB_PROGRAM" ] || {
	echo "build first: the command of deploy/system.toml and review/build-3.sh"
	exit 2
}
LAB_FOLDER=$(mktemp -d)
export LAB_PROGRAM LAB_FOLDER
trap 'rm -rf "$LAB_FOLDER"' EXIT
code=0
timeout 115 "$program" "$here/record.txt" || code=$?
[ -z "${LAB_KEEP:-}" ] || cp "$LAB_FOLDER"/*.log "$LAB_KEEP"
case $code in 0|1) ;; *) code=2 ;; esac
exit $code
