"""Prints a digest of all log lines of a seed.

Run as a program with a seed and a number of objects to allocate first, so
that the objects of the simulation get other memory addresses.
"""

import hashlib
import io
import logging
import re
import sys

from cicadafold.telemetry import logs
from cicadafold_standins.simulation import explore

SECONDS = 8.0
# Random parts of process names and memory addresses; the schedule does not
# depend on them.
RANDOM_NAMES = re.compile(r"/[0-9a-f]{8}|0x[0-9a-f]+")


def main():
    """Runs a seed and prints the digest of its log."""
    padding = [object() for _ in range(int(sys.argv[2]))]
    output = io.StringIO()
    handler = logging.StreamHandler(output)
    logs.configure(member="digest", handler=handler)
    handler.setFormatter(explore.TraceFormatter("%(levelname)s %(message)s"))
    explore.explore(int(sys.argv[1]), SECONDS)
    text = RANDOM_NAMES.sub("", output.getvalue())
    print(hashlib.sha256(text.encode()).hexdigest())
    del padding


if __name__ == "__main__":
    main()
