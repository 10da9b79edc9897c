#!/usr/bin/env bash
# The stand-ins are Python programs that need only the standard library. Checks that they can be read; nothing else is built.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"'
python3 -B -c '
import ast, pathlib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
'
