#!/usr/bin/env bash
# The stand-ins of the scripts are Python files, which need no build: this checks that they can be run. Run it in the
# repository after the build of the deploy file.
set -eu
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - <<'PYTHON'
import ast, glob
for path in ["stand_ins.py"] + sorted(glob.glob("[0-9]/*.py")):
    ast.parse(open(path).read(), path)
PYTHON
