#!/bin/sh
# Builds what the scripts of review/11 to review/15 start beside the daemon of the deploy file. The
# stand-ins are one Python file that needs the standard library alone; there is nothing to build, and
# the files are only read to check them.
set -e
cd "$(dirname "$0")/.."
for file in review/common-3/*.py review/1[1-5]/*.py; do
    [ -e "$file" ] || continue
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
