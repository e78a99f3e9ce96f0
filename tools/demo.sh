#!/bin/bash
# Demonstration on one machine: starts nodes and targets in three availability
# zones over the stand-ins, applies an example folder, then moves one service to
# a working version, which completes, and one to a failing version, which is
# rolled back.  Exits with 0 only if both outcomes were reported.
set -u
cd "$(dirname "$0")/.."
BIN=$PWD/${1:-build}/bin
DIR=$(mktemp -d)
. tools/mesh.sh
trap 'mesh_stop; rm -rf "$DIR"' EXIT

zones="lika-a lika-b lika-c"
nodes_per_zone=6
move_s=40         # time until complete_by of both moves
outcomes_max_s=75 # longest wait for both outcomes

heading() {
	echo
	echo "== $*"
}

# Six instances per zone: permits and trailcheck, old and new version of each.
# Version v2 of trailcheck fails 30 % of its calls.
start_targets() {
	local z=1 zone
	for zone in $zones; do
		mesh_target $z "$zone" 1 permits v1 13 --work-ms 2
		mesh_target $z "$zone" 2 permits v1 13 --work-ms 2
		mesh_target $z "$zone" 3 permits v2 13 --work-ms 2
		mesh_target $z "$zone" 4 permits v2 13 --work-ms 2
		mesh_target $z "$zone" 5 trailcheck v1 13 --work-ms 2
		mesh_target $z "$zone" 6 trailcheck v2 13 --work-ms 2 \
		    --behave fail_percent=30
		z=$((z + 1))
	done
}

start_nodes() {
	local z=1 zone i
	for zone in $zones; do
		for i in $(seq $nodes_per_zone); do
			mesh_node $z "$zone" hr-lika "$i"
		done
		z=$((z + 1))
	done
}

# wait_nodes N: waits until a node lists N members as alive.
wait_nodes() {
	local tries
	for tries in $(seq 150); do
		[ "$("$BIN/basilctl" nodes 2>/dev/null | grep -c ' alive ')" -ge "$1" ] &&
		    return 0
		sleep 0.2
	done
	echo "fewer than $1 nodes are listed as alive" >&2
	return 1
}

# outcome_of MOVE: prints the outcome recorded in the store, if any.
outcome_of() {
	"$BIN/basilctl" status --json 2>/dev/null |
	    awk -v move="\"$1\"" '
		/"outcomes"/ { inside = 1 }
		inside && /"move"/ { hit = index($0, move) }
		inside && /"state"/ { state = $2; gsub(/[",]/, "", state) }
		inside && /}/ { if (hit) print state; hit = 0 }'
}

write_moves() {
	local by
	by=$(date -u -d "+$move_s seconds" +%Y-%m-%dT%H:%M:%SZ)
	cat >"$DIR/intent/90-moves.toml" <<END
[service.permits.move]
id = "permits-v2"
from = "v1"
to = "v2"
complete_by = $by

[service.trailcheck.move]
id = "trailcheck-v2"
from = "v1"
to = "v2"
complete_by = $by
END
}

write_mix() {
	cat >"$DIR/$1.mix" <<END
$2
END
}

heading "start the store's stand-in, $((3 * nodes_per_zone)) nodes and their targets"
mesh_store || exit 1
mesh_keys
start_nodes
mesh_ctl 127.20.1.1 127.20.2.1 127.20.3.1
wait_nodes $((3 * nodes_per_zone)) || exit 1
start_targets

heading "accept examples/velebit"
mkdir "$DIR/intent"
cp examples/velebit/[1-7]*.toml "$DIR/intent"
"$BIN/basilctl" check "$DIR/intent" || exit 1
"$BIN/basilctl" apply "$DIR/intent" -m "the season begins" --wait \
    >"$DIR/apply.out" || exit 1
tail -1 "$DIR/apply.out"
sleep 2 # targets announce themselves every second

heading "callers in all three zones"
write_mix permits "6 GET /permits/17 repeatable 0
2 POST /fees at-most-once 200
2 POST /permits at-most-once 400"
write_mix trailcheck "1 GET /verify/17 repeatable 0"
for service in permits trailcheck; do
	mesh_spawn "load-$service" "$BIN/basilload" --host $service \
	    --rate 200 --duration-s $((outcomes_max_s + 20)) \
	    --mix "$DIR/$service.mix" \
	    -t http://127.20.1.1:8000 -t http://127.20.2.1:8000 \
	    -t http://127.20.3.1:8000
done
sleep 3

heading "move permits to v2 (good) and trailcheck to v2 (bad) in $move_s s"
write_moves
"$BIN/basilctl" diff "$DIR/intent"
"$BIN/basilctl" apply "$DIR/intent" -m "new forms" --wait \
    >"$DIR/apply.out" || exit 1
tail -1 "$DIR/apply.out"

permits_outcome=
trailcheck_outcome=
for second in $(seq $outcomes_max_s); do
	sleep 1
	permits_outcome=$(outcome_of permits-v2)
	trailcheck_outcome=$(outcome_of trailcheck-v2)
	case "$trailcheck_outcome$permits_outcome" in
	*taken-back*done*) break ;;
	esac
	[ $((second % 10)) -ne 0 ] || "$BIN/basilctl" status | grep -A3 '^move'
done

heading "the report for the next shift"
"$BIN/basilctl" status
case "$permits_outcome" in *done*) ;; *) echo "permits-v2 was not completed" >&2; exit 1 ;; esac
case "$trailcheck_outcome" in *taken-back*) ;; *) echo "trailcheck-v2 was not taken back" >&2; exit 1 ;; esac

heading "stop everything"
mesh_stop
echo "demo complete"
