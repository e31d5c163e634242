#!/bin/sh
# Compiles the stand-ins that the cases start; they need nothing beside the
# build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
python3 - <<'END'
import pathlib

folders = ("review", "packages/cicadafold-standins/src")
for folder in folders:
    for path in sorted(pathlib.Path(folder).rglob("*.py")):
        compile(path.read_text(), str(path), "exec")
END
