"""Tests of the writers of acceptances and of progress."""

import asyncio

import pytest

from cicadafold import exception
from cicadafold.jobs import model
from cicadafold.jobs import runtime_state
from cicadafold.journal import accept_writer
from cicadafold.journal import progress_writer
from cicadafold.journal import records
from cicadafold.telemetry import metrics


def lost():
    """Returns the error of a lost answer."""
    return exception.LinkLost(message="Lost.", remedy="")


def refused():
    """Returns the error of a refused call."""
    return exception.LogUnavailable(message="Refused.", remedy="")


class FakeStore:
    """A store whose appends fail as a list says."""

    def __init__(self, failures=()):
        self.failures = list(failures)
        self.appends = []
        self.reachable = True
        self.append_timeout_s = 0.5

    async def append(
        self,
        topic,
        partition,
        entries,
        *,
        at=None,
        writer=None,
        timeout_s=None,
    ):
        """Records the append, then fails or not."""
        self.appends.append((partition, list(entries), writer))
        failure = self.failures.pop(0) if self.failures else None
        if failure is not None:
            raise failure


def rule(**fields):
    """Returns a queue."""
    known = {"name": "q", "authority": "h", "prefix": "/", "pool": "p"}
    return model.QueueRule(**(known | fields))


@pytest.fixture
def job():
    """A job of two steps."""
    spec = model.JobSpec(
        id="ab",
        rule=rule(),
        payload="x",
        steps=(
            model.StepSpec(tasks=70),
            model.StepSpec(tasks=2, after=(0,), gang=True),
        ),
    )
    made = runtime_state.Job(spec=spec, arrived_ms=0.0, wall_offset_ms=0.0)
    made.steps_of(0)
    return made


async def written(store, deadline_s=1.0):
    """Writes one record and returns what came of it."""
    writer = accept_writer.AcceptWriter(
        store=store, first_partition=0, metrics=metrics.Metrics()
    )
    running = asyncio.create_task(writer.run())
    loop = asyncio.get_running_loop()
    try:
        await writer.write("k", b"v", deadline_s=loop.time() + deadline_s)
    finally:
        running.cancel()


def test_record_moves_to_the_next_partition_after_a_failure():
    """A failed append is repeated in another partition."""
    store = FakeStore([refused(), lost()])
    asyncio.run(written(store))
    assert [partition for partition, _, _ in store.appends] == [0, 1, 2]


def test_record_that_may_be_stored_is_not_called_refused():
    """A lost answer makes the outcome unknown, never refused."""
    store = FakeStore([lost()] + [refused()] * 1000)
    with pytest.raises(exception.OutcomeUnknown):
        asyncio.run(written(store, deadline_s=0.2))


def test_record_that_was_refused_is_not_stored():
    """Refusals alone mean that the record is not in the log."""
    store = FakeStore([refused()] * 1000)
    with pytest.raises(exception.LogUnavailable):
        asyncio.run(written(store, deadline_s=0.2))


def test_store_out_of_reach_is_not_waited_for():
    """Nothing is sent, and the refusal comes at once."""
    store = FakeStore()
    store.reachable = False
    with pytest.raises(exception.LogUnavailable) as caught:
        asyncio.run(written(store, deadline_s=60.0))
    assert store.appends == []
    assert caught.value.retry_after_ms > 0


def test_progress_in_doubt_is_repeated_under_its_number(job):
    """A partition gets its doubtful append again before a new one."""

    async def scenario():
        store = FakeStore([lost(), lost()])
        writer = progress_writer.ProgressWriter(
            store=store,
            term=5,
            metrics=metrics.Metrics(),
            on_durable=lambda jobs: None,
        )
        writer.record_job(job)
        running = asyncio.create_task(writer.run())
        while writer.durable_batch < 1:
            await asyncio.sleep(0.01)
        running.cancel()
        by_partition = {}
        for partition, entries, sent in store.appends:
            by_partition.setdefault(partition, []).append((entries, sent))
        first = by_partition[0]
        assert first[0] == first[1]
        assert [sent for _, sent in first][:2] == [("scheduler", 5, 1)] * 2

    asyncio.run(scenario())


def test_fenced_writer_stops(job):
    """A later term ends the writer instead of being retried."""
    fenced = exception.LogFenced(message="", remedy="")

    async def scenario():
        writer = progress_writer.ProgressWriter(
            store=FakeStore([fenced]),
            term=5,
            metrics=metrics.Metrics(),
            on_durable=lambda jobs: None,
        )
        writer.record_job(job)
        await writer.run()

    with pytest.raises(exception.LogFenced):
        asyncio.run(scenario())


def test_progress_survives_its_record(job):
    """Done tasks, failures and checkpoints come back from a record."""
    step = job.steps[0][0]
    step.mark_done(step.tasks[69])
    step.tasks[3].failed_attempts.add(7)
    step.tasks[4].save_checkpoint("c4", 40.0)
    job.steps[0][1].failed_attempts.add(8)
    record = records.encode(records.progress_record(job, term=2, version=9))
    restored = runtime_state.Job(
        spec=job.spec, arrived_ms=0.0, wall_offset_ms=0.0
    )
    records.apply_progress(restored, records.decode_progress(record))
    again = restored.steps[0][0]
    assert [task.index for task in again.tasks if task.done] == [69]
    assert again.tasks[3].failed_attempts == {7}
    assert again.tasks[4].checkpoint == "c4"
    assert restored.steps[0][1].failed_attempts == {8}


def test_records_that_wait_go_in_one_append():
    """While an append is on its way, the others gather for the next."""

    class SlowStore(FakeStore):
        async def append(self, *arguments, **options):
            await super().append(*arguments, **options)
            await asyncio.sleep(0.05)

    async def scenario():
        store = SlowStore()
        writer = accept_writer.AcceptWriter(
            store=store, first_partition=0, metrics=metrics.Metrics()
        )
        running = asyncio.create_task(writer.run())
        deadline_s = asyncio.get_running_loop().time() + 5.0
        writes = []
        for number in range(20):
            writes.append(
                asyncio.create_task(
                    writer.write(f"k{number}", b"v", deadline_s=deadline_s)
                )
            )
            await asyncio.sleep(0.002)
        await asyncio.gather(*writes)
        running.cancel()
        assert len(store.appends) <= 3

    asyncio.run(scenario())
