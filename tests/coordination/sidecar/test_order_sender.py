"""Orders to other nodes: what is sent, and what a lost message means."""

import asyncio
import dataclasses

import pytest

from tests.coordination.fakes import ManualClock
from tests.coordination.sidecar.samples import (
    make_configuration,
    make_entry,
    make_request,
    make_route,
)
from turmericwharf.coordination.sidecar.active_configuration import ActiveConfiguration
from turmericwharf.coordination.sidecar.admission import AdmittedFleetRequest
from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.coordination.sidecar.order_sender import OrderSender, OrderTerms
from turmericwharf.state import (
    PEER_TIMEOUT,
    PEER_UNREACHABLE,
    SERVER_BUSY,
    SERVER_DRAINING,
    Answered,
    NotRun,
    Reason,
)
from turmericwharf.state.sidecar import SlotReply, SlotRequest, StoredEntry, WorkAnswer, WorkOrder

ANSWERED = WorkAnswer(Answered(200, (), b'ok'), None, None, True, 0, 0, 5)
FREE = SlotReply(None, 0, 0, 5)
BUSY = SlotReply(NotRun(SERVER_BUSY.reason, SERVER_BUSY.detail), 3, 2, 5)
REMOTE = make_entry('remote', data_centre='west')
LOCAL = make_entry('local', data_centre='east')


class Links:
    """Returns scripted answers and records what was sent."""

    def __init__(self, *answers) -> None:
        self.answers = list(answers)
        self.sent = []

    async def request(self, peer, message, *, timeout_seconds):
        self.sent.append(type(message))
        return self.answers.pop(0)

    def notify(self, peer, message) -> None:
        """Ignore cancellations."""


def send(links, entry, *, max_wait_seconds=0.0, body=b'', is_repeat=False):
    """Send an order of a node in the data centre "east"; return the answer and the directory."""
    clock = ManualClock()
    directory = NodeDirectory(make_entry('own', data_centre='east'), clock)
    for other in (LOCAL, REMOTE):
        directory.apply(StoredEntry(other, 1), source='test')
    configuration = ActiveConfiguration(lambda encoded: make_configuration())
    sender = OrderSender(
        executor=None,
        links=links,
        directory=directory,
        configuration=configuration,
        clock=clock,
        caller_service='bookings',
    )
    admitted = AdmittedFleetRequest(
        request=make_request(body=body),
        route=make_route(idempotent=is_repeat),
        service='bookings',
        organisation='cafe',
        queue_priority=0,
        admitted_at=clock.now(),
        deadline=clock.now() + 2,
        latency_target_at=clock.now() + 1,
        version=5,
    )
    terms = OrderTerms(
        attempt_number=1,
        allowed_seconds=2.0,
        target_seconds=1.0,
        may_be_trial=False,
        is_repeat=is_repeat,
        max_wait_seconds=max_wait_seconds,
    )
    return asyncio.run(sender.send(admitted, entry, terms)), directory


def test_a_busy_server_of_another_data_centre_gets_no_request():
    """Guards against whole requests that cross between data centres only to be refused."""
    links = Links(BUSY)
    answer, _ = send(links, REMOTE)
    assert answer.refused.reason is Reason.SERVER_BUSY
    assert (answer.running, answer.waiting, answer.reached_server) == (3, 2, False)
    assert links.sent == [SlotRequest]


def test_a_free_server_of_another_data_centre_gets_the_request():
    """Guards against requests that are refused although a slot is free elsewhere."""
    links = Links(FREE, ANSWERED)
    answer, _ = send(links, REMOTE)
    assert answer == ANSWERED
    assert links.sent == [SlotRequest, WorkOrder]


@pytest.mark.parametrize(('entry', 'max_wait_seconds'), [(LOCAL, 0.0), (REMOTE, 0.5)])
def test_other_orders_are_sent_at_once(entry, max_wait_seconds):
    """Guards against a further message where it saves nothing."""
    links = Links(ANSWERED)
    answer, _ = send(links, entry, max_wait_seconds=max_wait_seconds)
    assert answer == ANSWERED
    assert links.sent == [WorkOrder]


@pytest.mark.parametrize('failure', [PEER_UNREACHABLE, PEER_TIMEOUT])
def test_a_node_that_does_not_answer_for_its_slot_has_not_run_the_request(failure):
    """Guards against an unknown outcome, which is not retried, of a request that was not sent."""
    answer, directory = send(Links(failure), REMOTE)
    assert isinstance(answer.refused, NotRun)
    assert directory.is_suspected('remote')


LONG_BODY = bytes(20_000)


@pytest.mark.parametrize(('entry', 'max_wait_seconds'), [(LOCAL, 0.0), (LOCAL, 0.5), (REMOTE, 0.5)])
def test_a_long_body_is_sent_only_after_a_slot_was_asked_for(entry, max_wait_seconds):
    """Guards against bodies that are sent several times, because servers refuse them."""
    links = Links(FREE, ANSWERED)
    answer, _ = send(links, entry, max_wait_seconds=max_wait_seconds, body=LONG_BODY)
    assert answer == ANSWERED
    assert links.sent == [SlotRequest, WorkOrder]
    links = Links(dataclasses.replace(BUSY, wait_seconds=0.7))
    answer, _ = send(links, entry, max_wait_seconds=max_wait_seconds, body=LONG_BODY)
    assert answer.refused == dataclasses.replace(BUSY.refused, retry_seconds=0.7)
    assert links.sent == [SlotRequest]


def test_a_long_body_is_sent_to_a_busy_server_where_it_may_wait_for_long_enough():
    """Guards against long requests that never queue, and so are served less often than others."""
    links = Links(dataclasses.replace(BUSY, wait_seconds=0.3), ANSWERED)
    assert send(links, LOCAL, max_wait_seconds=0.5, body=LONG_BODY)[0] == ANSWERED
    links = Links(BUSY, ANSWERED)
    assert send(links, LOCAL, max_wait_seconds=0.5, body=LONG_BODY)[0] == ANSWERED
    # An order without another choice may wait beyond its target, which is 1 s from now.
    links = Links(dataclasses.replace(BUSY, wait_seconds=1.5), ANSWERED)
    assert send(links, LOCAL, max_wait_seconds=1.0, body=LONG_BODY)[0] == ANSWERED
    draining = SlotReply(NotRun(SERVER_DRAINING.reason, ''), 0, 0, 5)
    links = Links(draining)
    assert send(links, LOCAL, max_wait_seconds=0.5, body=LONG_BODY)[0].refused == draining.refused


def test_a_repeated_request_uses_no_attempt_at_a_server_that_is_gone():
    """Guards against an idempotent request that ends early, because two servers were lost at once.

    An order whose connection is lost may have run, so it counts as an attempt.
    """
    answer, directory = send(Links(PEER_TIMEOUT), LOCAL, is_repeat=True)
    assert isinstance(answer.refused, NotRun)
    assert directory.is_suspected('local')
    links = Links(FREE, ANSWERED)
    assert send(links, LOCAL, is_repeat=True)[0] == ANSWERED
    assert links.sent == [SlotRequest, WorkOrder]
