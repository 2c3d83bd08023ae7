#!/bin/sh
# Install the Debian packages that are missing. Nothing is downloaded otherwise.
set -eu
packages="gcc make pkg-config libcivetweb-dev libhttp-parser-dev libmsgpack-dev liblog4c-dev libglib2.0-dev liburcu-dev libjansson-dev
 libxxhash-dev libsodium-dev libzstd-dev libyajl-dev libcurl4-openssl-dev python3 perl clang clang-format clang-tidy cppcheck
 libclang-rt-14-dev gnuplot-nox"
missing=""
for p in $packages; do
    dpkg-query -W -f='${Status}' "$p" 2>/dev/null | grep -q 'install ok installed' || missing="$missing $p"
done
[ -z "$missing" ] && exit 0
echo "installing:$missing"
as_root=""
[ "$(id -u)" = 0 ] || as_root="sudo"
$as_root apt-get update -qq
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive $as_root apt-get install -y -qq --no-install-recommends $missing >/dev/null
