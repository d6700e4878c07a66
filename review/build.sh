#!/bin/bash
# Builds the stand-ins that the scripts start. They are written in Python and need no library: this
# checks that the interpreter is there and compiles them once.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 8))'
python3 - <<'END'
import ast
import glob
for name in sorted(glob.glob("standin/*.py") + glob.glob("*/case.py")):
    with open(name, encoding="utf-8") as file:
        ast.parse(file.read(), name)
    print("checked", name)
END
