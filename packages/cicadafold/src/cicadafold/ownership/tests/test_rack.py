"""The owner of a rack: room, leases, fences, answers."""

import asyncio

import pytest

from cicadafold.ownership import rack
from cicadafold.ownership import target_link
from cicadafold.peerlink import frames
from cicadafold_schema import messages
from cicadafold_standins import memory

Status = frames.ReplyStatus


@pytest.fixture
def scene():
    """Returns a function that runs a coroutine on a fresh rack."""

    def run(body, *, workers=2, slots=8, kinds=None, cores=8.0):
        async def go():
            hosts = [
                memory.make_host(f"w{i}", slots=slots, cores=cores)
                for i in range(workers)
            ]
            node = memory.FakeNode(
                kinds=kinds or [memory.make_kind()], hosts=hosts
            )
            owner = make_owner(node, term=1)
            await ready(owner)
            return await body(owner, node)

        return asyncio.run(go())

    return run


def make_owner(node, term):
    hosts = [target.host for target in node.targets.values()]
    return rack.RackOwner(name="rack", term=term, hosts=hosts, node=node)


async def ready(owner):
    """Waits until every worker that answers is fenced."""
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
    """Submits a request and returns the reply."""
    future = asyncio.get_running_loop().create_future()
    owner.submit(dispatch(*arguments, **fields), future.set_result)
    async with asyncio.timeout(8):
        return await future


def test_request_is_answered_with_its_result(scene):
    async def body(owner, node):
        reply = await submit(owner)
        assert (reply.status, reply.result) == (Status.DONE, "r")

    scene(body)


def test_lost_answer_is_asked_for_and_not_sent_again(scene):
    async def body(owner, node):
        for target in node.targets.values():
            target.lose_answers = True
        reply = await submit(owner)
        assert reply.status is Status.DONE
        starts = [t for n in node.targets.values() for t in n.starts]
        assert starts == ["q"]

    scene(body, kinds=[memory.make_kind(idempotent=False)])


def test_no_worker_is_overfilled_by_a_burst(scene):
    async def body(owner, node):
        for target in node.targets.values():
            target.hold = True
        replies = [
            asyncio.create_task(submit(owner, f"q{i}")) for i in range(40)
        ]
        await asyncio.sleep(0.1)
        running = [len(t.running()) for t in node.targets.values()]
        for target in node.targets.values():
            target.hold = False
        done = await asyncio.gather(*replies)
        assert running == [3, 3]
        assert all(r.status is Status.DONE for r in done)
        assert sum(t.overfills for t in node.targets.values()) == 0

    scene(body, slots=3)


def test_patient_work_leaves_the_headroom_to_urgent_work(scene):
    async def body(owner, node):
        for target in node.targets.values():
            target.hold = True
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
            target.hold = False
        await asyncio.gather(urgent, *patient)

    batch = memory.make_kind("batch", lane=messages.Lane.patient)
    scene(body, slots=3, kinds=[memory.make_kind(), batch])


def test_duplicate_is_attached_and_runs_once(scene):
    async def body(owner, node):
        replies = await asyncio.gather(*(submit(owner) for _ in range(5)))
        assert {r.status for r in replies} == {Status.DONE}
        starts = [t for n in node.targets.values() for t in n.starts]
        assert starts == ["q"]

    scene(body)


def test_newer_owner_fences_the_older_one(scene):
    async def body(owner, node):
        newer = make_owner(node, term=2)
        await ready(newer)
        reply = await submit(owner)
        assert reply.status is Status.MOVED and not reply.started
        assert node.superseded == [owner]
        assert (await submit(newer)).status is Status.DONE

    scene(body)


def test_newer_owner_takes_over_running_tasks(scene):
    async def body(owner, node):
        for target in node.targets.values():
            target.hold = True
        asyncio.create_task(submit(owner))
        await asyncio.sleep(0.05)
        newer = make_owner(node, term=2)
        await ready(newer)
        answer = asyncio.create_task(submit(newer, first=False))
        await asyncio.sleep(0.9)
        assert sum(len(t.running()) for t in node.targets.values()) == 1
        for target in node.targets.values():
            target.hold = False
        assert (await answer).status is Status.DONE
        starts = [t for n in node.targets.values() for t in n.starts]
        assert starts == ["q"]

    scene(body)


def test_doubtful_request_waits_for_every_inventory(scene):
    async def body(owner, node):
        hidden = node.targets["w1"]
        hidden.silent = True
        newer = make_owner(node, term=2)
        await ready(newer)
        answer = asyncio.create_task(submit(newer, first=False))
        await asyncio.sleep(0.2)
        assert not any(t.starts for t in node.targets.values())
        hidden.silent = False
        assert (await answer).status is Status.DONE

    scene(body)


@pytest.mark.parametrize(
    ("idempotent", "age_ms", "expected"),
    [
        (True, 60_000, Status.DONE),
        (False, 60_000, Status.UNKNOWN),
        (False, 0, Status.DONE),
    ],
)
def test_restarted_worker_proves_nothing_about_earlier_requests(
    scene, idempotent, age_ms, expected
):
    """Failed before: a restarted worker's empty inventory was a proof."""

    async def body(owner, node):
        node.targets["w0"].restart()
        await asyncio.sleep(0.01)
        newer = make_owner(node, term=2)
        await ready(newer)
        reply = await submit(newer, age_ms=age_ms, first=False)
        assert reply.status is expected

    scene(body, kinds=[memory.make_kind(idempotent=idempotent)])


def test_worker_gets_work_only_after_it_is_recorded(scene):
    async def body(owner, node):
        node.recorded = set()
        newer = make_owner(node, term=2)
        await ready(newer)
        answer = asyncio.create_task(submit(newer))
        await asyncio.sleep(0.05)
        assert not any(t.starts for t in node.targets.values())
        await newer.record_hosts()
        assert (await answer).status is Status.DONE

    scene(body)


def test_unknown_outcome_of_idempotent_work_is_looked_at_again(scene):
    """Failed before: "unknown" was repeated for as long as it was kept."""

    async def body(owner, node):
        hidden = node.targets["w1"]
        hidden.silent = True
        newer = make_owner(node, term=2)
        await ready(newer)
        first = await submit(newer, first=False, budget_ms=200)
        hidden.silent = False
        again = await submit(newer, first=False)
        assert first.status is Status.UNKNOWN
        assert again.status is Status.DONE

    scene(body)


def test_lapsed_idempotent_task_runs_elsewhere(scene):
    async def body(owner, node):
        for target in node.targets.values():
            target.hold = True
        answer = asyncio.create_task(submit(owner))
        await asyncio.sleep(0.05)
        holder = next(t for t in node.targets.values() if t.starts)
        holder.silent = True
        for target in node.targets.values():
            target.hold = target is holder
        reply = await answer
        assert reply.status is Status.DONE
        assert reply.worker != holder.host.name

    scene(body)


def test_lapsed_task_is_not_repeated_while_ownership_is_in_doubt(scene):
    async def body(owner, node):
        node.still_owner = False
        for target in node.targets.values():
            target.hold = True
        answer = asyncio.create_task(submit(owner, budget_ms=2500))
        await asyncio.sleep(0.05)
        holder = next(t for t in node.targets.values() if t.starts)
        holder.silent = True
        assert (await answer).status is Status.UNKNOWN
        starts = [t for n in node.targets.values() for t in n.starts]
        assert starts == ["q"]

    scene(body)


def test_lapsed_non_idempotent_task_is_never_repeated(scene):
    async def body(owner, node):
        for target in node.targets.values():
            target.hold = True
        answer = asyncio.create_task(submit(owner, budget_ms=2500))
        await asyncio.sleep(0.05)
        next(t for t in node.targets.values() if t.starts).silent = True
        assert (await answer).status is Status.UNKNOWN
        starts = [t for n in node.targets.values() for t in n.starts]
        assert starts == ["q"]

    scene(body, kinds=[memory.make_kind(idempotent=False)])


def test_worker_that_fails_everything_is_quarantined(scene):
    async def body(owner, node):
        node.targets["w0"].fail = True
        replies = [await submit(owner, f"q{i}") for i in range(30)]
        assert all(r.status is Status.DONE for r in replies)
        failing = node.targets["w0"]
        assert len(failing.starts) == target_link.QUARANTINE_FAILURES

    kind = memory.make_kind(placement="first_fit")
    scene(body, kinds=[kind])


def test_gang_starts_all_or_none(scene):
    async def body(owner, node):
        for target in node.targets.values():
            target.hold = True
        single = asyncio.create_task(submit(owner, "s"))
        gang = asyncio.create_task(submit(owner, "g", kind="gang"))
        await asyncio.sleep(0.1)
        starts = [t for n in node.targets.values() for t in n.starts]
        assert starts == ["s"]
        for target in node.targets.values():
            target.hold = False
        replies = await asyncio.gather(single, gang)
        assert replies[1].result == "r,r,r,r"

    gang = memory.make_kind("gang", shape=messages.Shape.gang, tasks=4)
    scene(body, slots=2, kinds=[memory.make_kind(), gang])


def test_cancelled_waiting_work_never_starts(scene):
    async def body(owner, node):
        for target in node.targets.values():
            target.hold = True
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
            target.hold = False
        assert (await first).status is Status.DONE
        starts = [t for n in node.targets.values() for t in n.starts]
        assert starts == ["a"]

    scene(body, workers=1, slots=1)


def test_ten_thousand_cancellations_leave_urgent_work_unharmed(scene):
    async def body(owner, node):
        node.targets["w0"].hold = True
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
        node.targets["w0"].hold = False
        urgent = await submit(owner, "u")
        assert urgent.status is Status.DONE
        replies = await asyncio.gather(*waiting)
        assert all(r.status is Status.CANCELLED for r in replies)

    batch = memory.make_kind(
        "batch", lane=messages.Lane.patient, deadline_ms=60_000
    )
    scene(body, workers=1, slots=2, kinds=[memory.make_kind(), batch])


def test_work_that_cannot_make_its_deadline_is_refused_at_once(scene):
    async def body(owner, node):
        owner.mean_run_ms[messages.Lane.urgent] = 1000.0
        node.targets["w0"].hold = True
        running = asyncio.create_task(submit(owner, "a"))
        queued = [
            asyncio.create_task(submit(owner, f"b{i}")) for i in range(3)
        ]
        await asyncio.sleep(0.05)
        reply = await submit(owner, "c", budget_ms=1500)
        assert reply.status is Status.REFUSED
        assert reply.retry_after_ms >= 1500
        node.targets["w0"].hold = False
        await asyncio.gather(running, *queued)

    scene(body, workers=1, slots=1)
