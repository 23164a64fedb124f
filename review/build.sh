#!/bin/sh
# The stand-ins are Python programs of the standard library; python3 comes with the packages of the deploy file
# (libglib2.0-dev needs it). They are only checked here.
set -e
cd "$(dirname "$0")"
python3 - <<'END'
import glob
for name in sorted(glob.glob("lib/*.py") + glob.glob("[0-9]/*.py")):
    with open(name) as file:
        compile(file.read(), name, "exec")
END
