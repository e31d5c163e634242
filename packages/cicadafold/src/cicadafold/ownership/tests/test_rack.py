"""Tests of the owner of a rack: capacity, leases, fences, answers."""

import asyncio

import pytest

from cicadafold.ownership import rack
from cicadafold.ownership import target_link
from cicadafold.peerlink import frames
from cicadafold_schema import messages
from cicadafold_standins import fakes

Status = frames.ReplyStatus


@pytest.fixture
def run_on_rack():
    """Returns a function that runs a test body on a new rack.

    The body is a coroutine function of the rack's owner and its node.
    """

    def run(body, *, workers=2, slots=8, kinds=None, cores=8.0):
        async def run_body():
            hosts = [
                fakes.make_host(f"w{i}", slots=slots, cores=cores)
                for i in range(workers)
            ]
            node = fakes.FakeNode(
                kinds=kinds or [fakes.make_kind()], hosts=hosts
            )
            owner = make_owner(node, term=1)
            await wait_until_ready(owner)
            return await body(owner, node)

        return asyncio.run(run_body())

    return run


def make_owner(node, term):
    hosts = [target.host for target in node.targets.values()]
    return rack.RackOwner(name="rack", term=term, hosts=hosts, node=node)


async def wait_until_ready(owner):
    """Waits until every worker that is not silent is fenced."""
    async with asyncio.timeout(5):
        while not all(
            link.state is target_link.LinkState.READY or link.client.silent
            for link in owner.links.values()
        ):
            await asyncio.sleep(0.005)


def dispatch(
    request_id="q", *, kind="k", budget_ms=4000, age_ms=1, first=True
):
    return frames.Dispatch(
        serial=1,
        rack="rack",
        request_id=request_id,
        kind=kind,
        team="t",
        payload="",
        attempt=0,
        first=first,
        budget_ms=budget_ms,
        age_ms=age_ms,
        hops=0,
        spent_us=0,
    )


async def submit(owner, *arguments, **fields):
    """Submits a request and returns its reply."""
    future = asyncio.get_running_loop().create_future()
    owner.submit(dispatch(*arguments, **fields), future.set_result)
    async with asyncio.timeout(8):
        return await future


def test_request_is_answered_with_its_result(run_on_rack):
    async def body(owner, node):
        reply = await submit(owner)
        assert (reply.status, reply.result) == (Status.DONE, "r")

    run_on_rack(body)


def test_start_without_answer_is_queried_and_not_sent_again(run_on_rack):
    async def body(owner, node):
        for target in node.targets.values():
            target.lose_answers = True
        reply = await submit(owner)
        assert reply.status is Status.DONE
        starts = [t for n in node.targets.values() for t in n.starts]
        assert starts == ["q"]

    run_on_rack(body, kinds=[fakes.make_kind(idempotent=False)])


def test_no_worker_is_overfilled_by_a_burst(run_on_rack):
    async def body(owner, node):
        for target in node.targets.values():
            target.hold_tasks = True
        replies = [
            asyncio.create_task(submit(owner, f"q{i}")) for i in range(40)
        ]
        await asyncio.sleep(0.1)
        running = [len(t.running()) for t in node.targets.values()]
        for target in node.targets.values():
            target.hold_tasks = False
        done = await asyncio.gather(*replies)
        assert running == [3, 3]
        assert all(r.status is Status.DONE for r in done)
        assert sum(t.overfills for t in node.targets.values()) == 0

    run_on_rack(body, slots=3)


def test_patient_requests_leave_the_headroom_to_urgent_ones(run_on_rack):
    async def body(owner, node):
        for target in node.targets.values():
            target.hold_tasks = True
        patient = [
            asyncio.create_task(submit(owner, f"p{i}", kind="batch"))
            for i in range(20)
        ]
        await asyncio.sleep(0.05)
        urgent = asyncio.create_task(submit(owner, "u"))
        await asyncio.sleep(0.05)
        starts = [t for n in node.targets.values() for t in n.starts]
        assert "u" in starts
        assert len(starts) == 2 * 2 + 1
        for target in node.targets.values():
            target.hold_tasks = False
        await asyncio.gather(urgent, *patient)

    batch = fakes.make_kind("batch", lane=messages.Lane.patient)
    run_on_rack(body, slots=3, kinds=[fakes.make_kind(), batch])


def test_duplicate_is_attached_and_runs_once(run_on_rack):
    async def body(owner, node):
        replies = await asyncio.gather(*(submit(owner) for _ in range(5)))
        assert {r.status for r in replies} == {Status.DONE}
        starts = [t for n in node.targets.values() for t in n.starts]
        assert starts == ["q"]

    run_on_rack(body)


def test_newer_owner_fences_the_older_one(run_on_rack):
    async def body(owner, node):
        newer = make_owner(node, term=2)
        await wait_until_ready(newer)
        reply = await submit(owner)
        assert reply.status is Status.MOVED and not reply.started
        assert node.superseded == [owner]
        assert (await submit(newer)).status is Status.DONE

    run_on_rack(body)


def test_newer_owner_takes_over_running_tasks(run_on_rack):
    async def body(owner, node):
        for target in node.targets.values():
            target.hold_tasks = True
        asyncio.create_task(submit(owner))
        await asyncio.sleep(0.05)
        newer = make_owner(node, term=2)
        await wait_until_ready(newer)
        answer = asyncio.create_task(submit(newer, first=False))
        await asyncio.sleep(0.9)
        assert sum(len(t.running()) for t in node.targets.values()) == 1
        for target in node.targets.values():
            target.hold_tasks = False
        assert (await answer).status is Status.DONE
        starts = [t for n in node.targets.values() for t in n.starts]
        assert starts == ["q"]

    run_on_rack(body)


def test_possibly_started_request_waits_for_every_inventory(run_on_rack):
    async def body(owner, node):
        unreachable = node.targets["w1"]
        unreachable.silent = True
        newer = make_owner(node, term=2)
        await wait_until_ready(newer)
        answer = asyncio.create_task(submit(newer, first=False))
        await asyncio.sleep(0.2)
        assert not any(t.starts for t in node.targets.values())
        unreachable.silent = False
        assert (await answer).status is Status.DONE

    run_on_rack(body)


@pytest.mark.parametrize(
    ("idempotent", "age_ms", "expected"),
    [
        (True, 60_000, Status.DONE),
        (False, 60_000, Status.UNKNOWN),
        (False, 0, Status.DONE),
    ],
)
def test_restarted_worker_proves_nothing_about_earlier_requests(
    run_on_rack, idempotent, age_ms, expected
):
    """Guards against trusting the empty inventory of a restarted worker.

    It does not prove that the request never ran there.
    """

    async def body(owner, node):
        node.targets["w0"].restart()
        await asyncio.sleep(0.01)
        newer = make_owner(node, term=2)
        await wait_until_ready(newer)
        reply = await submit(newer, age_ms=age_ms, first=False)
        assert reply.status is expected

    run_on_rack(body, kinds=[fakes.make_kind(idempotent=idempotent)])


def test_worker_gets_tasks_only_after_it_is_recorded(run_on_rack):
    async def body(owner, node):
        node.recorded = set()
        newer = make_owner(node, term=2)
        await wait_until_ready(newer)
        answer = asyncio.create_task(submit(newer))
        await asyncio.sleep(0.05)
        assert not any(t.starts for t in node.targets.values())
        await newer.record_hosts()
        assert (await answer).status is Status.DONE

    run_on_rack(body)


def test_unknown_outcome_of_idempotent_request_is_retried(run_on_rack):
    """Guards against answering "unknown" again after the workers answer."""

    async def body(owner, node):
        unreachable = node.targets["w1"]
        unreachable.silent = True
        newer = make_owner(node, term=2)
        await wait_until_ready(newer)
        first = await submit(newer, first=False, budget_ms=200)
        unreachable.silent = False
        again = await submit(newer, first=False)
        assert first.status is Status.UNKNOWN
        assert again.status is Status.DONE

    run_on_rack(body)


def test_lapsed_idempotent_task_runs_elsewhere(run_on_rack):
    async def body(owner, node):
        for target in node.targets.values():
            target.hold_tasks = True
        answer = asyncio.create_task(submit(owner))
        await asyncio.sleep(0.05)
        holder = next(t for t in node.targets.values() if t.starts)
        holder.silent = True
        for target in node.targets.values():
            target.hold_tasks = target is holder
        reply = await answer
        assert reply.status is Status.DONE
        assert reply.worker != holder.host.name

    run_on_rack(body)


def test_lapsed_task_is_not_run_again_while_ownership_is_unconfirmed(
    run_on_rack,
):
    async def body(owner, node):
        node.still_owner = False
        for target in node.targets.values():
            target.hold_tasks = True
        answer = asyncio.create_task(submit(owner, budget_ms=2500))
        await asyncio.sleep(0.05)
        holder = next(t for t in node.targets.values() if t.starts)
        holder.silent = True
        assert (await answer).status is Status.UNKNOWN
        starts = [t for n in node.targets.values() for t in n.starts]
        assert starts == ["q"]

    run_on_rack(body)


def test_lapsed_non_idempotent_task_is_never_run_again(run_on_rack):
    async def body(owner, node):
        for target in node.targets.values():
            target.hold_tasks = True
        answer = asyncio.create_task(submit(owner, budget_ms=2500))
        await asyncio.sleep(0.05)
        next(t for t in node.targets.values() if t.starts).silent = True
        assert (await answer).status is Status.UNKNOWN
        starts = [t for n in node.targets.values() for t in n.starts]
        assert starts == ["q"]

    run_on_rack(body, kinds=[fakes.make_kind(idempotent=False)])


def test_request_does_not_crash_worker_after_worker(run_on_rack):
    """An idempotent one is run again only a few times."""

    async def body(owner, node):
        for target in node.targets.values():
            target.crash = True
        reply = await submit(owner, budget_ms=6000)
        starts = [t for n in node.targets.values() for t in n.starts]
        assert len(starts) == 3
        assert reply.status is Status.FAILED

    run_on_rack(body, workers=6)


def test_worker_that_fails_every_task_is_quarantined(run_on_rack):
    async def body(owner, node):
        node.targets["w0"].fail = True
        replies = [await submit(owner, f"q{i}") for i in range(30)]
        assert all(r.status is Status.DONE for r in replies)
        failing = node.targets["w0"]
        assert len(failing.starts) == target_link.QUARANTINE_FAILURES

    kind = fakes.make_kind(placement="first_fit")
    run_on_rack(body, kinds=[kind])


def test_gang_starts_all_or_none(run_on_rack):
    async def body(owner, node):
        for target in node.targets.values():
            target.hold_tasks = True
        single = asyncio.create_task(submit(owner, "s"))
        gang = asyncio.create_task(submit(owner, "g", kind="gang"))
        await asyncio.sleep(0.1)
        starts = [t for n in node.targets.values() for t in n.starts]
        assert starts == ["s"]
        for target in node.targets.values():
            target.hold_tasks = False
        replies = await asyncio.gather(single, gang)
        assert replies[1].result == "r,r,r,r"

    gang = fakes.make_kind("gang", shape=messages.Shape.gang, tasks=4)
    run_on_rack(body, slots=2, kinds=[fakes.make_kind(), gang])


def test_cancelled_queued_request_never_starts(run_on_rack):
    async def body(owner, node):
        for target in node.targets.values():
            target.hold_tasks = True
        first = asyncio.create_task(submit(owner, "a"))
        second = asyncio.create_task(submit(owner, "b"))
        await asyncio.sleep(0.05)
        future = asyncio.get_running_loop().create_future()
        owner.cancel(
            frames.CancelFrame(serial=2, rack="rack", request_id="b"),
            future.set_result,
        )
        assert (await future).status is Status.CANCELLED
        assert (await second).status is Status.CANCELLED
        for target in node.targets.values():
            target.hold_tasks = False
        assert (await first).status is Status.DONE
        starts = [t for n in node.targets.values() for t in n.starts]
        assert starts == ["a"]

    run_on_rack(body, workers=1, slots=1)


def test_urgent_request_is_served_after_ten_thousand_cancellations(
    run_on_rack,
):
    async def body(owner, node):
        node.targets["w0"].hold_tasks = True
        waiting = [
            asyncio.create_task(
                submit(owner, f"p{i}", kind="batch", budget_ms=600_000)
            )
            for i in range(10_000)
        ]
        await asyncio.sleep(0.2)
        for number in range(10_000):
            owner.cancel(
                frames.CancelFrame(
                    serial=2, rack="rack", request_id=f"p{number}"
                ),
                lambda reply: None,
            )
        node.targets["w0"].hold_tasks = False
        urgent = await submit(owner, "u")
        assert urgent.status is Status.DONE
        replies = await asyncio.gather(*waiting)
        assert all(r.status is Status.CANCELLED for r in replies)

    batch = fakes.make_kind(
        "batch", lane=messages.Lane.patient, deadline_ms=60_000
    )
    run_on_rack(body, workers=1, slots=2, kinds=[fakes.make_kind(), batch])


def test_request_that_would_miss_its_deadline_is_refused_at_once(run_on_rack):
    async def body(owner, node):
        owner.mean_run_ms[messages.Lane.urgent] = 1000.0
        node.targets["w0"].hold_tasks = True
        running = asyncio.create_task(submit(owner, "a"))
        queued = [
            asyncio.create_task(submit(owner, f"b{i}")) for i in range(3)
        ]
        await asyncio.sleep(0.05)
        reply = await submit(owner, "c", budget_ms=1500)
        assert reply.status is Status.REFUSED
        assert reply.retry_after_ms >= 1500
        node.targets["w0"].hold_tasks = False
        await asyncio.gather(running, *queued)

    run_on_rack(body, workers=1, slots=1)
