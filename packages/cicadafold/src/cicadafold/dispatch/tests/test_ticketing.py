"""Tests of when a waiting step asks for advice."""

import msgspec
import pytest

from cicadafold.dispatch import runs
from cicadafold.dispatch import ticketing
from cicadafold.jobs import model
from cicadafold.jobs import runtime_state

VALID_MS = 1500.0
PASS_MS = 25.0
# Duration of a call; the service answers one call of a host at a time.
CALL_MS = 500.0
PLAYED_MS = 20_000.0


class Asking:
    """A gang that asks for advice, which permits every worker.

    Args:
        report: Report of the workers, which have sixteen cores.
        tasks: Tasks of the gang, of one core each.
        workers: Number of workers.

    Attributes:
        now_ms: Time.
        calls: Times of the calls.
        without_ms: Time without a valid ticket.
        request: Newest request, and ``answer_ms`` the time of its answer.
    """

    def __init__(self, *, report, tasks, workers):
        self.report = report
        self.workers = {}
        for number in range(workers):
            self.add_worker(f"w{number}")
        rule = model.QueueRule(
            "q", "h", "/", "p", advice=model.AdviceCost(450.0, 6.5, VALID_MS)
        )
        spec = model.JobSpec(
            "ab",
            rule,
            "",
            (model.StepSpec(tasks, need=model.Resources(1000), gang=True),),
        )
        job = runtime_state.Job(spec=spec, arrived_ms=0.0, wall_offset_ms=0.0)
        self.step = job.steps_of(0)[0]
        self.planner = ticketing.TicketPlanner(workers=self.workers)
        self.now_ms = 0.0
        self.calls = []
        self.without_ms = 0.0
        self.request, self.answer_ms = None, 0.0

    def add_worker(self, name):
        """Adds a worker."""
        report = msgspec.structs.replace(self.report, id=name)
        worker = runs.Worker(report=report, now_ms=0.0)
        self.workers[name] = worker

    def play(self, for_ms):
        """Lets time pass, with a pass in each step of it."""
        end_ms = self.now_ms + for_ms
        while self.now_ms < end_ms:
            self.now_ms += PASS_MS
            if self.step.advice_pending and self.now_ms >= self.answer_ms:
                self.grant(self.request)
            pool = {k: v.scheduling_view() for k, v in self.workers.items()}
            tickets = self.planner.valid_tickets(self.step, self.now_ms)
            self.without_ms += 0.0 if tickets else PASS_MS
            request = self.planner.next_request(
                (0,), self.step, tickets, pool, self.now_ms
            )
            if request is not None:
                self.calls.append(self.now_ms)
                self.step.advice_pending = True
                self.request, self.answer_ms = request, self.now_ms + CALL_MS

    def grant(self, request):
        """Answers a request."""
        step = self.step
        step.advice_pending = False
        step.allowed_by_worker = step.allowed_by_worker or {}
        for name in request.workers:
            step.allowed_by_worker[name] = True
            step.tickets[name] = ("t", self.now_ms + VALID_MS)


@pytest.fixture
def make_asking(report):
    """Returns a function that makes a gang that asks for advice."""
    return lambda **options: Asking(report=report, **options)


@pytest.mark.parametrize("workers", (1, 2))
def test_gang_that_fits_on_no_workers_leaves_the_service_to_others(
    make_asking, workers
):
    """It asked in each pass, so that other steps got no ticket for good."""
    asking = make_asking(tasks=16 * workers + 1, workers=workers)
    asking.play(PLAYED_MS)
    assert len(asking.calls) * CALL_MS <= 0.15 * PLAYED_MS


def test_gang_that_needs_idle_workers_keeps_valid_tickets(make_asking):
    """It forgot its tickets in each pass, as they were for too few workers."""
    asking = make_asking(tasks=16, workers=1)
    asking.play(PLAYED_MS)
    assert len(asking.calls) * CALL_MS <= 0.6 * PLAYED_MS
    assert asking.without_ms <= CALL_MS + 2 * PASS_MS


def test_gang_asks_at_once_about_a_new_worker(make_asking):
    """It fits from then on, and must not wait out a pause."""
    asking = make_asking(tasks=17, workers=1)
    asking.play(PLAYED_MS)
    asking.add_worker("new")
    asking.play(CALL_MS + 2 * PASS_MS)
    assert "new" in asking.step.tickets


def test_gang_renews_tickets_of_different_ages_together(make_asking):
    """With one of them expired, it counted as one that cannot fit."""
    asking = make_asking(tasks=30, workers=1)
    asking.play(CALL_MS + 2 * PASS_MS)
    asking.add_worker("w1")
    asking.play(CALL_MS + 2 * PASS_MS)
    both_ms = 0.0
    for _ in range(400):
        asking.play(PASS_MS)
        valid = asking.planner.valid_tickets(asking.step, asking.now_ms)
        both_ms += PASS_MS if len(valid) == 2 else 0.0
    assert both_ms >= 0.8 * 400 * PASS_MS
    assert len(asking.calls) * CALL_MS <= 0.7 * asking.now_ms


def test_gang_whose_workers_were_replaced_asks_anew(make_asking):
    """Nothing is known about the new ones while it waits out a pause."""
    asking = make_asking(tasks=17, workers=1)
    asking.play(CALL_MS + 2 * PASS_MS)
    asking.workers.clear()
    asking.play(2 * PASS_MS)
    asking.add_worker("new")
    asking.play(CALL_MS + 2 * PASS_MS)
    assert "new" in asking.step.tickets
