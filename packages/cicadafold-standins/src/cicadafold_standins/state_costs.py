"""Costs of state at the letter's size, held by the code that serves it."""

import asyncio
from cicadafold.controllog import records
from cicadafold.controllog import replay
from cicadafold.controllog import state as control_state
from cicadafold import hosts as host_tables
from cicadafold.membership import messages as gossip
from cicadafold.membership import view as membership_view
from cicadafold.ownership import rack as rack_owner
from cicadafold.ownership import rack_claimer
from cicadafold.ownership import rack_requests
from cicadafold.ownership import target_link
from cicadafold.peerlink import frames
from cicadafold.placement import request_queue
from cicadafold.placement import routing
from cicadafold.platform import messages as platform
from cicadafold_schema import messages
from cicadafold_standins import fakes
import msgspec
import time
import tracemalloc
import types

__all__ = [
    "measure_configuration",
    "measure_host_list",
    "measure_rack_claimer",
    "measure_control_state",
    "measure_rack_owner",
    "measure_routing",
    "measure_rack_requests",
    "measure_fair_queue",
]

WORKERS_PER_RACK = 8
ACCELERATORS = 7500
DECISION_COUNT = 2000
MICROSECONDS = 1e6


def make_hosts(count):
    """Returns workers in racks of 8, some with accelerators."""
    hosts = []
    for index in range(count):
        rack = index // WORKERS_PER_RACK
        host = fakes.make_host(f"w{index}", slots=64, cores=64.0)
        host.rack = f"rack-{rack}"
        host.region = f"r{rack % 5}"
        host.failure_domain = f"d{rack % 19}"
        host.accelerators = ACCELERATORS * count // 3400 // count
        hosts.append(host)
    return hosts


def make_host_table(hosts):
    """Returns a host table that holds a fixed list."""
    table = host_tables.HostTable(source=None, recorded=dict)
    table.listed = hosts
    table.rebuild()
    return table


def measure_routing(count):
    """Returns the time to choose an assigned rack, p50 and p99 in us."""
    table = make_host_table(make_hosts(count))
    state = control_state.ControlState()
    view = membership_view.MembershipView(
        name="m", incarnation="i", state=lambda: state
    )
    for rack in table.racks:
        view.merge_digest(
            gossip.Digest(
                rack=rack,
                term=1,
                serial=1,
                free_slots=8,
                patient_slots=8,
                queued=0,
                wait_ms=0,
            )
        )
    made = routing.Routing(hosts=table, view=view, region="r1")
    kind = fakes.make_kind()
    for number in range(routing.REQUEST_BUCKETS * 3):
        next(made.candidates(f"warm-{number}", "r1", kind, 0))
    durations_us = []
    for number in range(DECISION_COUNT):
        started = time.perf_counter()
        rack = next(made.candidates(f"q{number}", "r1", kind, 0))
        made.find_redirect_rack(rack, kind, wait_ms=0, price_ms=1, headroom=0)
        durations_us.append((time.perf_counter() - started) * MICROSECONDS)
    return percentile(durations_us, 0.5), percentile(durations_us, 0.99)


def percentile(values, share):
    """Returns a percentile."""
    return sorted(values)[int(share * (len(values) - 1))]


async def measure_rack_owner(count, tasks):
    """Returns memory and decision time of an owner of workers.

    Returns:
        Bytes for each worker with its tasks, and the microseconds of one
        placement in a rack, p50 and p99.
    """
    hosts = make_hosts(count)
    node = fakes.FakeNode(
        kinds=[fakes.make_kind(lease_ms=60_000)], hosts=hosts
    )
    for target in node.targets.values():
        target.hold_tasks = True
    by_rack = {}
    for host in hosts:
        by_rack.setdefault(host.rack, []).append(host)
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    owners = [
        rack_owner.RackOwner(name=rack, term=1, hosts=found, node=node)
        for rack, found in by_rack.items()
    ]
    while not all(
        link.state is target_link.LinkState.READY
        for owner in owners
        for link in owner.links.values()
    ):
        await asyncio.sleep(0.05)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    durations_us = []
    for number in range(tasks):
        owner = owners[number % len(owners)]
        started = time.perf_counter()
        owner.submit(make_dispatch(owner.name, number), discard_reply)
        durations_us.append((time.perf_counter() - started) * MICROSECONDS)
        if number % 500 == 0:
            await asyncio.sleep(0)
    for owner in owners:
        owner.retire()
    for target in node.targets.values():
        target.hold_tasks = False
    await asyncio.sleep(0.1)
    return (
        (after - before) / count,
        percentile(durations_us, 0.5),
        percentile(durations_us, 0.99),
    )


async def measure_rack_claimer(count):
    """Returns the milliseconds of one look at all racks."""
    table = make_host_table(make_hosts(count))
    state = control_state.ControlState()
    view = membership_view.MembershipView(
        name="m0", incarnation="i", state=lambda: state
    )
    for index in range(24):
        name = f"m{index}"
        state.members[name] = control_state.MemberEntry(
            name=name,
            incarnation="i",
            address="127.0.0.1:1",
            failure_domain=f"d{index % 19}",
            region=f"r{index % 5}",
            joined_at=1,
        )
    for index, rack in enumerate(table.racks):
        state.owners[rack] = control_state.Ownership(
            member=f"m{1 + index % 23}", incarnation="i", term=1
        )
    node = types.SimpleNamespace(
        name="m0",
        incarnation="i",
        region="r0",
        hosts=table,
        view=view,
        tail=types.SimpleNamespace(state=state),
    )
    made = rack_claimer.RackClaimer(node=node)
    started = time.process_time()
    for _ in range(20):
        made.sync_owners()
        await made.claim_unowned_racks()
        await made.hand_over()
    return (time.process_time() - started) / 20 * 1000


def measure_host_list(count):
    """Returns kilobytes, and milliseconds of taking in an equal list."""
    hosts = make_hosts(count)
    body = msgspec.json.encode(platform.HostList(hosts=hosts))
    table = make_host_table(hosts)
    started = time.process_time()
    table.listed = msgspec.json.decode(body, type=platform.HostList).hosts
    table.rebuild()
    used = time.process_time() - started
    return len(body) / 1e3, used * 1000


def discard_reply(reply):
    """Takes a reply and does nothing."""


def make_dispatch(rack, number):
    """Returns a dispatch of an urgent task."""
    return frames.Dispatch(
        serial=1,
        rack=rack,
        request_id=f"q{number}",
        kind="k",
        team="t",
        payload="",
        attempt=0,
        first=True,
        budget_ms=600_000,
        age_ms=1,
        hops=1,
        spent_us=0,
    )


def measure_rack_requests(count):
    """Returns the megabytes of running requests at their owner."""
    kind = fakes.make_kind()
    tracemalloc.start()
    requests = {}
    for number in range(count):
        request = rack_requests.RackRequest(
            request_id=f"request-{number}",
            kind=kind,
            team="t",
            payload="x" * 64,
            deadline_ms=1.0,
        )
        request.tasks[request.request_id] = rack_requests.TargetTask(
            task_id=request.request_id, link=None, resources=None, on_end=None
        )
        requests[request.request_id] = request
    megabytes = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    return megabytes


def measure_control_state(count):
    """Returns megabytes and fold time of recorded requests."""
    state = control_state.ControlState()
    batches = []
    for number in range(count):
        accept = records.Accept(
            request_id=f"request-{number}",
            member="entry-1",
            incarnation="abcdef01",
            nonce="0123456789ab",
            kind="k",
            team="t",
            region="r",
            deadline_ms=1000,
            payload="x" * 64,
        )
        batches.append(records.encode_entry([accept]))
    tracemalloc.start()
    started = time.process_time()
    for offset, body in enumerate(batches, start=1):
        entry = platform.LogEntry(
            offset=offset, at_ms=offset, body=msgspec.Raw(body)
        )
        replay.apply_entry(state, entry)
    used = time.process_time() - started
    megabytes = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    snapshot = len(msgspec.json.encode(state)) / 1e6
    return megabytes, used / count * MICROSECONDS, snapshot


def measure_fair_queue(count):
    """Returns the microseconds of serving the fairest team, p99."""
    kind = fakes.make_kind(lane=messages.Lane.patient)
    queue = request_queue.RequestQueue()
    for number in range(count * 4):
        queue.push(
            rack_requests.RackRequest(
                request_id=f"q{number}",
                kind=kind,
                team=f"team-{number % count}",
                payload="",
                deadline_ms=1.0,
            )
        )
    durations_us = []
    for _ in range(min(DECISION_COUNT, count * 3)):
        started = time.perf_counter()
        request = queue.peek_patient(lambda team: True)
        queue.remove(request)
        queue.charge_team(request, cost=1.0, weight=1)
        durations_us.append((time.perf_counter() - started) * MICROSECONDS)
    return percentile(durations_us, 0.99)


def measure_configuration(count):
    """Returns the kilobytes of a configuration with teams."""
    configuration = messages.Configuration(
        revision=1,
        kinds=[fakes.make_kind(f"kind-{n}") for n in range(20)],
        teams=[messages.Team(name=f"team-{n}") for n in range(count)],
    )
    return len(msgspec.json.encode(configuration)) / 1e3
