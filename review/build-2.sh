#!/bin/sh
# The stand-ins of cases 6 to 10 are Python, and need the standard library alone. The scripts start no
# stand-in of the project's own.
set -e
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import glob
import sys

assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"
for path in glob.glob("lib-2/*.py") + [f"{number}/case.py" for number in range(6, 11) if __import__("os").path.exists(f"{number}/case.py")]:
    with open(path, encoding="utf-8") as source:
        compile(source.read(), path, "exec")
PYTHON
