# Sourced by the run.sh of a case: runs the program $1 in a temporary folder and exits with its code.
# TROUBLE=0 leaves the disruption out.
root="$(cd "$here/../.." && pwd)"
folder="$(mktemp -d)"
trap 'rm -rf "$folder"' EXIT
if [ ! -x "$root/target/review-2/bin/$1" ] || [ ! -x "$root/target/bin/cornelloom_frontd" ]; then
    echo "build the deploy file and review/build-2.sh first" >&2
    exit 2
fi
cd "$root"
code=0
timeout -k 5 115 "target/review-2/bin/$1" --program target/bin/cornelloom_frontd \
    --folder "$folder" --record "$here/record.txt" --trouble "${TROUBLE:-1}" || code=$?
[ "$code" -le 2 ] || code=2
if [ -n "${KEEP_LOGS:-}" ]; then
    mkdir -p "$KEEP_LOGS" && cp "$folder"/* "$KEEP_LOGS"/
fi
exit "$code"
