#!/bin/bash
# Functions that run a mesh on this machine over the stand-ins; sourced by
# tools/demo.sh and bench/mesh.sh.  BIN is the folder of the programs, DIR a
# scratch folder.  Instance I of zone number Z uses the address 127.20.Z.I.
# Processes are signalled by their ids only.

pids=()
READ_TOKEN=read-token-of-the-demo
APPLY_TOKEN=apply-token-of-the-demo
TARGET_TOKEN=target-token-of-the-demo

# mesh_spawn NAME COMMAND...: runs COMMAND in the background; its output goes to
# DIR/NAME.log.
mesh_spawn() {
	local name=$1
	shift
	"$@" >"$DIR/$name.log" 2>&1 &
	pids+=($!)
}

# mesh_stop: sends SIGTERM to all processes, and SIGKILL after ten seconds.
mesh_stop() {
	local pid tries
	for pid in "${pids[@]}"; do
		kill -TERM "$pid" 2>/dev/null
	done
	for tries in $(seq 100); do
		jobs -pr | grep -q . || break
		sleep 0.1
	done
	for pid in "${pids[@]}"; do
		kill -KILL "$pid" 2>/dev/null
	done
	wait 2>/dev/null
	pids=()
}

# mesh_store: starts the stand-in of the platform's store; sets STORE to its
# address.
mesh_store() {
	mesh_spawn store "$BIN/standin_store" --listen 127.0.0.1:0
	local tries
	for tries in $(seq 100); do
		STORE=$(sed -n 's/^listening //p' "$DIR/store.log")
		[ -n "$STORE" ] && return 0
		sleep 0.05
	done
	echo "the store's stand-in did not start in time" >&2
	return 1
}

# mesh_keys: creates one CURVE key pair for the whole mesh; sets KEYS to its
# lines for the settings.
mesh_keys() {
	KEYS=$("$BIN/basilctl" keygen)
}

# mesh_node ZONE_NUMBER ZONE REGION I: starts a node.
mesh_node() {
	local address=127.20.$1.$4 name=$2-$4
	cat >"$DIR/$name.toml" <<END
[node]
instance = "$name"
availability_zone = "$2"
region = "$3"

[caller]
listen = "$address:8000"

[mesh]
listen = "$address:8001"

[control]
listen = "$address:8002"
$KEYS

[admin]
listen = "$address:8003"
read_token = "$READ_TOKEN"
apply_token = "$APPLY_TOKEN"
target_token = "$TARGET_TOKEN"

[store]
url = "http://$STORE"

[trace]
sample_per_million = 10000
END
	mesh_spawn "$name" "$BIN/basilnoded" "$DIR/$name.toml"
}

# mesh_target ZONE_NUMBER ZONE I SERVICE VERSION SLOTS [OPTIONS...]: starts a
# target stand-in with these further options.
mesh_target() {
	local address=127.20.$1.$3 name=$2-$3
	local service=$4 version=$5 slots=$6
	shift 6
	mesh_spawn "$name-target" "$BIN/standin_target" \
	    --listen "$address:9000" --service "$service" \
	    --version "$version" --slots "$slots" --instance "$name" \
	    --node-admin "$address:8003" --token "$TARGET_TOKEN" "$@"
}

# mesh_ctl ADDRESS...: writes settings of basilctl for the nodes at these
# addresses and exports BASILCTL_SETTINGS.
mesh_ctl() {
	local list
	list=$(printf '"%s:8003", ' "$@")
	cat >"$DIR/ctl.toml" <<END
[store]
url = "http://$STORE"

[ctl]
admin = [${list%, }]
read_token = "$READ_TOKEN"
apply_token = "$APPLY_TOKEN"
operator = "demo"
END
	export BASILCTL_SETTINGS=$DIR/ctl.toml
}
