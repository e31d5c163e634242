"""Tests of which connections are refused or closed, without a network."""

import pytest

from cicadafold.admittance import bounds
from cicadafold.admittance import ledger as ledger_module
from cicadafold.telemetry import metrics

CALLERS, PEERS = bounds.Group.CALLERS, bounds.Group.PEERS
Phase = ledger_module.Phase
Reason = ledger_module.Reason
SMALL, HELD_LARGE, HELD = 10, 80, 100
MB = 1 << 20
STALL_S, RECEIVE_S, PATIENCE_S = 10.0, 30.0, 1.0


@pytest.fixture
def ledger():
    """Returns a ledger for three connections of callers and 100 bytes."""
    return ledger_module.Ledger(
        bounds=bounds.ConnectionBounds(
            connections={CALLERS: 3, PEERS: 1},
            held_bytes={CALLERS: HELD, PEERS: HELD},
            small_share=1 - HELD_LARGE / HELD,
            small_request_bytes=SMALL,
            stall_s=STALL_S,
            receive_s=RECEIVE_S,
            patience_s=PATIENCE_S,
        ),
        metrics=metrics.Metrics(),
    )


@pytest.fixture
def connect(ledger):
    """Returns a function that opens a connection in a phase.

    The reason for which it is closed is added to its list ``closed``.
    """

    def open_connection(phase=Phase.IDLE, *, at_s=0.0, group=CALLERS):
        closed = []
        connection = ledger_module.Connection(
            group=group, close=closed.append, now_s=at_s
        )
        connection.closed = closed
        connection.phase = phase
        connection.accepted = ledger.add(connection)
        return connection

    return open_connection


def test_new_connection_displaces_the_longest_idle(ledger, connect):
    slow = connect(Phase.HEAD, at_s=0.0)
    newer = connect(at_s=1.0)
    older = connect(at_s=2.0)
    ledger.note_progress(newer, 3.0)
    assert connect(at_s=4.0).accepted
    assert older.closed == [Reason.NUMBER]
    assert not newer.closed
    assert not slow.closed


def test_incomplete_requests_are_displaced_if_none_is_idle(connect):
    answering = connect(Phase.ANSWER, at_s=0.0)
    body = connect(Phase.BODY, at_s=0.0)
    head = connect(Phase.HEAD, at_s=1.0)
    assert connect(Phase.ANSWER).accepted
    assert head.closed == [Reason.NUMBER]
    assert connect(Phase.ANSWER).accepted
    assert body.closed == [Reason.NUMBER]
    assert not answering.closed


def test_complete_requests_are_never_displaced(connect):
    others = [connect(Phase.ANSWER) for _ in range(3)]
    refused = connect()
    assert not refused.accepted
    assert not refused.closed
    assert not any(each.closed for each in others)


def test_groups_do_not_displace_each_other(connect):
    peer = connect(group=PEERS)
    for _ in range(9):
        connect()
    assert not peer.closed


def test_bytes_beyond_the_budget_are_refused(ledger, connect):
    first, second = connect(Phase.BODY), connect(Phase.BODY)
    assert ledger.hold(first, HELD_LARGE)
    assert not ledger.hold(second, SMALL + 1)
    assert not first.closed


def test_groups_do_not_use_the_bytes_of_each_other(ledger, connect):
    assert ledger.hold(connect(Phase.BODY), HELD_LARGE)
    assert ledger.hold(connect(Phase.LINK, group=PEERS), HELD_LARGE)


def test_small_request_fits_while_large_ones_fill_the_budget(ledger, connect):
    assert ledger.hold(connect(Phase.BODY), HELD_LARGE)
    assert ledger.hold(connect(Phase.BODY), SMALL)


def test_connection_that_sits_on_bytes_makes_room(ledger, connect):
    answering = connect(Phase.ANSWER, at_s=0.0)
    sitting = connect(Phase.BODY, at_s=0.0)
    sending = connect(Phase.BODY, at_s=PATIENCE_S + 1.0)
    assert ledger.hold(answering, 5)
    assert ledger.hold(sitting, 60)
    assert ledger.hold(sending, 60)
    assert sitting.closed == [Reason.MEMORY]
    assert not answering.closed
    assert ledger.held_bytes[CALLERS] == 65


def test_bodies_that_make_progress_are_not_closed_for_others(ledger, connect):
    sitting = connect(Phase.BODY, at_s=0.0)
    sending = connect(Phase.BODY, at_s=0.0)
    assert ledger.hold(sitting, 30)
    assert ledger.hold(sending, 30)
    ledger.note_progress(sending, PATIENCE_S)
    last = connect(Phase.BODY, at_s=PATIENCE_S + 0.5)
    assert ledger.hold(last, 40)
    assert not ledger.hold(last, 40)
    assert sitting.closed == [Reason.MEMORY]
    assert not sending.closed


def test_closed_and_answered_connections_hold_nothing(ledger, connect):
    first, second = connect(Phase.BODY), connect(Phase.ANSWER)
    ledger.hold(first, 30)
    ledger.hold(second, 40)
    ledger.release(second, 15)
    assert ledger.held_bytes[CALLERS] == 45
    ledger.release(second, 40)
    assert ledger.held_bytes[CALLERS] == 45
    ledger.release(second)
    ledger.remove(first)
    ledger.remove(first)
    assert ledger.held_bytes[CALLERS] == 0


@pytest.mark.parametrize("phase", [Phase.HEAD, Phase.BODY])
def test_request_without_progress_is_closed(ledger, connect, phase):
    connection = connect(phase, at_s=0.0)
    ledger.close_overdue(STALL_S)
    assert not connection.closed
    ledger.close_overdue(STALL_S + 0.1)
    assert connection.closed == [Reason.STALLED]


def test_request_that_trickles_in_is_closed(ledger, connect):
    connection = connect(Phase.BODY, at_s=0.0)
    connection.progress_s = RECEIVE_S
    ledger.close_overdue(RECEIVE_S)
    assert not connection.closed
    ledger.close_overdue(RECEIVE_S + 0.1)
    assert connection.closed == [Reason.SLOW]


@pytest.mark.parametrize("phase", [Phase.IDLE, Phase.ANSWER, Phase.LINK])
def test_open_connections_may_wait(ledger, connect, phase):
    connection = connect(phase, at_s=0.0)
    ledger.close_overdue(1e6)
    assert not connection.closed


def test_answer_that_is_not_taken_is_given_up(ledger, connect):
    connection = connect(Phase.ANSWER)
    connection.blocked_s = 5.0
    ledger.close_overdue(5.0 + STALL_S)
    assert not connection.closed
    ledger.close_overdue(5.1 + STALL_S)
    assert connection.closed == [Reason.STALLED]


def test_closed_connections_are_counted_by_address_and_reason(ledger, connect):
    for _ in range(5):
        connect()
    line = (
        'cicadafold_connections_closed{address="callers",'
        'reason="too many connections"} 2'
    )
    assert line in ledger.metrics.render()


@pytest.mark.parametrize(
    ("memory_mb", "descriptors"), [(300, 4200), (100, 1000), (64, 210)]
)
def test_bounds_leave_room_for_own_connections(memory_mb, descriptors):
    found = bounds.derive(memory_mb=memory_mb, descriptors=descriptors)
    sockets = descriptors - bounds.FILE_DESCRIPTORS
    assert sum(found.connections.values()) <= 0.8 * sockets
    assert sum(found.held_bytes.values()) <= memory_mb * MB / 2
