#!/usr/bin/env bash
# Formatter check, then clang-tidy over all sources, or only over the files given as arguments.
# A source is skipped when it, the headers that it includes and the rules are as they were when it last passed.
set -euo pipefail
cd "$(dirname "$0")/.."
export build_dir="${CORNELLOOM_BUILD_DIR:-build}"
export stamps="$build_dir/lint"
export includes="$stamps/includes.txt"
mkdir -p "$stamps"
mapfile -t all < <(git ls-files --cached --others --exclude-standard '*.cpp' '*.hpp')
if [ $# -gt 0 ]; then all=("$@"); fi
clang-format-19 --dry-run --Werror "${all[@]}"

# A line "source header" for each header of this repository that the newest build of a source has read.
ninja -C "$build_dir" -t deps | grep -v '^ninja: ' |
    awk -v root="$PWD/" '
        /^[^ ]/ { source = "" }
        /^ / {
            # A compiler cache with a base directory records paths relative to the build directory.
            file = $1
            if (index(file, root) == 1) file = substr(file, length(root) + 1)
            else if (!sub(/^\.\.\//, "", file)) next
            if (source == "") source = file
            else if (file !~ /^build/) print source, file
        }' | sort -u > "$includes"
headers=$(git ls-files --cached --others --exclude-standard '*.hpp')
export headers

# The headers that a source includes; all of them when no build has told.
headers_of() {
    local known
    known=$(awk -v source="$1" '$1 == source { print $2 }' "$includes")
    echo "${known:-$headers}"
}
lint_one() {
    local digest
    digest=$({ headers_of "$1" | xargs cat .clang-tidy; cat "$1"; } | sha256sum | cut -d' ' -f1)
    [ -e "$stamps/$digest" ] && return 0
    clang-tidy-19 --quiet -p "$build_dir" "$1" 2>/dev/null || return 1
    touch "$stamps/$digest"
}
export -f headers_of lint_one
printf '%s\n' "${all[@]}" | { grep '\.cpp$' || true; } |
    xargs -r -P "${CORNELLOOM_JOBS:-$(nproc)}" -I{} bash -c 'lint_one {}'
