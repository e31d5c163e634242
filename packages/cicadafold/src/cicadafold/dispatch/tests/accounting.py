"""Team accounting of a term that knows all its run attempts."""

import types

from cicadafold.dispatch import team_accounting
from cicadafold.scheduling import estimates
from cicadafold.teams import usage
from cicadafold.telemetry import metrics

__all__ = ["settled_accounting"]


def settled_accounting():
    """Returns a ``TeamAccounting`` without inherited run attempts."""
    inherited = types.SimpleNamespace(leases_lapsed_ms=float("-inf"))
    return team_accounting.TeamAccounting(
        usage=usage.TeamUsage(),
        cap_overage=0.0,
        workers={},
        inherited_runs=inherited,
        job_table=None,
        estimates=estimates.DurationEstimates(),
        metrics=metrics.Metrics(),
    )
