"""Processes of workers: their starts, pauses, ends and events."""

import asyncio
import math
import signal
import sys

import msgspec

from cicadafold import clock
from cicadafold_standins.fleet import worker_events
from cicadafold_standins.fleet import worker_main

__all__ = ["BORN_MODES", "WorkerProcess"]

Kind = worker_events.EventKind

MODULE = "cicadafold_standins.fleet.worker_main"
EXPECTED_STATUS = (-signal.SIGKILL, worker_main.EXIT_CRASHED)
DOWN_S = (0.05, 3.0)
LONG_DOWN_S = (4.0, 9.0)
LONG_DOWN_SHARE = 0.3
MAX_STEP_MS = 30_000
SLOWEST_RATE = 0.98
SLOW_SHARE = 0.5


def true_time(rng, now_ms, last_ms):
    """Returns the time of day."""
    return now_ms


def time_ahead(rng, now_ms, last_ms):
    """Returns a time of day that is ahead."""
    return now_ms + rng.randint(1, MAX_STEP_MS)


def time_before(rng, now_ms, last_ms):
    """Returns a time before the start of the last incarnation."""
    return last_ms - rng.randint(1, MAX_STEP_MS)


def same_time(rng, now_ms, last_ms):
    """Returns the start of the last incarnation."""
    return last_ms


# Functions of a random number generator, the time of day and the start of
# the last incarnation, both in milliseconds of Unix time, that return the
# start of the next one as the worker tells it.
BORN_MODES = {
    "true": true_time,
    "ahead": time_ahead,
    "back": time_before,
    "same": same_time,
}


class WorkerProcess:
    """A process of one or a few workers, started again when it ends.

    Args:
        names: Names of its workers.
        ports: Port of each worker.
        folder: Path of the folder of its settings, events and output.
        rng: Random number generator of its clocks and times between lives.
        born_modes: Names of the BORN_MODES to choose from.
        settings: ``worker_main.Settings`` without events and places.

    Attributes:
        life: Number of the current incarnation.
        process: Operating system process, or None while there is none.
        gone: Events of the ends of its processes.
        modes: Born mode of each incarnation.
        born_ms: Start of the incarnation as its workers tell it, in
            milliseconds of Unix time.
        killed_ms: Monotonic time in milliseconds at which the process was
            killed, or None.
        pauses: Monotonic times in milliseconds from and until which its
            processes were paused.
        faults: Unexpected ends, as sentences.
        closing: Whether it is not started again.
    """

    def __init__(self, *, names, ports, folder, rng, born_modes, settings):
        self.names = names
        self.ports = ports
        self.folder = folder
        self.rng = rng
        self.born_modes = born_modes
        self.settings = settings
        self.life = 0
        self.process = None
        self.gone = []
        self.modes = []
        self.born_ms = int(clock.wall_ms())
        self.killed_ms = None
        self.pauses = []
        self.faults = []
        self.closing = False
        slow = rng.random() < SLOW_SHARE
        self.rate = rng.uniform(SLOWEST_RATE, 1.0) if slow else 1.0

    def next_settings(self):
        """Returns the settings of the next incarnation."""
        now_ms = int(clock.wall_ms())
        mode = "true" if self.life == 0 else self.rng.choice(self.born_modes)
        self.modes.append(mode)
        self.born_ms = BORN_MODES[mode](self.rng, now_ms, self.born_ms)
        self.life += 1
        places = [
            worker_main.Place(
                name=name,
                port=port,
                life=self.life,
                born_ms=self.born_ms,
                rate=self.rate,
            )
            for name, port in zip(self.names, self.ports, strict=True)
        ]
        return msgspec.structs.replace(
            self.settings, events=str(self.events_path), places=places
        )

    @property
    def events_path(self):
        """Path of the file with the events of its workers."""
        return self.folder / f"{self.names[0]}.jsonl"

    async def run(self):
        """Keeps a process running until ``closing`` is set."""
        while not self.closing:
            path = self.folder / f"{self.names[0]}.settings.json"
            path.write_bytes(msgspec.json.encode(self.next_settings()))
            log_path = self.folder / f"{self.names[0]}.txt"
            self.killed_ms = None
            with log_path.open("ab") as output:
                self.process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    MODULE,
                    "--settings",
                    str(path),
                    stdout=output,
                    stderr=output,
                )
            status = await self.process.wait()
            self.record_end(status)
            if self.closing:
                return
            long = self.rng.random() < LONG_DOWN_SHARE
            await asyncio.sleep(
                self.rng.uniform(*(LONG_DOWN_S if long else DOWN_S))
            )

    def record_end(self, status):
        """Records that the process has ended."""
        at_ms = self.killed_ms or clock.monotonic_ms()
        self.gone += [
            worker_events.Event(
                kind=Kind.GONE, at_ms=at_ms, worker=name, life=self.life
            )
            for name in self.names
        ]
        if status not in EXPECTED_STATUS:
            self.faults.append(
                f"the process of worker {self.names[0]} ended with {status}"
            )

    def signal(self, number):
        """Sends a signal to the process if it runs."""
        if self.process is None or self.process.returncode is not None:
            return
        now_ms = clock.monotonic_ms()
        if number == signal.SIGKILL and self.killed_ms is None:
            self.killed_ms = now_ms
        if number == signal.SIGSTOP:
            self.pauses.append([now_ms, math.inf])
        self.process.send_signal(number)
        if number == signal.SIGCONT:
            for pause in self.pauses:
                pause[1] = min(pause[1], clock.monotonic_ms())

    async def close(self):
        """Ends the process for good."""
        self.closing = True
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    def events(self):
        """Returns the events of its workers, in no order."""
        if not self.events_path.exists():
            return list(self.gone)
        return [*worker_events.read_events(self.events_path), *self.gone]
