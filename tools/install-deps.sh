#!/bin/sh
# Installs the missing build dependencies on Debian 12.
set -eu

packages="curl gcc g++ make cmake pkg-config clang clang-format clang-tidy
libclang-rt-14-dev libapr1-dev libaprutil1-dev libzmq3-dev libmicrohttpd-dev
libcurl4-openssl-dev libtomlplusplus-dev liburcu-dev libmsgpack-dev
libjansson-dev libxxhash-dev libsodium-dev libglib2.0-dev libgsl-dev libhttp-parser-dev"

missing=
for package in $packages; do
	dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
	    grep -q 'install ok installed' || missing="$missing $package"
done
[ -n "$missing" ] || exit 0
apt-get update -qq
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $missing
