"""Runs a process of the cell with a time of day that can be stepped."""

import os
import pathlib

from cicadafold import clock
from cicadafold.daemon import cell_main
from cicadafold_standins.fleet import stepped_clock

__all__ = ["main"]


def main():
    """Runs the process of the cell."""
    path = pathlib.Path(os.environ[stepped_clock.OFFSET_VARIABLE])
    clock.wall_ms = stepped_clock.SteppedClock(path).wall_ms
    cell_main.main()


if __name__ == "__main__":
    main()
