"""Compares the callers' records with the workers' own records."""

import collections

from cicadafold.ownership import recovery
from cicadafold.platform import messages as platform
from cicadafold_schema import messages
import msgspec

from cicadafold_standins import worker as worker_standin

__all__ = ["KindRow", "Verdict", "judge"]

Outcome = messages.Outcome
OVERLAP_TOLERANCE_S = 0.001


class KindRow(msgspec.Struct, kw_only=True):
    """Counts and times of one kind."""

    kind: str
    accepted: int = 0
    done: int = 0
    not_run: int = 0
    unknown: int = 0
    failed: int = 0
    lost: int = 0
    doubled: int = 0
    answer_p50_ms: float = 0.0
    answer_p99_ms: float = 0.0
    waiting_p50_ms: float = 0.0
    waiting_p99_ms: float = 0.0
    decision_p50_ms: float = 0.0
    decision_p99_ms: float = 0.0


class Verdict(msgspec.Struct, kw_only=True):
    """What was promised and what the records show.

    Attributes:
        broken: Sentences, one for each broken promise.
    """

    kinds: list[KindRow]
    overfills: int = 0
    double_starts: int = 0
    starts_while_leaving: int = 0
    peak_connections: int = 0
    slot_seconds: float = 0.0
    broken: list[str] = []


def percentile(values, share):
    """Returns a percentile of values, or 0 without values.

    Examples:
        >>> percentile([3, 1, 2], 0.5)
        2
    """
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def judge(records, judges, kinds):
    """Compares what callers were told with what workers ran.

    Args:
        records: The callers' records.
        judges: The workers' records by name.
        kinds: Kinds of the configuration.

    Returns:
        The verdict.
    """
    runs = collections.defaultdict(list)
    for found in judges.values():
        for run in found.runs:
            runs[run.task_id].append(run)
    by_request = collections.defaultdict(list)
    for task_id in runs:
        by_request[recovery.request_of(task_id)].append(task_id)
    broken = []
    rows = [
        kind_row(
            kind,
            [record for record in records if record.kind == kind.name],
            runs,
            by_request,
            broken,
        )
        for kind in kinds
    ]
    verdict = Verdict(
        kinds=rows,
        overfills=sum(j.overfills for j in judges.values()),
        double_starts=sum(j.double_starts for j in judges.values()),
        starts_while_leaving=sum(
            j.starts_while_leaving for j in judges.values()
        ),
        peak_connections=max(
            (j.peak_connections for j in judges.values()), default=0
        ),
        slot_seconds=sum(j.slot_seconds for j in judges.values()),
        broken=broken,
    )
    for name in ("overfills", "double_starts", "starts_while_leaving"):
        if getattr(verdict, name):
            broken.append(f"{name}: {getattr(verdict, name)}")
    return verdict


def kind_row(kind, records, runs, by_request, broken):
    """Returns the row of one kind and notes what is broken."""
    row = KindRow(kind=kind.name, accepted=len(records))
    for record in records:
        count_outcome(row, record)
        task_ids = by_request.get(record.request_id, [])
        found = [runs[task_id] for task_id in task_ids]
        for problem in problems(kind, record, found):
            broken.append(f"{record.request_id} ({kind.name}): {problem}")
            row.doubled += problem.startswith("ran twice")
            row.lost += problem.startswith("lost")
    fill_times(row, [r for r in records if r.outcome is Outcome.done])
    return row


def count_outcome(row, record):
    """Counts the outcome of one request."""
    row.done += record.outcome is Outcome.done
    row.not_run += record.outcome is Outcome.not_run
    row.unknown += record.outcome is Outcome.unknown
    row.failed += record.outcome is Outcome.failed


def fill_times(row, done):
    """Fills in the times of the requests that are done."""
    answer = [(r.answered_s - r.due_s) * 1000 for r in done]
    waiting = [r.waited_us / 1000 for r in done]
    decision = [r.decision_us / 1000 for r in done if r.decision_us]
    for name, values in (
        ("answer", answer),
        ("waiting", waiting),
        ("decision", decision),
    ):
        setattr(row, f"{name}_p50_ms", round(percentile(values, 0.5), 2))
        setattr(row, f"{name}_p99_ms", round(percentile(values, 0.99), 2))


def problems(kind, record, found):
    """Yields what is broken about one request.

    Args:
        kind: The request's kind.
        record: The caller's record.
        found: Runs of each of the request's tasks.
    """
    if record.outcome is None:
        yield f"lost: no final answer ({record.last_error})"
    if record.outcome is Outcome.not_run and found:
        yield "told not run, but it ran"
    if record.outcome is Outcome.done:
        yield from done_problems(kind, record, found)
    for runs in found:
        if not kind.idempotent and len(runs) > 1:
            yield f"ran twice: {len(runs)} runs of a non-idempotent task"
        if overlap(runs):
            yield "ran twice: two runs at the same time"


def done_problems(kind, record, found):
    """Yields what is broken about a request that was answered."""
    ended = [
        runs
        for runs in found
        if any(run.state is platform.TaskState.DONE for run in runs)
    ]
    if len(ended) < kind.tasks:
        yield f"lost: answered, but {len(ended)} of {kind.tasks} tasks ran"
    expected = ",".join(
        worker_standin.expected_result(
            recovery.task_id(record.request_id, index, kind.tasks),
            record.payload,
        )
        for index in range(kind.tasks)
    )
    if record.result != expected:
        yield f"lost: the answer is not its own: {record.result[:60]!r}"


def overlap(runs):
    """Whether two runs of one task were under way at the same time."""
    ordered = sorted(runs, key=lambda run: run.started_s)
    for earlier, later in zip(ordered, ordered[1:], strict=False):
        ended_s = earlier.ended_s or float("inf")
        if later.started_s + OVERLAP_TOLERANCE_S < ended_s:
            return True
    return False
