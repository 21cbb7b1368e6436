#!/usr/bin/env bash
# The stand-ins are Python programs: nothing to compile. Checks that they can be read, and that the
# program of the deploy file is built.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/*.py */case.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
test -x ../target/bronzeplank
echo "stand-ins ready"
