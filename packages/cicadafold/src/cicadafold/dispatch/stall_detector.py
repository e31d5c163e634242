"""Notices that this process stood still, before it acts on old beliefs.

A process that was frozen goes on where it stopped. Another scheduler may
have begun a term meanwhile, and a worker that has started anew knows no
fence that would keep this one's orders out.
"""

import asyncio

from cicadafold import clock
from cicadafold import exception
from cicadafold.telemetry import logs

__all__ = ["StallDetector"]

TICK_S = 0.1
# Longer than a busy moment; other processes need longer to take over from
# one that answers nothing.
STALL_MS = 400.0

LOG = logs.get_logger("term")


class StallDetector:
    """Tells whether this process has run without a stall.

    Args:
        confirm: Coroutine function that reads the newest claim.
        on_steady: Function called when orders may be given again.

    Attributes:
        ticked_ms: Monotonic time at which the process ran last.
        confirmed: Whether the newest claim was read since the last stall.
    """

    def __init__(self, *, read_newest_claim, on_resumed):
        self.read_newest_claim = read_newest_claim
        self.on_resumed = on_resumed
        self.ticked_ms = clock.monotonic_ms()
        self.claim_checked = True

    def commands_allowed(self):
        """Whether orders may be given."""
        stalled_ms = clock.monotonic_ms() - self.ticked_ms
        return self.claim_checked and stalled_ms <= STALL_MS

    async def run(self):
        """Watches for as long as the term lasts."""
        while True:
            await asyncio.sleep(TICK_S)
            stalled_ms = clock.monotonic_ms() - self.ticked_ms
            if stalled_ms > STALL_MS:
                self.claim_checked = False
                LOG.warning(
                    "The process stood still.",
                    fields={"stalled_ms": round(stalled_ms)},
                )
                await self.check_newest_claim()
            self.ticked_ms = clock.monotonic_ms()

    async def check_newest_claim(self):
        """Reads the newest claim; one of a later term ends this one.

        If the store does not answer, no other process could claim either,
        as far as can be known here.
        """
        try:
            await self.read_newest_claim()
        except (exception.LogUnavailable, exception.LinkLost) as error:
            LOG.warning("The newest claim cannot be read: %s", error)
        self.ticked_ms = clock.monotonic_ms()
        self.claim_checked = True
        self.on_resumed()
