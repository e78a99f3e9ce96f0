#!/bin/bash
# Measures node processes at several sizes of the mesh: memory, processor time
# and control traffic per node, idle and under configuration changes, the time
# until a change is in force on all nodes, and the rate of calls to the store.
#
# usage: bench/mesh.sh BUILD "SIZES" SECONDS
# Prints "name value unit"; the slopes in docs/CAPACITY.md are fitted to these
# lines.
set -u
cd "$(dirname "$0")/.."
BIN=$PWD/${1:-build}/bin
sizes=${2:-"8 48 96 192"}
seconds=${3:-20}
changes=20
. tools/mesh.sh
DIR=
trap 'mesh_stop; [ -z "$DIR" ] || rm -rf "$DIR"' EXIT
hertz=$(getconf CLK_TCK)

regions=(r1 r1 r1 r2 r2 r2 r3 r3)

start_mesh() {
	local i zone
	for i in $(seq 0 $(($1 - 1))); do
		zone=$((i % 8))
		mesh_node $((zone + 1)) "zone-$((zone + 1))" \
		    "${regions[zone]}" $((i / 8 + 1))
		node_pids+=("${pids[-1]}")
		# Limits the load while starting, which is not measured.
		[ $((i % 16)) -ne 15 ] || sleep 0.2
	done
}

wait_alive() {
	local tries
	for tries in $(seq 300); do
		[ "$("$BIN/basilctl" nodes 2>/dev/null | grep -c ' alive ')" -ge "$1" ] &&
		    return 0
		sleep 0.2
	done
	echo "only $("$BIN/basilctl" nodes | grep -c ' alive ') of $1 nodes" >&2
	return 1
}

# Processor time of all nodes, in clock ticks.
cpu_ticks() {
	local pid sum=0 fields
	for pid in "${node_pids[@]}"; do
		read -r -a fields <"/proc/$pid/stat"
		sum=$((sum + fields[13] + fields[14]))
	done
	echo $sum
}

# Largest resident memory of a node.
resident_kb_max() {
	local pid
	for pid in "${node_pids[@]}"; do
		awk '/VmRSS/ { print $2 }' "/proc/$pid/status"
	done | sort -n | tail -1
}

# Control bytes sent and received, averaged over one node in each of four zones.
control_bytes() {
	local address sum=0 sent received
	for address in 127.20.1.1 127.20.2.1 127.20.3.1 127.20.4.1; do
		read -r sent received < <(curl -s \
		    -H "Authorization: Bearer $READ_TOKEN" \
		    "http://$address:8003/v1/status" | sed -E \
		    's/.*"sent_bytes": ?([0-9]+), ?"received_bytes": ?([0-9]+).*/\1 \2/')
		sum=$((sum + sent + received))
	done
	echo $((sum / 4))
}

store_calls() {
	curl -s "http://$STORE/standin/counts" | tr -d ' \n' |
	    sed -E 's/.*"total":([0-9]+).*/\1/'
}

# measure NAME N COMMAND SECONDS: runs "COMMAND SECONDS" and prints processor time
# and control bytes per node, and calls to the store, of N nodes in that time.
measure() {
	local c0 b0 s0 c1 b1 s1
	c0=$(cpu_ticks)
	b0=$(control_bytes)
	s0=$(store_calls)
	"$3" "$4"
	c1=$(cpu_ticks)
	b1=$(control_bytes)
	s1=$(store_calls)
	awk -v n="$2" -v name="$1" -v c=$((c1 - c0)) -v b=$((b1 - b0)) \
	    -v s=$((s1 - s0)) -v t="$4" -v hz="$hertz" 'BEGIN {
		printf "%s_cpu_%d %.3f percent_of_a_core\n", name, n, 100 * c / hz / n / t
		printf "%s_bytes_%d %.0f bytes_a_second\n", name, n, b / t
		printf "%s_store_calls_%d %.2f calls_a_second\n", name, n, s / t }'
}

# apply_changes DURATION_S: applies changes one after the other, two seconds
# apart, and appends the convergence time of each in ms to DIR/convergence.
apply_changes() {
	local end=$((SECONDS + $1)) start now
	while [ $SECONDS -lt $end ]; do
		queue_ms=$((queue_ms + 1))
		sed "s/^queue_ms = .*/queue_ms = $queue_ms/" \
		    examples/velebit/10-permits.toml >"$DIR/intent/10-permits.toml"
		start=$(date +%s%N)
		"$BIN/basilctl" apply "$DIR/intent" --wait >/dev/null 2>&1 ||
		    echo "a change was not in force in time" >&2
		now=$(date +%s%N)
		echo $(((now - start) / 1000000)) >>"$DIR/convergence"
		sleep 2
	done
}

for size in $sizes; do
	DIR=$(mktemp -d)
	node_pids=()
	queue_ms=10
	mesh_store || exit 1
	mesh_keys
	mesh_ctl 127.20.1.1 127.20.2.1 127.20.3.1
	start_mesh "$size"
	wait_alive "$size" || exit 1
	mkdir "$DIR/intent"
	cp examples/velebit/10-permits.toml "$DIR/intent"
	"$BIN/basilctl" apply "$DIR/intent" --wait >/dev/null 2>&1 || exit 1
	sleep 5
	measure idle "$size" sleep "$seconds"
	measure changing "$size" apply_changes "$seconds"
	sort -n "$DIR/convergence" | awk -v n="$size" '{ v[NR] = $1 } END {
		printf "convergence_median_%d %d ms\n", n, v[int((NR + 1) / 2)]
		printf "convergence_max_%d %d ms\n", n, v[NR] }'
	echo "resident_max_$size $(resident_kb_max) KB"
	mesh_stop
	rm -rf "$DIR"
done
