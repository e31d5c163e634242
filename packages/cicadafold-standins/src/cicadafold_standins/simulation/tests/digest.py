"""Prints a digest of all that a seed has logged.

Run as a program with a seed and a number of objects that are made before, so
that later ones lie elsewhere in memory.
"""

import hashlib
import io
import logging
import re
import sys

from cicadafold.telemetry import logs
from cicadafold_standins.simulation import explore

SECONDS = 8.0
# Processes have random names, which decide nothing.
RANDOM_NAMES = re.compile(r"/[0-9a-f]{8}|0x[0-9a-f]+")


def main():
    """Plays a seed and prints the digest of its log."""
    kept = [object() for _ in range(int(sys.argv[2]))]
    written = io.StringIO()
    handler = logging.StreamHandler(written)
    logs.configure(member="digest", handler=handler)
    handler.setFormatter(explore.TraceFormatter("%(levelname)s %(message)s"))
    explore.explore(int(sys.argv[1]), SECONDS)
    text = RANDOM_NAMES.sub("", written.getvalue())
    print(hashlib.sha256(text.encode()).hexdigest())
    del kept


if __name__ == "__main__":
    main()
