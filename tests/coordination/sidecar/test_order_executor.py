"""Runs of orders at the backend server beside the node."""

import asyncio

from tests.coordination.sidecar.samples import make_entry, make_order
from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.coordination.sidecar.order_executor import OrderExecutor
from turmericwharf.state import Answered


class EventLoopClock:
    """Clock of the event loop."""

    def now(self) -> float:
        return asyncio.get_running_loop().time()


class AcceptingValidator:
    """Validator that refuses no order."""

    def find_refusal(self, order, entry):
        return None


class ScriptedServer:
    """Connection to a server that returns, or raises, the scripted results in turn."""

    def __init__(self, *results) -> None:
        self.results = list(results)

    async def run(self, order, *, remaining_seconds):
        result = self.results.pop(0)
        if isinstance(result, Exception):
            raise result
        return result


def make_executor(server) -> OrderExecutor:
    clock = EventLoopClock()
    return OrderExecutor(
        server=server,
        order_validator=AcceptingValidator(),
        directory=NodeDirectory(make_entry(), clock),
        clock=clock,
    )


async def test_an_unexpected_error_is_an_unknown_outcome_of_its_order_only():
    """Guards against an error of one order that ends the connection, and other orders with it."""
    answered = Answered(status=200, headers=(), body=b'')
    executor = make_executor(ScriptedServer(RuntimeError('unexpected'), answered))
    failed = await executor.serve(make_order(), version=5)
    assert failed.unknown is not None
    assert failed.reached_server
    other = await executor.serve(make_order(request='r2'), version=5)
    assert other.answered == answered
