#!/usr/bin/env bash
# Builds everything into build/ (or $BUILD_DIR). Arguments are passed to `cmake --build`; JOBS sets the number of jobs.
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=${BUILD_DIR:-build}
# Lets all work trees of this repository share the entries of the compiler cache.
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
[ -f "$build_dir/build.ninja" ] || cmake -S . -B "$build_dir" -G Ninja >/dev/null
cmake --build "$build_dir" -j "${JOBS:-$(nproc)}" "$@"
