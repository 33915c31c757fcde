#!/bin/sh
# The stand-ins are Python programs of the standard library: nothing is
# compiled. Checks that they can be read by the interpreter that run.sh uses.
set -e
cd "$(dirname "$0")"
for file in stand/*.py [1-5]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))'
