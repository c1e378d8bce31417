#!/usr/bin/env bash
# Checks the formatting of the project's sources and runs the linter on them. Usage: lint.sh [--fix-format] [file...]
# The linter skips a source that passed before if the source, the project headers that it includes, .clang-tidy and this
# script are unchanged. The results are kept in .lint/ under the build folder.
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=${BUILD_DIR:-build}

format_mode=(--dry-run --Werror)
if [ "${1:-}" = --fix-format ]; then
  format_mode=(-i)
  shift
fi

project_files() { git ls-files --cached --others --exclude-standard -- "$@" | grep -v '\.capnp\.' || true; }

if [ $# -gt 0 ]; then
  all_files=("$@")
else
  mapfile -t all_files < <(project_files '*.cc' '*.h')
fi
clang-format "${format_mode[@]}" "${all_files[@]}"

sources=()
for file in "${all_files[@]}"; do
  case "$file" in *.cc) sources+=("$file") ;; esac
done

# The project headers that each source includes, as recorded by the last build, one line for each source:
# "source header header ...". A source that was not built yet is assumed to depend on all headers.
mkdir -p "$build_dir/.lint"
ninja -C "$build_dir" -t deps | awk '
  /^[^ ].*\.o:/ { if (source != "") print line; source = ""; line = ""; next }
  /^ +\.\.\// { sub(/^ +\.\.\//, ""); if (source == "") { source = $0; line = $0 } else line = line " " $0 }
  END { if (source != "") print line }' >"$build_dir/.lint/deps"

export build_dir
lint_source() {
  local file=$1 headers cache_key stamp
  headers=$(awk -v file="$file" '$1 == file { $1 = ""; print; exit }' "$build_dir/.lint/deps")
  [ -n "$headers" ] || headers=$(git ls-files --cached --others --exclude-standard -- '*.h')
  # The key includes the error messages of `cat`, so that a header removed since the build counts as changed.
  cache_key=$(cat .clang-tidy tools/lint.sh "$file" $headers 2>&1 | sha256sum | cut -c1-32)
  stamp="$build_dir/.lint/$(echo "$file" | tr / _).$cache_key"
  [ -e "$stamp" ] && return 0
  # Servers of Cap'n Proto interfaces are deleted through their concrete type, so they need no virtual destructor.
  if clang-tidy --quiet -p "$build_dir" --extra-arg=-Wno-delete-non-abstract-non-virtual-dtor "$file" \
    2>/dev/null >"$stamp.out"; then
    rm -f "$stamp.out"
    touch "$stamp"
  else
    cat "$stamp.out"
    rm -f "$stamp.out"
    return 1
  fi
}
export -f lint_source
if [ "${#sources[@]}" -gt 0 ]; then
  printf '%s\0' "${sources[@]}" | xargs -0 -n 1 -P "${JOBS:-$(nproc)}" bash -c 'lint_source "$0"'
fi
echo "lint: ${#all_files[@]} files clean"
