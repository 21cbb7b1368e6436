#!/usr/bin/env bash
# The stand-ins of cases 6 to 10 are Python: there is nothing to build but to check that they compile.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins-2/*.py 6/*.py 7/*.py 8/*.py 9/*.py 10/*.py; do
    [ ! -e "$file" ] || python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" "$file"
done
