#!/bin/sh
# Runs the case; see claim.txt.  TROUBLE=0: without the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
RECORD=$here/record.txt
export RECORD
[ -x target/bin/basilmeshd ] && [ -x "target/review-2/$(basename "$here")" ] || exit 2
exec "target/review-2/$(basename "$here")"
