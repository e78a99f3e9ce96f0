#!/bin/sh
# The stand-ins are Python 3 programs that use its standard library only, so
# nothing is compiled.  Checks that they and the project's program are usable.
set -eu
cd "$(dirname "$0")"
python3 - <<'END'
import ast, glob
for path in sorted(glob.glob("*/*.py")):
    with open(path) as file:
        ast.parse(file.read(), path)
END
test -x ../target/bin/basilmeshd || {
	echo "build the program with the command of deploy/system.toml first" >&2
	exit 1
}
