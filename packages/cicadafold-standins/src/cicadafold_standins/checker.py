"""Checks guarantees by comparing the records of callers and workers."""

import collections
import enum

from cicadafold.ownership import task_ids
from cicadafold.platform import messages as platform
from cicadafold_schema import messages
import msgspec

from cicadafold_standins import worker as worker_standin

__all__ = [
    "CheckResult",
    "Guarantee",
    "KindSummary",
    "Violation",
    "check_records",
]

Outcome = messages.Outcome
OVERLAP_TOLERANCE_S = 0.001
MS_PER_S = 1000
US_PER_MS = 1000


class Guarantee(enum.Enum):
    """A guarantee that the scheduler must keep under all faults."""

    NO_OVERFILL = "no worker runs more than its capacity"
    ONE_RUN_AT_A_TIME = "no task has two run attempts at the same time"
    WHOLE_ANSWER = "each caller gets the complete answer to its own request"
    HONEST_NOT_RUN = "a request answered as not run has not run"
    AT_MOST_ONCE = "tasks of non-idempotent requests run at most once"
    LEAVING_WORKER = "a leaving worker gets no new tasks"
    GRACEFUL_STOP = "a planned stop cuts off no request in flight"
    CONFIGURATION = "accepted configuration is in force everywhere and is kept"


class Violation(msgspec.Struct, kw_only=True):
    """A violated guarantee and a sentence that tells where."""

    guarantee: Guarantee
    text: str


class KindSummary(msgspec.Struct, kw_only=True):
    """Counts and latencies of the requests of one kind.

    Attributes:
        accepted: Number of requests submitted.
        lost: Violations for a missing, incomplete or wrong answer.
        doubled: Violations for a task that ran twice or in two places.
    """

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
    """Result of a check.

    Attributes:
        kinds: Counts and latencies by kind.
        overfills: Starts on a worker without free capacity.
        given_twice: Starts refused because the task ran or was done there.
        starts_while_leaving: Starts on a worker that was leaving.
        peak_connections: Most open connections of a worker at any start.
        slot_seconds: Total run time of all run attempts in seconds.
        violations: Violated guarantees.
    """

    kinds: list[KindSummary]
    overfills: int = 0
    given_twice: int = 0
    starts_while_leaving: int = 0
    peak_connections: int = 0
    slot_seconds: float = 0.0
    violations: list[Violation] = []


def percentile(values, share):
    """Returns a percentile of values, or 0 if there are none.

    Examples:
        >>> percentile([3, 1, 2], 0.5)
        2
    """
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def check_records(records, worker_records, kinds, *, since_s=0.0):
    """Compares the callers' answers with the workers' run records.

    Args:
        records: The callers' records.
        worker_records: The workers' run records by worker name.
        kinds: Kinds of the configuration.
        since_s: Monotonic time in seconds; earlier starts are ignored.

    Returns:
        The result with all violations.
    """
    runs = [
        run
        for worker_runs in worker_records.values()
        for run in worker_runs
        if run.started_s >= since_s
    ]
    by_request = collections.defaultdict(lambda: collections.defaultdict(list))
    for run in runs:
        if not run.given_twice:
            request_id = task_ids.request_id_of(run.task_id)
            by_request[request_id][run.task_id].append(run)
    result = CheckResult(
        kinds=[],
        overfills=sum(run.overfill for run in runs),
        given_twice=sum(run.given_twice for run in runs),
        starts_while_leaving=sum(run.leaving for run in runs),
        peak_connections=max((r.connections for r in runs), default=0),
        slot_seconds=sum(max(0.0, r.ended_s - r.started_s) for r in runs),
        violations=[],
    )
    check_starts(result, runs)
    for kind in kinds:
        kind_records = [
            record for record in records if record.kind == kind.name
        ]
        result.kinds.append(
            summarize_kind(kind, kind_records, by_request, result)
        )
    return result


def check_starts(result, runs):
    """Adds a violation for each start on a full or leaving worker."""
    for run in runs:
        if run.overfill:
            text = f"{run.task_id} was started on a full worker"
            add_violation(result, Guarantee.NO_OVERFILL, text)
        if run.leaving:
            text = f"{run.task_id} was started on a leaving worker"
            add_violation(result, Guarantee.LEAVING_WORKER, text)


def add_violation(result, guarantee, text):
    """Adds a violation to the result."""
    result.violations.append(Violation(guarantee=guarantee, text=text))


def summarize_kind(kind, records, by_request, result):
    """Returns the summary of one kind and adds its violations."""
    row = KindSummary(kind=kind.name, accepted=len(records))
    for record in records:
        count_outcome(row, record)
        task_runs = list(by_request.get(record.request_id, {}).values())
        for guarantee, text in find_violations(kind, record, task_runs):
            described = f"{record.request_id} ({kind.name}): {text}"
            add_violation(result, guarantee, described)
            row.lost += guarantee is Guarantee.WHOLE_ANSWER
            row.doubled += guarantee in (
                Guarantee.ONE_RUN_AT_A_TIME,
                Guarantee.AT_MOST_ONCE,
            )
    set_latencies(row, [r for r in records if r.outcome is Outcome.done])
    return row


def count_outcome(row, record):
    """Adds the outcome of one request to the counts of its kind."""
    row.done += record.outcome is Outcome.done
    row.not_run += record.outcome is Outcome.not_run
    row.unknown += record.outcome is Outcome.unknown
    row.failed += record.outcome is Outcome.failed


def set_latencies(row, done):
    """Sets the latency percentiles from the records of done requests."""
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


def find_violations(kind, record, task_runs):
    """Yields each violated guarantee of one request with the reason.

    Args:
        kind: The request's kind.
        record: The caller's record.
        task_runs: Run attempts of each of the request's tasks.
    """
    if record.outcome is None:
        text = f"no final answer; last error: {record.last_error}"
        yield Guarantee.WHOLE_ANSWER, text
    if record.outcome is Outcome.not_run and task_runs:
        yield Guarantee.HONEST_NOT_RUN, "answered as not run, but it ran"
    if record.outcome is Outcome.done:
        yield from find_answer_violations(kind, record, task_runs)
    for runs in task_runs:
        if not kind.idempotent and len(runs) > 1:
            yield Guarantee.AT_MOST_ONCE, f"a task ran {len(runs)} times"
        if runs_overlap(runs):
            yield (
                Guarantee.ONE_RUN_AT_A_TIME,
                "a task had two run attempts at the same time",
            )


def find_answer_violations(kind, record, task_runs):
    """Yields the violations of a request that was answered as done."""
    done = [
        runs
        for runs in task_runs
        if any(run.state is platform.TaskState.DONE for run in runs)
    ]
    if len(done) < kind.tasks:
        text = f"answered as done, but {len(done)} of {kind.tasks} tasks were"
        yield Guarantee.WHOLE_ANSWER, text
    expected = ",".join(
        worker_standin.expected_result(
            task_ids.task_id(record.request_id, index, kind.tasks),
            record.payload,
        )
        for index in range(kind.tasks)
    )
    if record.result != expected:
        text = f"answered with an unexpected result: {record.result[:60]!r}"
        yield Guarantee.WHOLE_ANSWER, text


def runs_overlap(runs):
    """Whether two run attempts of one task overlapped in time."""
    ordered = sorted(runs, key=lambda run: run.started_s)
    for earlier, later in zip(ordered, ordered[1:], strict=False):
        ended_s = earlier.ended_s or float("inf")
        if later.started_s + OVERLAP_TOLERANCE_S < ended_s:
            return True
    return False
