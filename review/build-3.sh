#!/usr/bin/env bash
# The stand-ins of the scripts in review/11 to review/15 are Python: nothing to compile. This checks
# that they can be read. The scripts start target/bronzeplank, which the deploy file builds.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins-3/*.py 1[1-5]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
