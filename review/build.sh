#!/usr/bin/env bash
# The stand-ins are Python programs that need the interpreter alone, so nothing is built; checks
# that it is there, is new enough and reads them.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import ast
import pathlib
import sys

assert sys.version_info >= (3, 11), "the stand-ins need Python 3.11"
for file in sorted(pathlib.Path(".").glob("*/*.py")):
    ast.parse(file.read_text(encoding="utf-8"), str(file))
    print("checked", file)
PYTHON
