#!/usr/bin/env bash
# Installs, by name, every Debian package of tools/packages.txt that is missing.
set -euo pipefail
cd "$(dirname "$0")/.."
missing=()
while read -r name; do
    dpkg-query -W -f='${Status}' "$name" 2>/dev/null | grep -q 'ok installed' || missing+=("$name")
done < tools/packages.txt
[ ${#missing[@]} -eq 0 ] && exit 0
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
