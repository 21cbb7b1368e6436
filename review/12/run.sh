#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
exec timeout -s KILL 110 python3 -B "$here/run.py" "$here/../../target/bronzeplank" "$here/record.txt"
