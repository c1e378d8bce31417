#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need and that are not installed yet.
set -euo pipefail

packages=(
  g++ cmake ninja-build ccache pkg-config git curl openssl python3-minimal clang-format clang-tidy
  libh2o-evloop-dev libcapnp-dev capnproto prometheus-cpp-dev libyaml-cpp-dev libcli11-dev
  libgoogle-glog-dev libboost1.81-dev libtrompeloeil-cpp-dev catch2 nlohmann-json3-dev
  libssl-dev libxxhash-dev librapidcheck-dev libbenchmark-dev
)

missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
  echo "installing: ${missing[*]}"
  export DEBIAN_FRONTEND=noninteractive
  apt-get update -qq
  apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
fi
