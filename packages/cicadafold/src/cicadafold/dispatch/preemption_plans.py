"""Plans: capacity that is held for a step that could not be placed."""

from cicadafold.dispatch import runs
from cicadafold.telemetry import logs

__all__ = ["GANG", "Plan", "URGENT", "log_plan"]

# Reasons of plans, as shown in metrics and log lines.
URGENT, GANG = "urgent", "gang"

LOG = logs.get_logger("preempt")


class Plan:
    """Capacity that is held for a step.

    Attributes:
        step: Step.
        reason: ``URGENT`` or ``GANG``.
        held: Number of tasks by name of the worker that they are to run on.
        stops: Run attempts that are stopped for it.
        until_ms: Monotonic time in milliseconds at which it is given up.
    """

    def __init__(self, *, step, reason, held, stops, until_ms):
        self.step = step
        self.reason = reason
        self.held = held
        self.stops = stops
        self.until_ms = until_ms

    def use(self, workers, waiting):
        """Drops what is held for tasks that were started.

        Args:
            workers: Name of the worker of each started task.
            waiting: Number of tasks of the step that still wait.
        """
        for name in workers:
            count = self.held.pop(name, 0)
            if count > 1:
                self.held[name] = count - 1
        self.trim(waiting)

    def trim(self, waiting):
        """Drops what is held for more tasks than are waiting."""
        surplus = sum(self.held.values()) - waiting
        for name in list(self.held):
            if surplus <= 0:
                return
            dropped = min(surplus, self.held[name])
            surplus -= dropped
            self.held[name] -= dropped
            if not self.held[name]:
                del self.held[name]


def log_plan(plan, need, victims, in_ms):
    """Logs one preemption."""
    step = plan.step
    LOG.info(
        "Stopping run attempts for a step that would be late.",
        fields={
            "request_id": step.job.spec.id,
            "step": step.number,
            "reason": plan.reason,
            "tasks": need.demand.tasks,
            "cores_milli": need.demand.need.cores_milli,
            "slack_ms": round(need.slack_ms),
            "starts_in_ms": round(in_ms),
            "gain_ms": round(need.slack_ms - in_ms),
            "workers": list(plan.held),
            "victims": [
                (run_fields(victim), round(victim.slack_ms))
                for victim in victims
            ],
            "lost_ms": round(sum(victim.loss_ms for victim in victims)),
        },
    )


def run_fields(victim):
    """Returns job, task and worker of a victim for the log."""
    fields = runs.run_log_fields(victim.run)
    return (fields["request_id"], fields["task"], fields["worker"])
