"""Memory that is held for one connection between nodes."""

import contextlib
import dataclasses
from collections.abc import Callable, Iterator
from functools import singledispatch

from turmericwharf.coordination.memory import REQUEST_BYTES, HolderKind, MemoryBudget, MemoryHolding
from turmericwharf.protocol import FrameBeginning
from turmericwharf.state import HeldBytes
from turmericwharf.state.sidecar import WorkAnswer, WorkOrder
from turmericwharf.transport.connection import FrameChannel, FrameMemory, WebSocketConnection


class PeerMemory:
    """Memory for the frames that arrive in parts, and for the orders that are run.

    Parameters
    ----------
    budget
        Memory of the process.
    refuse
        Called with what is known of a frame that is dropped for want of memory.
    """

    def __init__(self, budget: MemoryBudget, refuse: Callable[[FrameBeginning], None]) -> None:
        self._budget = budget
        self._refuse = refuse
        self._channel: FrameChannel | None = None
        self._holding = self._open()

    def open_channel(self, socket: WebSocketConnection, frame_bytes: int) -> FrameChannel:
        """Return the channel of the connection, whose incomplete frames are counted."""
        self._channel = FrameChannel(socket, frame_bytes, FrameMemory(self._may_hold, self._refuse))
        return self._channel

    def end_channel(self) -> None:
        """Hold no frames of a connection that has ended."""
        self._channel = None
        self._holding.take(dataclasses.replace(self._holding.held, reading=0))

    @contextlib.contextmanager
    def running(self, message: object) -> Iterator[None]:
        """Hold a message that is being answered, or an answer until it is sent.

        Sending takes as long as the other node reads.
        """
        size = _held_bytes(message)
        self._add_running(size)
        try:
            yield
        finally:
            self._add_running(-size)

    def close(self) -> None:
        """Hold nothing any more."""
        self._holding.close()

    def _open(self) -> MemoryHolding:
        return self._budget.open(HolderKind.PEER, self._give_way)

    def _may_hold(self, size: int) -> bool:
        self._holding.record_progress()
        return self._holding.request(dataclasses.replace(self._holding.held, reading=size))

    def _add_running(self, size: int) -> None:
        held = self._holding.held
        self._holding.take(dataclasses.replace(held, running=held.running + size))

    def _give_way(self, held: HeldBytes) -> None:
        # The connection goes on: only its incomplete frames are dropped.
        self._holding.close()
        self._holding = self._open()
        self._holding.take(HeldBytes(running=held.running))
        if self._channel is not None:
            self._channel.drop_incomplete()


@singledispatch
def _held_bytes(message: object) -> int:
    """Return what a message takes besides the frame that it came in."""
    return 0


@_held_bytes.register
def _(order: WorkOrder) -> int:
    return len(order.body) + REQUEST_BYTES


@_held_bytes.register
def _(answer: WorkAnswer) -> int:
    return 0 if answer.answered is None else len(answer.answered.body)
