"""Tests of ``AcceptWriter``, ``ProgressWriter`` and their records."""

import asyncio

import pytest

from cicadafold import exception
from cicadafold.jobs import model
from cicadafold.jobs import runtime_state
from cicadafold.journal import accept_writer
from cicadafold.journal import progress_writer
from cicadafold.journal import records
from cicadafold.telemetry import metrics


def lost_answer():
    """Returns the error of an append whose answer is lost."""
    return exception.LinkLost(message="Lost.", remedy="")


def refusal():
    """Returns the error of an append that the store refuses."""
    return exception.LogUnavailable(message="Refused.", remedy="")


class FakeStore:
    """A store that records appends and raises given errors.

    Args:
        failures: Error of each append in turn, None for one that succeeds;
            appends after the last one succeed.
    """

    def __init__(self, failures=()):
        self.failures = list(failures)
        self.appends = []
        self.reachable = True
        self.slow = False
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
        """Records the append, and raises the next error if there is one."""
        self.appends.append((partition, list(entries), writer))
        failure = self.failures.pop(0) if self.failures else None
        if failure is not None:
            raise failure


def rule(**fields):
    """Returns the configuration of a queue, changed by given fields."""
    known = {"name": "q", "authority": "h", "prefix": "/", "pool": "p"}
    return model.QueueRule(**(known | fields))


@pytest.fixture
def job():
    """A job of two steps, the second of which is a gang."""
    spec = model.JobSpec(
        id="ab",
        rule=rule(),
        payload="x",
        steps=(
            model.StepSpec(tasks=70),
            model.StepSpec(tasks=2, after=(0,), gang=True),
        ),
    )
    created = runtime_state.Job(spec=spec, arrived_ms=0.0, wall_offset_ms=0.0)
    created.steps_of(0)
    return created


def make_progress_writer(store):
    """Returns the progress writer of the fifth term."""
    return progress_writer.ProgressWriter(
        store=store,
        term=5,
        metrics=metrics.Metrics(),
        on_durable=lambda jobs: None,
    )


async def write_record(store, deadline_s=1.0, **options):
    """Writes a record with an ``AcceptWriter`` and raises its error."""
    writer = accept_writer.AcceptWriter(
        store=store, metrics=metrics.Metrics(), **options
    )
    running = asyncio.create_task(writer.run())
    loop = asyncio.get_running_loop()
    try:
        await writer.write("k", b"v", deadline_s=loop.time() + deadline_s)
    finally:
        running.cancel()


def test_append_is_repeated_in_the_next_partition():
    """Both a refusal and a lost answer switch the partition."""
    store = FakeStore([refusal(), lost_answer()])
    asyncio.run(write_record(store))
    assert [partition for partition, _, _ in store.appends] == [0, 1, 2]


def test_record_is_relayed_when_a_slow_store_does_not_confirm_it():
    """The append is not repeated, but left to the scheduler's process."""
    store = FakeStore([lost_answer()])
    store.slow = True
    with pytest.raises(exception.AppendSlow):
        asyncio.run(write_record(store, relay_open=lambda: True))
    assert len(store.appends) == 1


def test_record_is_appended_again_if_it_cannot_be_relayed():
    """Without a link to the scheduler the next partition is used."""
    store = FakeStore([lost_answer()])
    store.slow = True
    asyncio.run(write_record(store))
    assert [partition for partition, _, _ in store.appends] == [0, 1]


def test_unexpected_error_leaves_no_caller_waiting():
    """The outcome of the batch is unknown, and the writer ends."""
    store = FakeStore([ZeroDivisionError()])
    with pytest.raises(exception.OutcomeUnknown):
        asyncio.run(asyncio.wait_for(write_record(store), 1.0))


def test_relayed_records_use_partitions_of_their_own():
    """They do not wait for the appends of the entry hosts."""
    store = FakeStore([refusal(), refusal()])
    partitions = accept_writer.RELAY_PARTITIONS
    asyncio.run(write_record(store, partitions=partitions))
    assert [partition for partition, _, _ in store.appends] == [4, 5, 4]
    assert not set(partitions) & set(accept_writer.DIRECT_PARTITIONS)


def test_outcome_is_unknown_after_a_lost_answer():
    """Refusals after a lost answer do not prove the record not stored."""
    store = FakeStore([lost_answer()] + [refusal()] * 1000)
    with pytest.raises(exception.OutcomeUnknown):
        asyncio.run(write_record(store, deadline_s=0.2))


def test_refused_record_is_reported_as_not_stored():
    """If all appends were refused, the record is not in the journal."""
    store = FakeStore([refusal()] * 1000)
    with pytest.raises(exception.LogUnavailable):
        asyncio.run(write_record(store, deadline_s=0.2))


def test_record_fails_at_once_if_the_store_is_unreachable():
    """Nothing is sent, and the caller is told to retry elsewhere."""
    store = FakeStore()
    store.reachable = False
    with pytest.raises(exception.LogUnavailable) as caught:
        asyncio.run(write_record(store, deadline_s=60.0))
    assert store.appends == []
    assert caught.value.retry_after_ms > 0


def test_unconfirmed_append_is_repeated_with_its_sequence(job):
    """A partition gets its unconfirmed append again before a new one."""

    async def scenario():
        store = FakeStore([lost_answer(), lost_answer()])
        writer = make_progress_writer(store)
        writer.record_job(job)
        running = asyncio.create_task(writer.run())
        while writer.durable_batch < 1:
            await asyncio.sleep(0.01)
        running.cancel()
        by_partition = {}
        for partition, entries, writer_id in store.appends:
            by_partition.setdefault(partition, []).append((entries, writer_id))
        first = by_partition[0]
        assert first[0] == first[1]
        assert [writer_id for _, writer_id in first][:2] == [
            ("scheduler", 5, 1)
        ] * 2

    asyncio.run(scenario())


def test_fence_of_a_later_term_ends_the_writer(job):
    """The writer raises ``LogFenced`` instead of repeating the append."""
    fenced = exception.LogFenced(message="", remedy="")

    async def scenario():
        writer = make_progress_writer(FakeStore([fenced]))
        writer.record_job(job)
        await writer.run()

    with pytest.raises(exception.LogFenced):
        asyncio.run(scenario())


def test_removed_progress_leaves_no_older_record(job):
    """An older record in another partition read as an unfinished job."""

    async def scenario():
        store = FakeStore([None, lost_answer()])
        writer = make_progress_writer(store)
        running = asyncio.create_task(writer.run())
        for batch in (1, 2):
            writer.record_job(job)
            while writer.durable_batch < batch:
                await asyncio.sleep(0.01)
        writer.record_removal("ab")
        while writer.removed or writer.stored.keys:
            await asyncio.sleep(0.01)
        running.cancel()
        newest = {}
        for partition, entries, _ in store.appends:
            newest |= {(partition, key): value for key, value in entries}
        assert set(newest) == {(0, "ab"), (1, "ab")}
        assert not any(newest.values())
        deletions = [
            partition
            for partition, entries, _ in store.appends
            if entries == [("ab", b"")]
        ]
        assert deletions == [0, 1]

    asyncio.run(asyncio.wait_for(scenario(), 5.0))


def test_failed_removal_does_not_hold_up_later_batches(job):
    """It is tried again after a pause, not before each batch."""

    async def scenario():
        store = FakeStore([None, *[lost_answer()] * 2])
        writer = make_progress_writer(store)
        running = asyncio.create_task(writer.run())
        writer.record_job(job)
        while writer.durable_batch < 1:
            await asyncio.sleep(0.01)
        writer.record_removal("ab")
        while not writer.next_deletion_ms:
            await asyncio.sleep(0.01)
        writer.record_workers([])
        while writer.durable_batch < 3:
            await asyncio.sleep(0.01)
        running.cancel()
        assert writer.removed == ["ab"]
        assert [partition for partition, _, _ in store.appends] == [0, 0, 0, 1]

    asyncio.run(asyncio.wait_for(scenario(), 5.0))


def test_progress_is_restored_from_its_record(job):
    """Done tasks, failed attempts and checkpoints are restored."""
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
    restored_step = restored.steps[0][0]
    assert [task.index for task in restored_step.tasks if task.done] == [69]
    assert restored_step.tasks[3].failed_attempts == {7}
    assert restored_step.tasks[4].checkpoint == "c4"
    assert restored.steps[0][1].failed_attempts == {8}


def test_records_gather_while_an_append_is_in_flight():
    """Twenty records written during slow appends need three at most."""

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
