#!/usr/bin/env bash
# Draws the JSON lines of bench_policy as one SVG page: idle time, staleness and lookups by policy and
# load, a column for each deployment.
#   tools/report.sh LINES.jsonl OUTPUT.svg
set -euo pipefail
if [ $# -ne 2 ]; then
    echo "usage: tools/report.sh LINES.jsonl OUTPUT.svg" >&2
    exit 2
fi
lines=$1
output=$2
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT

# field NAME: the value of a member of each flat JSON object on standard input; ? when absent.
field() {
    sed -nE "h; s/.*\"$1\":\"?([^\",}]*).*/\1/; t found; s/.*/?/; :found p"
}

values() { sort -u | grep -v '^?$'; }

mapfile -t deployments < <(field deployment <"$lines" | values)
mapfile -t loads < <(field load <"$lines" | values)
mapfile -t policies < <(field policy <"$lines" | values)
if [ ${#policies[@]} -eq 0 ]; then
    echo "no lines of bench_policy in $lines" >&2
    exit 1
fi

# table DEPLOYMENT MEASURE: a row for each load, a column for each policy.
table() {
    printf 'load'
    printf ' %s' "${policies[@]}"
    printf '\n'
    # A run in which no step ended has no idle time and no staleness: no bar, instead of 0.
    local load policy without='"steps":0[.0]*,'
    [[ "$2" == lookup* ]] && without='^$'
    for load in "${loads[@]}"; do
        printf '%s' "$load"
        for policy in "${policies[@]}"; do
            local value
            value=$({ grep "\"deployment\":\"$1\"" "$lines" | grep "\"load\":\"$load\"" |
                grep "\"policy\":\"$policy\"" |
                grep -v "$without" || true; } | tail -n 1 | field "$2")
            printf ' %s' "${value:-?}"
        done
        printf '\n'
    done
}

panel() { # deployment, measure, title, unit
    local file="$scratch/$1-$2"
    table "$1" "$2" >"$file"
    cat <<PLOT
set title "$1: $3" noenhanced
set ylabel "$4"
plot for [i=2:$((${#policies[@]} + 1))] "$file" using i:xtic(1) title columnheader(i)
PLOT
}

{
    cat <<PLOT
set terminal svg size $((760 * ${#deployments[@]})),1150 font "sans,11" background "white"
set output "$output"
set style data histogram
set style histogram clustered gap 1
set style fill solid 0.85 border -1
set key outside right top noenhanced
set xtics rotate by -35 noenhanced
set yrange [0:*]
set grid ytics
set datafile missing "?"
set multiplot layout 3,${#deployments[@]}
PLOT
    for deployment in "${deployments[@]}"; do
        panel "$deployment" idle_p99_ms "trainer idle time of a step, p99" ms
    done
    for deployment in "${deployments[@]}"; do
        panel "$deployment" staleness_mean "staleness of delivered samples, mean" versions
    done
    for deployment in "${deployments[@]}"; do
        panel "$deployment" lookup_p99_ms "lookups, p99" ms
    done
    echo "unset multiplot"
} >"$scratch/plot"
mkdir -p "$(dirname "$output")"
gnuplot "$scratch/plot"
