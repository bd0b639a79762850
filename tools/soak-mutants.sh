#!/usr/bin/env bash
# Shows that the soak can fail: each patch of soak/mutants breaks one promise, and a few days of the soak
# must notice. Only the patched file is compiled anew, into a copy of the daemon; the sources stay as they
# are. Usage: tools/soak-mutants.sh [DAYS], by default 8.
set -euo pipefail
cd "$(dirname "$0")/.."
days="${1:-8}"
build_dir=$(realpath "${CORNELLOOM_BUILD_DIR:-build}")
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT

# The command that ninja would run to make $1, without the changes of folder around it.
command_for() { # output in the build folder
    ninja -C "$build_dir" -t commands "$1" | grep -F -- "-o $1 " | tail -n 1 | sed -E 's/^: && //; s/ && :$//'
}

build_mutant() { # patch, program to make
    local source object compile link
    source=$(sed -nE 's/^\+\+\+ ([^ \t]+).*/\1/p' "$1")
    object="CMakeFiles/cornelloom_front.dir/$source.o"
    mkdir -p "$scratch/$(dirname "$source")"
    cp "$source" "$scratch/$source"
    patch -s -p0 -d "$scratch" <"$1"
    compile=$(command_for "$object")
    compile="${compile//$PWD\/$source/$scratch/$source}"
    (cd "$build_dir" && bash -c "${compile//-o $object/-o $scratch/$(basename "$object")}")
    cp "$build_dir/libcornelloom_front.a" "$scratch/"
    ar r "$scratch/libcornelloom_front.a" "$scratch/$(basename "$object")" 2>/dev/null
    link=$(command_for bin/cornelloom_frontd)
    link="${link//libcornelloom_front.a/$scratch/libcornelloom_front.a}"
    (cd "$build_dir" && bash -c "${link//-o bin\/cornelloom_frontd/-o $2}")
}

status=0
for patch in soak/mutants/*.patch; do
    name=$(basename "$patch" .patch)
    build_mutant "$patch" "$scratch/mutant"
    if CORNELLOOM_SOAK_PROGRAM="$scratch/mutant" tools/soak.sh "$days" 1 4 >"$build_dir/soak-$name.out" 2>&1; then
        echo "$name: NOT caught in $days days"
        status=1
    else
        echo "$name: caught, $(grep -c '"broken":[1-9]' "$build_dir/soak-$name.out") of $days days"
        grep -m1 '^  [a-z]' "$build_dir/soak-$name.out" || true
    fi
done
exit "$status"
