#!/usr/bin/env bash
# Measures the overhead of a host on reads: directly to a replica in another failure domain, and
# through a host. The workspaces' rate limits are raised to 100000/s so that they have no effect.
set -euo pipefail
cd "$(dirname "$0")/.."
dir=$(mktemp -d)
trap 'scripts/cluster stop "$dir"; rm -rf "$dir"' EXIT
scripts/cluster start "$dir" cooperative 1
program=build/release/bronzeplank
"$program" generate "$dir/questionnaire.jsonc" |
    sed 's/"rate": [0-9.]*/"rate": 100000/; s/"burst": [0-9.]*/"burst": 100000/; s/"version": 0/"version": 1/' \
        >"$dir/high_limits.json"
"$program" apply "$dir/high_limits.json"
sleep 5
for callers in 1 2 4 8; do
    echo "callers: $callers"
    build/release/overhead 7211 7301 "$callers" 4
done
curl -s http://127.0.0.1:7401/metrics | grep -E '^bronzeplank_cpu_seconds'
