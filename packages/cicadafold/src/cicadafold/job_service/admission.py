"""The entry host's side of the admission of teams' jobs.

Counts of arrivals are kept by the scheduler alone. A host asks it only about
jobs of announced teams, and accepts a job whenever it gets no answer.
"""

import asyncio

from cicadafold import clock
from cicadafold import exception
from cicadafold.telemetry import logs

__all__ = ["HostAdmission"]

# A notice that is not repeated for this long is void, so that a scheduler
# that has died, or whose messages are lost, does not keep the host asking.
NOTICE_TTL_MS = 2000.0
# Longest wait for the scheduler's answer. The job is then accepted.
QUERY_TIMEOUT_S = 0.3

LOG = logs.get_logger("caller")


class HostAdmission:
    """Asks the scheduler before jobs of announced teams are accepted.

    Args:
        scheduler: ``SchedulerClient`` of this process.
        metrics: Metrics of the process.

    Attributes:
        term: Term of the scheduler that sent the newest notice.
        teams: Names of the announced teams by pool.
        received_ms: Time of the newest notice in milliseconds, by the clock
            that also counts the time for which the host was suspended.
    """

    def __init__(self, *, scheduler, metrics):
        self.scheduler = scheduler
        self.metrics = metrics
        self.term = 0
        self.teams = {}
        self.received_ms = float("-inf")

    def on_notice(self, notice):
        """Replaces the announced teams, unless a later term has sent some."""
        if notice.term < self.term:
            return
        self.term = notice.term
        self.teams = notice.teams
        self.received_ms = clock.boot_ms()

    def must_ask(self, spec):
        """Whether the scheduler decides about a job.

        The scheduler's own process needs no notice.

        Args:
            spec: Specification of the job.
        """
        if spec.team is None:
            return False
        if self.scheduler.is_local:
            return True
        if clock.boot_ms() - self.received_ms > NOTICE_TTL_MS:
            return False
        return spec.team.name in self.teams.get(spec.rule.pool, ())

    async def check(self, spec, *, deadline_s):
        """Returns if a job may be accepted.

        Args:
            spec: Specification of the job, which was not accepted here.
            deadline_s: Event loop time in seconds at which the caller stops
                waiting.

        Raises:
            Overloaded: The job is beyond its team's rate and its pool is
                full. It is not recorded and does not run.
        """
        if not self.must_ask(spec):
            return
        left_s = deadline_s - asyncio.get_running_loop().time()
        try:
            wait_ms = await self.scheduler.admission_wait_ms(
                spec, timeout_s=max(0.0, min(QUERY_TIMEOUT_S, left_s))
            )
        except (exception.LinkNotOpen, exception.LinkLost) as error:
            self.metrics.count("admission_unanswered")
            LOG.debug(
                "The scheduler did not answer whether to admit a job, which "
                "is accepted: %s",
                error,
            )
            return
        if wait_ms is None:
            return
        self.metrics.count("admission_refused")
        raise exception.Overloaded(
            message=f"Team {spec.team.name} has sent more than its rate of "
            f"{spec.team.weight:g} jobs a second, and its workers are all "
            "in use; the job was not accepted.",
            remedy="Send it again after the time given.",
            retry_after_ms=wait_ms,
        )
