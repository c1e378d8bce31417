#!/usr/bin/env bash
# Builds everything into build/ (or $BUILD_DIR).
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=${BUILD_DIR:-build}
# Lets work trees of this repository share compiler results.
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
[ -f "$build_dir/build.ninja" ] || cmake -S . -B "$build_dir" -G Ninja >/dev/null
cmake --build "$build_dir" -j "${JOBS:-$(nproc)}" "$@"
