#!/usr/bin/env bash
# Formatter check, then clang-tidy over all sources, or only over the files given as arguments.
# A source is skipped when it, all headers and the rules are as they were when it last passed.
set -euo pipefail
cd "$(dirname "$0")/.."
export build_dir="${CORNELLOOM_BUILD_DIR:-build}"
export stamps="$build_dir/lint"
mkdir -p "$stamps"
mapfile -t all < <(git ls-files --cached --others --exclude-standard '*.cpp' '*.hpp')
if [ $# -gt 0 ]; then all=("$@"); fi
clang-format-19 --dry-run --Werror "${all[@]}"
headers=$(git ls-files --cached --others --exclude-standard '*.hpp' | xargs cat .clang-tidy | sha256sum)
export headers
lint_one() {
    local digest
    digest=$({ echo "$headers"; cat "$1"; } | sha256sum | cut -d' ' -f1)
    [ -e "$stamps/$digest" ] && return 0
    clang-tidy-19 --quiet -p "$build_dir" "$1" 2>/dev/null || return 1
    touch "$stamps/$digest"
}
export -f lint_one
printf '%s\n' "${all[@]}" | { grep '\.cpp$' || true; } |
    xargs -r -P "${CORNELLOOM_JOBS:-$(nproc)}" -I{} bash -c 'lint_one {}'
