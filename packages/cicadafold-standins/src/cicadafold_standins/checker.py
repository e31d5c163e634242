"""Compares the callers' records with the workers' own records."""

import collections
import enum

from cicadafold.ownership import task_ids
from cicadafold.platform import messages as platform
from cicadafold_schema import messages
import msgspec

from cicadafold_standins import worker as worker_standin

__all__ = [
    "KindSummary",
    "Violation",
    "Guarantee",
    "CheckResult",
    "check_records",
]

Outcome = messages.Outcome
OVERLAP_TOLERANCE_S = 0.001
MS_PER_S = 1000
US_PER_MS = 1000


class Guarantee(enum.Enum):
    """What must always hold."""

    NO_OVERFILL = "no host is overfilled"
    ONE_PLACE = "no task runs in two places at once"
    WHOLE_ANSWER = "each caller gets the whole answer to its own request"
    HONEST_NOT_RUN = "what was told not run was not run"
    AT_MOST_ONCE = "non-idempotent requests run at most once"
    LEAVING = "a leaving target gets no new work"
    GRACEFUL = "a planned stop cuts no request in flight"
    CONFIGURATION = "accepted configuration is in force and stays"


class Violation(msgspec.Struct, kw_only=True):
    """A broken promise and where it shows."""

    guarantee: Guarantee
    text: str


class KindSummary(msgspec.Struct, kw_only=True):
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
    answer_max_ms: float = 0.0
    waiting_p50_ms: float = 0.0
    waiting_p99_ms: float = 0.0
    decision_p50_ms: float = 0.0
    decision_p99_ms: float = 0.0


class CheckResult(msgspec.Struct, kw_only=True):
    """What was promised and what the records show."""

    kinds: list[KindSummary]
    overfills: int = 0
    given_twice: int = 0
    starts_while_leaving: int = 0
    peak_connections: int = 0
    slot_seconds: float = 0.0
    violations: list[Violation] = []


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


def check_records(records, worker_records, kinds, *, since_s=0.0):
    """Compares what callers were told with what workers ran.

    Args:
        records: The callers' records.
        worker_records: The workers' records by name.
        kinds: Kinds of the configuration.
        since_s: Monotonic time before which starts are not counted.

    Returns:
        The verdict.
    """
    runs = [
        run
        for found in worker_records.values()
        for run in found
        if run.started_s >= since_s
    ]
    by_request = collections.defaultdict(lambda: collections.defaultdict(list))
    for run in runs:
        if not run.given_twice:
            request_id = task_ids.request_id_of(run.task_id)
            by_request[request_id][run.task_id].append(run)
    verdict = CheckResult(
        kinds=[],
        overfills=sum(run.overfill for run in runs),
        given_twice=sum(run.given_twice for run in runs),
        starts_while_leaving=sum(run.leaving for run in runs),
        peak_connections=max((r.connections for r in runs), default=0),
        slot_seconds=sum(max(0.0, r.ended_s - r.started_s) for r in runs),
        violations=[],
    )
    check_starts(verdict, runs)
    for kind in kinds:
        mine = [record for record in records if record.kind == kind.name]
        verdict.kinds.append(summarize_kind(kind, mine, by_request, verdict))
    return verdict


def check_starts(verdict, runs):
    """Notes the starts that a worker should not have been given."""
    for run in runs:
        if run.overfill:
            text = f"{run.task_id} was started on a full worker"
            add_violation(verdict, Guarantee.NO_OVERFILL, text)
        if run.leaving:
            text = f"{run.task_id} was started on a leaving worker"
            add_violation(verdict, Guarantee.LEAVING, text)


def add_violation(verdict, guarantee, text):
    """Adds a problem to the verdict."""
    verdict.violations.append(Violation(guarantee=guarantee, text=text))


def summarize_kind(kind, records, by_request, verdict):
    """Returns the row of one kind and notes its problems."""
    row = KindSummary(kind=kind.name, accepted=len(records))
    for record in records:
        count_outcome(row, record)
        found = list(by_request.get(record.request_id, {}).values())
        for guarantee, text in violations(kind, record, found):
            shown = f"{record.request_id} ({kind.name}): {text}"
            add_violation(verdict, guarantee, shown)
            row.lost += guarantee is Guarantee.WHOLE_ANSWER
            row.doubled += guarantee in (
                Guarantee.ONE_PLACE,
                Guarantee.AT_MOST_ONCE,
            )
    set_latencies(row, [r for r in records if r.outcome is Outcome.done])
    return row


def count_outcome(row, record):
    """Counts the outcome of one request."""
    row.done += record.outcome is Outcome.done
    row.not_run += record.outcome is Outcome.not_run
    row.unknown += record.outcome is Outcome.unknown
    row.failed += record.outcome is Outcome.failed


def set_latencies(row, done):
    """Fills in the times of the requests that are done."""
    answer = [(r.answered_s - r.due_s) * MS_PER_S for r in done]
    waiting = [r.waited_us / US_PER_MS for r in done]
    decision = [r.decision_us / US_PER_MS for r in done if r.decision_us]
    row.answer_max_ms = round(max(answer, default=0.0), 2)
    for name, values in (
        ("answer", answer),
        ("waiting", waiting),
        ("decision", decision),
    ):
        setattr(row, f"{name}_p50_ms", round(percentile(values, 0.5), 2))
        setattr(row, f"{name}_p99_ms", round(percentile(values, 0.99), 2))


def violations(kind, record, found):
    """Yields promises that are broken for one request, with the reason.

    Args:
        kind: The request's kind.
        record: The caller's record.
        found: Runs of each of the request's tasks.
    """
    if record.outcome is None:
        text = f"no final answer ({record.last_error})"
        yield Guarantee.WHOLE_ANSWER, text
    if record.outcome is Outcome.not_run and found:
        yield Guarantee.HONEST_NOT_RUN, "told not run, but it ran"
    if record.outcome is Outcome.done:
        yield from find_answer_violations(kind, record, found)
    for runs in found:
        if not kind.idempotent and len(runs) > 1:
            yield Guarantee.AT_MOST_ONCE, f"ran {len(runs)} times"
        if runs_overlap(runs):
            yield Guarantee.ONE_PLACE, "two runs at the same time"


def find_answer_violations(kind, record, found):
    """Yields what is broken about a request that was answered."""
    ended = [
        runs
        for runs in found
        if any(run.state is platform.TaskState.DONE for run in runs)
    ]
    if len(ended) < kind.tasks:
        text = f"answered, but {len(ended)} of {kind.tasks} tasks ran"
        yield Guarantee.WHOLE_ANSWER, text
    expected = ",".join(
        worker_standin.expected_result(
            task_ids.task_id(record.request_id, index, kind.tasks),
            record.payload,
        )
        for index in range(kind.tasks)
    )
    if record.result != expected:
        text = f"the answer is not its own: {record.result[:60]!r}"
        yield Guarantee.WHOLE_ANSWER, text


def runs_overlap(runs):
    """Whether two runs of one task were under way at the same time."""
    ordered = sorted(runs, key=lambda run: run.started_s)
    for earlier, later in zip(ordered, ordered[1:], strict=False):
        ended_s = earlier.ended_s or float("inf")
        if later.started_s + OVERLAP_TOLERANCE_S < ended_s:
            return True
    return False
