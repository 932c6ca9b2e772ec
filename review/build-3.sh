#!/usr/bin/env bash
# Prepares the stand-ins of the third review. They are Python programs that use the standard library of Python 3.11 or newer only, so
# there is nothing to compile; this checks that they can be read. The scripts start no stand-in of the project itself.
set -euo pipefail
cd "$(dirname "$0")"
python3 - common-3/*.py 1[1-5]/*.py <<'PY'
import ast
import os
import sys
import tomllib  # the scripts need it

for path in filter(os.path.exists, sys.argv[1:]):
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
PY
