"""Spreads calls for advice over the hosts of the cell.

The advice service answers one call at a time for each calling host. Long
calls of patient queues are kept off some hosts, so that the short calls of
urgent queues never wait behind them.
"""

import collections

import msgspec

from cicadafold import clock
from cicadafold import exception
from cicadafold.telemetry import logs

__all__ = ["AdviceDesk", "AdviceLine", "AdviceWanted"]

# Calls up to this duration count as short.
SHORT_MS = 80.0
# One host in this many takes short calls only.
SHORT_SHARE = 4
# A second short call is on its way while the first is answered.
SHORT_DEPTH = 2
ANSWER_SLACK_MS = 900.0
# A ticket has to reach its worker before it expires.
TICKET_MARGIN_MS = 120.0
RETRY_PAUSE_MS = 100.0

LOG = logs.get_logger("advice")


class AdviceWanted(msgspec.Struct):
    """A call for advice that a step needs.

    Attributes:
        rank: Rank of the step; lower ranks are asked first.
        step: Step that needs tickets.
        workers: Names of the workers asked about.
        cost_ms: Expected duration of the call.
    """

    rank: tuple
    step: object
    workers: list
    cost_ms: float

    @property
    def short(self):
        """Whether the call is a short one."""
        return self.cost_ms <= SHORT_MS


class AdviceLine:
    """One host that can ask the advice service.

    Args:
        member: Name of the host's process.
        ask: Coroutine function with the arguments of ``AdviceCalls.advise``.
        store_age_ms: Coroutine function that tells how long ago the store
            answered the host, None for this process itself.
        take_over: Coroutine function that asks the host to claim a term.
        election_priority: How well the host can carry a scheduler.
    """

    def __init__(
        self,
        *,
        member,
        ask,
        election_priority,
        store_age_ms=None,
        take_over=None,
    ):
        self.member = member
        self.ask = ask
        self.election_priority = election_priority
        self.store_age_ms = store_age_ms
        self.take_over = take_over
        self.busy = 0
        self.paused_until_ms = 0.0


class AdviceDesk:
    """Sends wanted calls to free lines, in order of rank.

    Args:
        lines: Function that returns the lines there are now.
        spawn: Function that runs a coroutine as a task.
        wake: Function called when tickets have come.
        learn: Function called with step, workers asked about and granted.
        metrics: Where calls are counted.
    """

    def __init__(self, *, lines, spawn, wake, learn, metrics):
        self.lines = lines
        self.spawn = spawn
        self.wake = wake
        self.learn = learn
        self.metrics = metrics
        self.wanted = []

    def replace(self, wanted):
        """Takes what is wanted now and sends what can be sent."""
        self.wanted = sorted(wanted, key=lambda item: item.rank)
        self.pump()

    def pump(self):
        """Sends calls to the lines that are free."""
        if not self.wanted:
            return
        now_ms = clock.monotonic_ms()
        lines = [x for x in self.lines() if now_ms >= x.paused_until_ms]
        short_only = len(lines) // SHORT_SHARE if len(lines) > 1 else 0
        short_only = max(short_only, int(len(lines) > 1))
        kept = collections.deque()
        for item in self.wanted:
            line = self.free_line(item, lines, short_only)
            if line is None:
                kept.append(item)
                continue
            line.busy += 1
            item.step.advice_pending = True
            self.spawn(self.ask(line, item))
        self.wanted = list(kept)

    def free_line(self, item, lines, short_only):
        """Returns a line that may take a call now, or None."""
        if item.short:
            for line in lines[:short_only]:
                if line.busy < SHORT_DEPTH:
                    return line
        for line in lines[short_only:]:
            if line.busy == 0:
                return line
        return None

    async def ask(self, line, item):
        """Makes one call and notes its tickets."""
        step = item.step
        step.advice_requested_ms = clock.monotonic_ms()
        valid_ms = step.job.rule.advice.valid_ms
        try:
            granted = await line.ask(
                step.job.spec.id,
                step.occurrence,
                step.number,
                item.workers,
                timeout_s=(item.cost_ms + ANSWER_SLACK_MS) / 1000,
            )
        except (
            exception.TargetUnreachable,
            exception.LinkLost,
            exception.LinkNotOpen,
        ) as error:
            LOG.warning(
                "Advice was not given: %s",
                error,
                fields={"request_id": step.job.spec.id, "line": line.member},
            )
            self.metrics.count("advice_failures")
            line.paused_until_ms = clock.monotonic_ms() + RETRY_PAUSE_MS
        else:
            self.note(step, item, granted, valid_ms)
        finally:
            line.busy -= 1
            step.advice_pending = False
        self.pump()
        self.wake()

    def note(self, step, item, granted, valid_ms):
        """Notes the tickets of a step."""
        self.metrics.count("advice_calls")
        until_ms = clock.monotonic_ms() + valid_ms - TICKET_MARGIN_MS
        if step.allowed_by_worker is None:
            step.allowed_by_worker = {}
            self.learn(step, len(item.workers), len(granted))
        for worker in item.workers:
            step.allowed_by_worker[worker] = worker in granted
        for worker, ticket in granted.items():
            step.tickets[worker] = (ticket, until_ms)
        LOG.info(
            "Advice was given.",
            fields={
                "request_id": step.job.spec.id,
                "step": step.number,
                "asked": len(item.workers),
                "granted": len(granted),
                "took_ms": round(
                    clock.monotonic_ms() - step.advice_requested_ms
                ),
            },
        )
