"""Detects that this process was frozen, before it acts on outdated state.

A process that was frozen, for example because its host was suspended,
continues where it stopped. Another scheduler may have started a term in the
meantime. Fences do not always stop commands of the old one: a worker that
has restarted no longer knows the fence of the new term.
"""

import asyncio

from cicadafold import clock
from cicadafold import exception
from cicadafold.telemetry import logs

__all__ = ["StallDetector"]

TICK_S = 0.1
# Longer than the event loop is usually blocked, and shorter than the time
# after which other processes take over from one that does not answer.
STALL_MS = 400.0

LOG = logs.get_logger("term")


class StallDetector:
    """Detects stalls of the event loop and checks the claim after each.

    Args:
        read_newest_claim: Coroutine function that reads the newest claim
            from the store.
        on_resumed: Function called when commands are allowed again.

    Attributes:
        ticked_ms: Monotonic time of the last tick of the event loop, in
            milliseconds.
        claim_checked: False from the detection of a stall until an attempt
            to read the newest claim has ended.
    """

    def __init__(self, *, read_newest_claim, on_resumed):
        self.read_newest_claim = read_newest_claim
        self.on_resumed = on_resumed
        self.ticked_ms = clock.monotonic_ms()
        self.claim_checked = True

    def commands_allowed(self):
        """Whether the process is not stalled and has checked its claim."""
        stalled_ms = clock.monotonic_ms() - self.ticked_ms
        return self.claim_checked and stalled_ms <= STALL_MS

    async def run(self):
        """Checks for stalls periodically until the task is cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            stalled_ms = clock.monotonic_ms() - self.ticked_ms
            if stalled_ms > STALL_MS:
                self.claim_checked = False
                LOG.warning(
                    "The process was stalled; reading the newest claim "
                    "before sending commands.",
                    fields={"stalled_ms": round(stalled_ms)},
                )
                await self.check_newest_claim()
            self.ticked_ms = clock.monotonic_ms()

    async def check_newest_claim(self):
        """Reads the newest claim, then allows commands again.

        If a later term has been claimed, reading the claim ends this term.
        If the store does not answer, commands are allowed as well, for as
        long as the term is proved otherwise to be the newest one.
        """
        try:
            await self.read_newest_claim()
        except (exception.LogUnavailable, exception.LinkLost) as error:
            LOG.warning(
                "Cannot read the newest claim after a stall, continuing the "
                "term: %s",
                error,
            )
        self.ticked_ms = clock.monotonic_ms()
        self.claim_checked = True
        self.on_resumed()
