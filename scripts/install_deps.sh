#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests require. Does
# nothing if all of them are installed, so that offline rebuilds work.
set -euo pipefail
packages=(
  g++ cmake ninja-build pkg-config ccache clang-format clang-tidy curl jq bc
  libsigc++-3.0-dev libevent-dev libcapnp-dev prometheus-cpp-dev
  libboost-program-options-dev libboost-filesystem-dev libboost-dev
  libspdlog-dev doctest-dev nlohmann-json3-dev libxxhash-dev libtomlplusplus-dev
)
missing=()
for package in "${packages[@]}"; do
  status=$(dpkg-query -W -f='${db:Status-Status}' "$package" 2>/dev/null || true)
  [ "$status" = installed ] || missing+=("$package")
done
[ "${#missing[@]}" = 0 ] && exit 0
sudo=""
[ "$(id -u)" = 0 ] || sudo=sudo
$sudo apt-get update -q
$sudo env DEBIAN_FRONTEND=noninteractive apt-get install -y -q "${missing[@]}"
