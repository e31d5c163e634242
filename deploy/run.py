"""Runs a process of the cell from a checkout, without installing it."""

import pathlib
import sys

PACKAGES = pathlib.Path(__file__).resolve().parent.parent / "packages"

for name in ("cicadafold", "cicadafold-schema"):
    sys.path.insert(0, str(PACKAGES / name / "src"))

from cicadafold.daemon import cell_main  # noqa: E402

if __name__ == "__main__":
    cell_main.main()
