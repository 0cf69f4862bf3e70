#!/bin/bash
# Builds what the cases 4 to 8 start beside the two programs of the deploy file: stand-ins in Python, which only have to be compiled.
set -euo pipefail
cd "$(dirname "$0")"
shopt -s nullglob
for source in stand_ins_2.py [4-8]/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$source"
done
