"""Callers learn whether a refused or unconfirmed append may be stored."""

import asyncio

import pytest

from cicadafold.controllog import appender
from cicadafold.controllog import records
from cicadafold import exception
from cicadafold.telemetry import metrics


class FakeStream:
    """A stream whose appends end as scripted.

    Args:
        script: End of each append in turn, ``ok``, ``lost`` or ``refused``;
            later appends succeed.
    """

    def __init__(self, script):
        self.script = list(script)
        self.bodies = []

    async def append(self, body):
        step = self.script.pop(0) if self.script else "ok"
        if step != "refused":
            self.bodies.append(body)
        if step == "ok":
            return len(self.bodies)
        if step == "lost":
            raise exception.LinkLost(message="lost", remedy="again")
        raise exception.LogUnavailable(message="down", remedy="later")


def run_append(script, *, retry_refused=False):
    """Appends one record; returns its offset or error, and the stream."""

    async def run_scenario():
        stream = FakeStream(script)
        control_appender = appender.Appender(
            stream=stream,
            metrics=metrics.Metrics(),
            count_members=lambda: 1,
        )
        task = asyncio.create_task(control_appender.run())
        record = records.Leave(member="a", incarnation="i")
        try:
            if retry_refused:
                control_appender.append_in_background(record)
                while control_appender.pending or not stream.bodies:
                    await asyncio.sleep(0.01)
                return None, stream
            return await control_appender.append(record), stream
        except exception.CicadafoldError as error:
            return error, stream
        finally:
            task.cancel()

    return asyncio.run(run_scenario())


def test_append_rate_of_all_processes_stays_below_limit():
    for members in (1, 7, 24):
        control_appender = appender.Appender(
            stream=FakeStream([]),
            metrics=metrics.Metrics(),
            count_members=lambda members=members: members,
        )
        assert members / control_appender.batch_delay_s() <= 100.0001


def test_refused_append_is_not_on_the_log():
    outcome, stream = run_append(["refused"])
    assert isinstance(outcome, exception.LogUnavailable)
    assert stream.bodies == []


def test_unconfirmed_append_is_repeated():
    outcome, stream = run_append(["lost", "ok"])
    assert outcome == 2
    assert stream.bodies[0] == stream.bodies[1]


def test_refusal_after_unconfirmed_append_is_reported_as_lost():
    outcome, _ = run_append(["lost", "refused"])
    assert isinstance(outcome, exception.LinkLost)


def test_background_append_is_retried_through_an_outage():
    _, stream = run_append(["refused", "refused", "ok"], retry_refused=True)
    assert len(stream.bodies) == 1


@pytest.mark.parametrize("count", [1, 40])
def test_queued_records_share_one_append(count):
    async def run_scenario():
        stream = FakeStream([])
        control_appender = appender.Appender(
            stream=stream,
            metrics=metrics.Metrics(),
            count_members=lambda: 1,
        )
        task = asyncio.create_task(control_appender.run())
        record = records.Leave(member="a", incarnation="i")
        await asyncio.gather(
            *(control_appender.append(record) for _ in range(count))
        )
        task.cancel()
        return stream

    stream = asyncio.run(run_scenario())
    assert len(stream.bodies) == 1
    assert len(records.decode_entry(stream.bodies[0])) == count


def test_refusal_expires(monkeypatch):
    """Guards against a single refusal that blocks requests forever.

    Without an expiry no append is tried, so that the process cannot detect
    that the log accepts appends again.
    """
    control_appender = appender.Appender(
        stream=FakeStream([]),
        metrics=metrics.Metrics(),
        count_members=lambda: 1,
    )
    control_appender.set_down(True)
    assert control_appender.is_refusing()
    monkeypatch.setattr(appender, "REFUSAL_EXPIRY_S", 0.0)
    assert not control_appender.is_refusing()
