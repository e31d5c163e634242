"""Tests of the order of urgent requests and of the shares of teams."""

import collections

from hypothesis import given
from hypothesis import strategies as st

from cicadafold.ownership import rack_requests
from cicadafold.placement import request_queue
from cicadafold_schema import messages


def make_request(name, lane="patient", team="t", deadline_ms=0.0):
    kind = messages.Kind(
        name="k",
        lane=messages.Lane(lane),
        shape=messages.Shape.task,
        idempotent=True,
        durable=False,
    )
    return rack_requests.RackRequest(
        request_id=name,
        kind=kind,
        team=team,
        payload="",
        deadline_ms=deadline_ms,
    )


def accept_any_team(team):
    return True


def test_urgent_request_is_found_behind_many_patient_requests():
    queue = request_queue.RequestQueue()
    for number in range(10_000):
        queue.push(make_request(f"p{number}"))
    urgent = make_request("u", lane="urgent")
    queue.push(urgent)
    assert queue.peek_urgent() is urgent


def test_urgent_requests_are_ordered_by_deadline():
    queue = request_queue.RequestQueue()
    late = make_request("late", lane="urgent", deadline_ms=20.0)
    early = make_request("early", lane="urgent", deadline_ms=10.0)
    queue.push(late)
    queue.push(early)
    assert queue.peek_urgent() is early
    queue.remove(early)
    assert queue.peek_urgent() is late


def start_requests(queue, weights, count):
    """Starts ``count`` patient requests and counts them by team."""
    started = collections.Counter()
    for _ in range(count):
        request = queue.peek_patient(accept_any_team)
        queue.remove(request)
        queue.charge_team(request, cost=1.0, weight=weights[request.team])
        started[request.team] += 1
    return started


def test_teams_share_by_weight():
    queue = request_queue.RequestQueue()
    for number in range(100):
        queue.push(make_request(f"a{number}", team="a"))
        queue.push(make_request(f"b{number}", team="b"))
    started = start_requests(queue, {"a": 3, "b": 1}, 80)
    assert abs(started["a"] - 60) <= 1


def test_idle_share_goes_to_other_teams_until_the_team_returns():
    queue = request_queue.RequestQueue()
    weights = {"a": 1, "b": 1}
    for number in range(100):
        queue.push(make_request(f"a{number}", team="a"))
    assert start_requests(queue, weights, 40) == {"a": 40}
    for number in range(40):
        queue.push(make_request(f"b{number}", team="b"))
    started = start_requests(queue, weights, 40)
    assert abs(started["a"] - started["b"]) <= 2


def test_ineligible_team_is_skipped():
    queue = request_queue.RequestQueue()
    queue.push(make_request("a", team="a"))
    queue.push(make_request("b", team="b"))
    found = queue.peek_patient(lambda team: team != "a")
    assert found.request_id == "b"


@given(st.lists(st.tuples(st.sampled_from("ab"), st.booleans()), max_size=40))
def test_removed_request_is_never_returned(steps):
    queue = request_queue.RequestQueue()
    waiting = []
    for number, (team, remove) in enumerate(steps):
        request = make_request(f"w{number}", team=team)
        queue.push(request)
        waiting.append(request)
        if remove:
            queue.remove(waiting.pop(0))
    assert len(queue) == len(waiting)
    served = []
    while request := queue.peek_patient(accept_any_team):
        queue.remove(request)
        queue.charge_team(request, cost=1.0, weight=1)
        served.append(request.request_id)
    assert sorted(served) == sorted(w.request_id for w in waiting)
