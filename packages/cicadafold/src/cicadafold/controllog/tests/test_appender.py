"""Appends whose answers are lost or refused are settled truthfully."""

import asyncio

import pytest

from cicadafold.controllog import appender
from cicadafold.controllog import records
from cicadafold import exception
from cicadafold.telemetry import metrics


class FakeStream:
    """A stream that answers as a script says."""

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
    """Appends one record and returns the outcome and the stream."""

    async def go():
        stream = FakeStream(script)
        made = appender.Appender(
            stream=stream,
            metrics=metrics.Metrics(),
            count_members=lambda: 1,
        )
        task = asyncio.create_task(made.run())
        record = records.Leave(member="a", incarnation="i")
        try:
            if retry_refused:
                made.append_in_background(record)
                while made.pending or not stream.bodies:
                    await asyncio.sleep(0.01)
                return None, stream
            return await made.append(record), stream
        except exception.CicadafoldError as error:
            return error, stream
        finally:
            task.cancel()

    return asyncio.run(go())


def test_all_members_together_stay_below_the_append_rate():
    for members in (1, 7, 24):
        made = appender.Appender(
            stream=FakeStream([]),
            metrics=metrics.Metrics(),
            count_members=lambda members=members: members,
        )
        assert members / made.batch_delay_s() <= 100.0001


def test_refused_append_is_surely_not_on_the_log():
    outcome, stream = run_append(["refused"])
    assert isinstance(outcome, exception.LogUnavailable)
    assert stream.bodies == []


def test_lost_answer_is_repeated():
    outcome, stream = run_append(["lost", "ok"])
    assert outcome == 2
    assert stream.bodies[0] == stream.bodies[1]


def test_lost_then_refused_is_not_called_refused():
    outcome, _ = run_append(["lost", "refused"])
    assert isinstance(outcome, exception.LinkLost)


def test_lasting_record_outlives_an_outage():
    _, stream = run_append(["refused", "refused", "ok"], retry_refused=True)
    assert len(stream.bodies) == 1


@pytest.mark.parametrize("count", [1, 40])
def test_records_that_gather_share_one_append(count):
    async def go():
        stream = FakeStream([])
        made = appender.Appender(
            stream=stream,
            metrics=metrics.Metrics(),
            count_members=lambda: 1,
        )
        task = asyncio.create_task(made.run())
        record = records.Leave(member="a", incarnation="i")
        await asyncio.gather(*(made.append(record) for _ in range(count)))
        task.cancel()
        return stream

    stream = asyncio.run(go())
    assert len(stream.bodies) == 1
    assert len(records.decode_entry(stream.bodies[0])) == count


def test_log_is_tried_again_after_a_refusal(monkeypatch):
    """Failed before: one refusal kept the ledger closed for good."""
    made = appender.Appender(
        stream=FakeStream([]),
        metrics=metrics.Metrics(),
        count_members=lambda: 1,
    )
    made.set_down(True)
    assert made.is_refusing()
    monkeypatch.setattr(appender, "REFUSAL_EXPIRY_S", 0.0)
    assert not made.is_refusing()
