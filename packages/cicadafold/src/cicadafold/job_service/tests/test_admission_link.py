"""Tests of admission over a link between two processes, without a network."""

import asyncio
import types

import aiohttp
import pytest

from cicadafold import exception
from cicadafold.job_service import admission
from cicadafold.jobs import model
from cicadafold.peers import link
from cicadafold.peers import messages
from cicadafold.peers import scheduler_client
from cicadafold.peers import scheduler_link
from cicadafold.teams import model as team_model
from cicadafold.telemetry import metrics

TEAM = team_model.TeamRule("a", weight=10.0)
RULE = model.QueueRule("q", "jobs.example", "/q/", "p")
SPEC = model.JobSpec("0123456789abcdef", RULE, "", (), team=TEAM)
TERM = 3


class Socket:
    """One end of a pair of sockets in memory.

    Attributes:
        other: Other end.
        silent: Whether what is sent gets lost.
        closed: Whether the socket is closed.
    """

    def __init__(self):
        self.received = asyncio.Queue()
        self.other = None
        self.silent = False
        self.closed = False

    async def send_bytes(self, data):
        """Sends a message to the other end."""
        if not self.silent:
            self.other.received.put_nowait(data)

    def __aiter__(self):
        return self

    async def __anext__(self):
        data = await self.received.get()
        return types.SimpleNamespace(type=aiohttp.WSMsgType.BINARY, data=data)


class Pair:
    """An entry host and a scheduler's process with a link between them.

    Attributes:
        wait_ms: What the scheduler answers.
        host: ``HostAdmission`` of the entry host.
        scheduler_socket: The scheduler's end of the link.
        to_host: ``PeerLink`` of the scheduler's process.
        asked: Arguments of the questions that reached the scheduler.
    """

    def __init__(self):
        self.wait_ms = None
        self.asked = []
        host_socket, self.scheduler_socket = Socket(), Socket()
        host_socket.other = self.scheduler_socket
        self.scheduler_socket.other = host_socket
        remote = scheduler_link.SchedulerLink(
            session=None,
            member="host",
            address="",
            election_priority=1.0,
            node=None,
        )
        remote.claim = types.SimpleNamespace(term=TERM)
        client = scheduler_client.SchedulerClient(
            local=lambda: None, remote=remote
        )
        self.host = admission.HostAdmission(
            scheduler=client, metrics=metrics.Metrics()
        )
        host_node = types.SimpleNamespace(
            metrics=metrics.Metrics(),
            host_admission=self.host,
            scheduler_link=remote,
        )
        term = types.SimpleNamespace(
            admission=types.SimpleNamespace(wait_ms=self.answer)
        )
        scheduler_node = types.SimpleNamespace(
            metrics=metrics.Metrics(), term=term
        )
        remote.link = link.PeerLink(
            socket=host_socket, node=host_node, member="scheduler"
        )
        self.to_host = link.PeerLink(
            socket=self.scheduler_socket, node=scheduler_node, member="host"
        )
        self.remote = remote

    def answer(self, *arguments):
        """Answers a question about a job."""
        self.asked.append(arguments)
        return self.wait_ms

    async def check(self):
        """Asks the host about a job; returns the milliseconds it took."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        await self.host.check(SPEC, deadline_s=started_s + 3.0)
        return (loop.time() - started_s) * 1000.0


def play(scenario):
    """Runs a scenario, a coroutine function of a ``Pair``."""

    async def run():
        pair = Pair()
        ends = (pair.remote.link, pair.to_host)
        tasks = [asyncio.create_task(end.serve()) for end in ends]
        notice = messages.AdmissionNotice(TERM, {"p": ["a"]})
        await pair.to_host.send(notice)
        await asyncio.sleep(0.01)
        try:
            await scenario(pair)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    asyncio.run(run())


def test_answer_of_the_scheduler_decides():
    """Guards against a notice, question or answer that has no handler."""

    async def scenario(pair):
        await pair.check()
        assert pair.asked == [(SPEC.id, TEAM, "p")]
        pair.wait_ms = 1234.5
        with pytest.raises(exception.Overloaded) as refusal:
            await pair.check()
        assert refusal.value.retry_after_ms == 1234.5

    play(scenario)


def test_job_is_accepted_when_the_question_is_not_answered():
    """Guards against callers that wait for a scheduler that is stuck."""

    async def scenario(pair):
        pair.wait_ms = 1234.5
        pair.scheduler_socket.silent = True
        took_ms = await pair.check()
        assert took_ms < 2 * admission.QUERY_TIMEOUT_S * 1000.0
        assert len(pair.asked) == 1

    play(scenario)


def test_job_is_accepted_when_the_link_is_lost():
    """Guards against a host that is cut off and refuses a team."""

    async def scenario(pair):
        pair.wait_ms = 1234.5
        pair.remote.link = None
        await pair.check()
        assert pair.asked == []

    play(scenario)
