"""Tests of records in the journal that no process of the cell has written.

Each reader skips them, goes on with the others, and logs each once.
"""

import asyncio
import logging

import msgspec
import pytest

from cicadafold.jobs import model
from cicadafold.jobs import runtime_state
from cicadafold.journal import reader
from cicadafold.journal import records
from cicadafold.journal import stored_records
from cicadafold.platform import store_answers

JOB = "00000000000000aa"
OTHER = "00000000000000bb"
STEP = {"tasks": 2, "need": [1000, 64, 0]}
RULE = {"name": "q", "authority": "h", "prefix": "/", "pool": "p"}
SPEC = {"id": JOB, "rule": RULE, "payload": "x", "steps": [STEP]}
ODD_STEPS = [
    {"after": [0]},
    {"after": [7]},
    {"after": [-1]},
    {"after": [2**63]},
    {"tasks": 0},
    {"tasks": -1},
    {"tasks": 10**9},
    {"need": [-1, 0, 0]},
    {"need": [2**63, 0, 0]},
    {"estimate_ms": 2**63},
    {"estimate_ms": -1},
    {"per_host": -1},
]
ODD_RULES = [
    {"stretch": float("nan")},
    {"stretch": float("inf")},
    {"target_ms": 1e308},
    {"target_ms": -1.0},
    {"priority": 2**63},
    {"advice": {"base_ms": 1e308, "per_host_ms": 1e308, "valid_ms": 1.0}},
]
ODD_FIELDS = [
    {"id": OTHER},
    {"id": "a.b"},
    {"accepted_ms": 2**63},
    {"waited_ms": -(2**62)},
    {"repeats": 2**63},
    {"interval_ms": -(2**62)},
    {"team": {"name": "t", "weight": float("nan")}},
    {"team": {"name": "t", "cap": [-5, 0, 0]}},
    {"steps": [STEP | {"tasks": 20_000}] * 2},
]
ODD_SPECS = [
    *(SPEC | {"steps": [STEP | odd]} for odd in ODD_STEPS),
    *(SPEC | {"rule": RULE | odd} for odd in ODD_RULES),
    *(SPEC | odd for odd in ODD_FIELDS),
]
ODD_VALUES = [
    b"",
    b"\xc1",
    b"{}",
    b"\x91" * 100_000,
    b"\x81\xa1a" * 100_000,
    *map(msgspec.msgpack.encode, ODD_SPECS),
]
ODD_KEYS = [
    "",
    "a/",
    "x/",
    "a",
    f"b/{JOB}",
    "a/a.b",
    "x/" + "\ufffd" * 253,
    "a/" + "9" * 250,
    "x/\u0661",
]
# Fields of a ``JobProgress`` that do not fit a job with one step of two tasks.
ODD_PROGRESS = [
    {"done": [(0, 1, "1")]},
    {"done": [(0, -1, "1")]},
    {"done": [(1, 0, "1")]},
    {"done": [(0, 0, "x")]},
    {"done": [(0, 0, "-1")]},
    {"done": [(2**63, 0, "1")]},
    {"finished": [1]},
    {"finished": [-1]},
    {"failures": [(0, 0, 2, [1])]},
    {"failures": [(0, 5, -1, [1])]},
    {"failures": [(0, 0, -2, [1])]},
    {"checkpoints": [(0, 0, 2, "c", 5.0)]},
    {"checkpoints": [(0, 0, -1, "c", 5.0)]},
    {"crashes": [(0, 0, 9, (), [])]},
]


@pytest.fixture
def state():
    """A journal of which nothing has been read."""
    stored = stored_records.StoredRecords
    return reader.JournalState({}, set(), {}, {}, stored(), stored())


def other_job():
    """Returns key and value of the record of another job."""
    document = SPEC | {"id": OTHER}
    return f"a/{OTHER}", msgspec.msgpack.encode(document)


@pytest.mark.parametrize("value", ODD_VALUES, ids=range(len(ODD_VALUES)))
def test_odd_record_of_a_job_is_not_added(state, value):
    """Each scheduler ended its term when it added the job."""
    state.apply(0, f"a/{JOB}", value)
    state.apply(0, *other_job())
    assert list(state.specs) == [OTHER]


@pytest.mark.parametrize("key", ODD_KEYS)
def test_odd_key_is_skipped_and_logged_once(state, key, caplog):
    """Its record could not be deleted, which ended each term."""
    with caplog.at_level(logging.WARNING):
        for _ in range(3):
            assert state.apply(0, key, other_job()[1]) is None
    state.apply(0, *other_job())
    assert list(state.specs) == [OTHER]
    assert not state.cancelled
    assert list(state.stored.keys) == [OTHER]
    assert len(caplog.records) == 1


@pytest.mark.parametrize("odd", ODD_PROGRESS, ids=range(len(ODD_PROGRESS)))
def test_progress_of_another_job_changes_nothing(odd):
    """Each scheduler ended its term when it restored the job."""
    spec = msgspec.convert(SPEC, model.JobSpec)
    job = runtime_state.Job(spec=spec, arrived_ms=0.0, wall_offset_ms=0.0)
    fitting = {"done": [(0, 0, "1")], "failures": [(0, 0, 1, [3])]}
    progress = records.JobProgress(1, 1, "running", **fitting | odd)
    with pytest.raises(ValueError, match=r"."):
        records.apply_progress(job, progress)
    assert not job.started
    assert not any(task.done for task in job.steps_of(0)[0].tasks)


@pytest.mark.parametrize("word", ["", "Running", "done", "9" * 5000])
def test_progress_with_an_unknown_state_is_refused(word):
    """Each scheduler ended its term when it restored an ended job."""
    value = msgspec.msgpack.encode([1, 1, word])
    with pytest.raises(msgspec.DecodeError):
        records.decode_progress(value)


def test_end_of_a_job_holds_for_another_submission_of_it():
    """The job ran again if it was submitted again with fewer steps."""
    spec = msgspec.convert(SPEC, model.JobSpec)
    job = runtime_state.Job(spec=spec, arrived_ms=0.0, wall_offset_ms=0.0)
    progress = records.JobProgress(1, 1, "completed", finished=[7])
    records.apply_progress(job, progress)
    assert job.state is model.JobState.COMPLETED


class PagedStore:
    """A store whose first progress partitions hold given records.

    Args:
        pages: Values by key, one map for each partition.
    """

    def __init__(self, *, pages):
        self.pages = pages

    async def newest_page(self, topic, partition, after, *, on_progress):
        """Returns the newest records of a partition as one page."""
        page = {}
        if topic == records.PROGRESS_TOPIC and partition < len(self.pages):
            page = self.pages[partition]
        found = [store_answers.NewestRecord(*each, 0) for each in page.items()]
        return store_answers.NewestPage(len(found), found, "")


@pytest.mark.parametrize("odd_term", [-1, 5000, 2**62])
def test_record_of_a_term_that_has_not_started_hides_no_other(odd_term):
    """It counted as the newest one in each later term."""
    pages = [
        {
            JOB: records.JobProgress(3, 1, "completed"),
            "workers": records.KnownWorkers(3, 1, []),
        },
        {
            JOB: records.JobProgress(odd_term, 1, "queued"),
            "workers.7": records.KnownWorkers(odd_term, 1, []),
        },
    ]
    encoded = [
        {key: msgspec.msgpack.encode(value) for key, value in page.items()}
        for page in pages
    ]
    store = PagedStore(pages=encoded)
    state = asyncio.run(reader.read_journal(store, term=4))
    assert state.progress[JOB].state == "completed"
    assert state.workers.term == 3
