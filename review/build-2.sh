#!/bin/sh
# The stand-ins of cases 6 to 10 (parties.py and the case files) are Python programs of the standard library: nothing is compiled. Checks
# that they can be read, and that the build of deploy/system.toml stands.
set -e
cd "$(dirname "$0")"
python3 - parties.py [6-9]/case.py <<'END'
import sys
for name in sys.argv[1:]:
    compile(open(name).read(), name, "exec")
END
test -x ../target/gypsumhub || { echo "run the build of deploy/system.toml first"; exit 2; }
