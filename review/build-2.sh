#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10 into build-review-2/. They need the C++ compiler and the JSON library of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=build-review-2
mkdir -p "$out"
for folder in review/6 review/7 review/8 review/9 review/10; do
  sources=("$folder"/*.cc)
  [ -e "${sources[0]}" ] || continue
  "${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra "${sources[@]}" review/common-2/*.cc -o "$out/case-${folder#review/}" -pthread
done
