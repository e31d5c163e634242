"""Tests of records that would be larger than the store accepts."""

import asyncio
import random
import types

import msgspec
import pytest

from cicadafold import exception
from cicadafold.job_service import service as service_module
from cicadafold.jobs import model
from cicadafold.jobs import runtime_state
from cicadafold.journal import progress_writer
from cicadafold.journal import reader
from cicadafold.journal import record_limits
from cicadafold.journal import records
from cicadafold.platform import store_answers
from cicadafold.telemetry import metrics

RULE = model.QueueRule("q", "h", "/", "p")
LIMITS = record_limits.RecordLimits()


class Store:
    """A store that refuses what is larger than its limits.

    Attributes:
        newest_values: Newest value by partition and key.
        refused: Number of refused appends.
    """

    def __init__(self):
        self.newest_values = {}
        self.refused = 0

    async def append(self, topic, partition, entries, *, writer=None):
        """Appends entries, or refuses them with status 400."""
        sizes = [1 + len(key) + len(value) + 4 for key, value in entries]
        if max(sizes, default=0) > LIMITS.record_bytes + 4 or (
            sum(sizes) > LIMITS.call_bytes
        ):
            self.refused += 1
            raise store_answers.unavailable_error("log-append", "status 400")
        for key, value in entries:
            self.newest_values[partition, key] = value

    async def newest_page(self, topic, partition, after, *, on_progress):
        """Returns the newest records of a partition as one page."""
        found = [
            types.SimpleNamespace(key=key, value=value)
            for (place, key), value in self.newest_values.items()
            if place == partition and topic == records.PROGRESS_TOPIC
        ]
        return store_answers.NewestPage(0, found, "")


@pytest.fixture
def store():
    """Returns an empty store."""
    return Store()


def known_worker(number):
    """Returns the record of a worker."""
    report = model.WorkerReport(
        id=f"i-{number:08x}",
        pool="pool-a",
        address=f"10.128.{number // 256}.{number % 256}:8080",
        domain="marmara-a",
        draining=False,
        remaining_ms=0,
        born_ms=1_796_000_000_000,
        capacity=model.Resources(16000, 32768, 0),
        labels=("a", "r1-3"),
        sequence=4,
    )
    return records.KnownWorker(report, None, 1_796_000_000_000)


def make_job(steps, tasks):
    """Returns a job with steps of a number of tasks."""
    spec = model.JobSpec(
        "00000000000000ab",
        RULE,
        "x",
        tuple(model.StepSpec(tasks) for _ in range(steps)),
    )
    job = runtime_state.Job(spec=spec, arrived_ms=0.0, wall_offset_ms=0.0)
    job.steps_of(0)
    return job


def write(store, record):
    """Records something with a progress writer and reads the journal back."""

    async def scenario():
        writer = progress_writer.ProgressWriter(
            store=store,
            term=5,
            metrics=metrics.Metrics(),
            on_durable=lambda states: None,
        )
        record(writer)
        running = asyncio.create_task(writer.run())
        while writer.durable_batch < 1:
            await asyncio.sleep(0.01)
        running.cancel()
        return await reader.read_journal(store)

    return asyncio.run(asyncio.wait_for(scenario(), 10.0))


def test_record_of_many_workers_is_stored_in_parts(store):
    """At the planned size it was refused, and no job was ever completed."""
    workers = [known_worker(number) for number in range(3400)]
    state = write(store, lambda writer: writer.record_workers(workers))
    assert state.workers.workers == workers
    assert store.refused == 0


def test_worker_with_many_tasks_is_stored(store):
    """The tasks of a silent worker are part of its record."""
    workers = [known_worker(number) for number in range(40)]
    for worker in workers:
        worker.tasks = [
            model.TaskName(f"{number:016x}", 0, 0, number)
            for number in range(1000)
        ]
    state = write(store, lambda writer: writer.record_workers(workers))
    assert state.workers.workers == workers


def test_older_record_of_the_workers_is_not_used():
    """A worker that it names as closed may have got tasks since."""
    workers = [known_worker(number) for number in range(1200)]

    def parts(version):
        found = records.KnownWorkers(5, version, workers)
        entries = records.workers_entries(found, LIMITS)
        return [records.decode_workers(value) for _, value in entries]

    mixed = parts(1) + parts(2)
    random.Random(1).shuffle(mixed)
    found = records.join_workers(mixed)
    assert (found.version, found.workers) == (2, workers)
    for missing in range(3):
        incomplete = parts(1) + parts(2)
        del incomplete[3 + missing]
        assert records.join_workers(incomplete) is None
    assert records.join_workers([]) is None


def test_job_with_many_checkpoints_does_not_block_the_others(store):
    """Its record was refused and repeated for ever, with all behind it."""
    large, small = make_job(1, 20_000), make_job(1, 2)
    for task in large.steps[0][0].tasks:
        task.save_checkpoint("00000bb87a21d94b", 41.5)
    large.steps[0][0].mark_done(large.steps[0][0].tasks[7])
    small.spec = model.JobSpec("00000000000000cd", RULE, "x", ())

    def record(writer):
        writer.record_job(large)
        writer.record_job(small)

    state = write(store, record)
    assert set(state.progress) == {large.spec.id, small.spec.id}
    assert state.progress[large.spec.id].done == [(0, 0, f"{1 << 7:x}")]
    assert store.refused == 0


def test_large_batch_is_split_by_size(store):
    """Many records that fit may be more than one append may carry."""
    jobs = []
    for number in range(30):
        job = make_job(1, 4000)
        job.spec = model.JobSpec(f"{number:016x}", RULE, "x", job.spec.steps)
        for task in job.steps[0][0].tasks:
            task.save_checkpoint("00000bb87a21d94b", 41.5)
        jobs.append(job)
    state = write(store, lambda writer: list(map(writer.record_job, jobs)))
    assert len(state.progress) == 30
    assert all(
        len(each.checkpoints) == 4000 for each in state.progress.values()
    )


def test_job_whose_record_is_too_large_is_refused_at_once():
    """Its append was refused together with those of other callers' jobs."""
    spec = make_job(20_000, 1).spec
    spec = model.JobSpec(
        spec.id,
        RULE,
        "x",
        tuple(
            model.StepSpec(1, model.Resources(500, 256, 0), 900)
            for _ in range(20_000)
        ),
    )
    writer = types.SimpleNamespace(write=None)
    service = service_module.JobService(
        writer=writer,
        relay_writer=None,
        scheduler=None,
        isolated=lambda: False,
        store=None,
        metrics=metrics.Metrics(),
    )
    with pytest.raises(exception.TooLarge, match="limit of 262144"):
        asyncio.run(service.submit(spec, deadline_s=1e12))


def test_progress_that_cannot_be_recorded_leaves_the_other_jobs(store):
    """The records of the whole batch were lost, and the term ended."""
    odd, other = make_job(1, 4), make_job(1, 4)
    other.spec = msgspec.structs.replace(other.spec, id="00000000000000cd")
    for job in (odd, other):
        job.steps_of(0)[0].mark_done(job.steps_of(0)[0].tasks[1])
    odd.steps_of(0)[0].tasks[2].failed_attempts = {1, "odd"}

    def record(writer):
        """Records both jobs in one batch."""
        writer.record_job(odd)
        writer.record_job(other)

    state = write(store, record)
    done = [(0, 0, "2")]
    found = {
        job: [tuple(x) for x in state.progress[job].done]
        for job in (odd.spec.id, other.spec.id)
    }
    assert found == {odd.spec.id: done, other.spec.id: done}
