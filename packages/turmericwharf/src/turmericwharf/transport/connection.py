"""Framing of messages on a WebSocket connection."""

import asyncio
import dataclasses
import itertools
from collections.abc import Awaitable, Callable, Iterator
from typing import Any, Protocol, TYPE_CHECKING

from websockets.exceptions import ConnectionClosedError, WebSocketException
from websockets.protocol import State

from turmericwharf.protocol import (
    Frame,
    FrameAssembly,
    FrameBeginning,
    decode_frame,
    encode_frame,
    encode_pieces,
    split_pieces,
)
from turmericwharf.state import (
    PEER_CONGESTED,
    PEER_LINK_LOST,
    PEER_TIMEOUT,
    PEER_UNREACHABLE,
    FramePart,
    LinkFailure,
    DeliveryUnknown,
    ProtocolFailure,
    Reason,
)

if TYPE_CHECKING:
    from turmericwharf.state import Message

# Large frames are split into parts of this size. A small frame waits for at most one part of each
# large frame that is being sent.
MAX_PART_BYTES = 65536
MAX_WIRE_FRAME_BYTES = MAX_PART_BYTES + 4096
# Received frames that wait to be handled, which no memory limit counts. Reading stops above it.
MAX_QUEUED_FRAMES = 8
_MESSAGE_TOO_BIG_CODE = 1009


class WebSocketConnection(Protocol):
    """Interface of a WebSocket connection, as far as a frame channel uses it."""

    @property
    def state(self) -> State:
        """State of the connection."""

    async def send(self, message: bytes) -> None:
        """Send one binary message."""

    async def recv(self) -> str | bytes:
        """Receive one message."""

    async def close(self) -> None:
        """Close the connection."""

    async def ping(self) -> Awaitable[Any]:
        """Send a ping and return an awaitable for its pong."""


@dataclasses.dataclass(frozen=True, slots=True)
class FrameMemory:
    """Memory for frames that arrive in parts.

    Parameters
    ----------
    may_hold
        Called with the size of all incomplete frames; a frame for which it returns False is
        dropped.
    refuse
        Called with what is known of a frame that is dropped.
    """

    may_hold: Callable[[int], bool]
    refuse: Callable[[FrameBeginning], None]


@dataclasses.dataclass(slots=True)
class _SendProgress:
    """Whether `send` of the WebSocket has been called for a message."""

    is_started: bool = False


class FrameChannel:
    """Sends and receives frames on one WebSocket; large frames are interleaved with small ones.

    Parameters
    ----------
    socket
        The connection.
    frame_bytes
        Maximum size of a frame. Received parts of incomplete frames together take at most twice
        this size.
    memory
        Memory for received parts; None if only `frame_bytes` limits it.
    """

    def __init__(
        self,
        socket: WebSocketConnection,
        frame_bytes: int,
        memory: FrameMemory | None = None,
    ) -> None:
        self._socket = socket
        self._frame_bytes = frame_bytes
        self._memory = memory
        self._send_lock = asyncio.Lock()
        self._frame_numbers = itertools.count(1)
        self._assemblies_by_frame: dict[int, FrameAssembly] = {}

    async def send(
        self,
        message: 'Message',
        correlation: int = 0,
        *,
        timeout_seconds: float,
    ) -> LinkFailure | DeliveryUnknown | None:
        """Send one message.

        Returns
        -------
        LinkFailure or DeliveryUnknown or None
            `LinkFailure` is returned only if `send` of the WebSocket was not called for the
            message. Once called, `send` may have written the frame even if it is cancelled or
            raises, since it waits for space in the write buffer after writing.
        """
        pieces = encode_pieces(Frame(correlation, message))
        size = sum(map(len, pieces))
        if size > self._frame_bytes:
            detail = f'frame of {size} bytes exceeds the limit of {self._frame_bytes}'
            return LinkFailure(Reason.FRAME_TOO_LARGE, detail)
        wire_frames = self._split_into_parts(split_pieces(pieces, MAX_PART_BYTES), size)
        progress = _SendProgress()
        try:
            async with asyncio.timeout(timeout_seconds):
                return await self._send_parts(wire_frames, progress)
        except TimeoutError:
            return PEER_TIMEOUT if progress.is_started else PEER_CONGESTED
        except WebSocketException:
            return PEER_LINK_LOST if progress.is_started else PEER_UNREACHABLE

    async def receive(self) -> Frame | ProtocolFailure:
        """Receive one message."""
        while True:
            frame = await self._receive_wire_frame()
            if isinstance(frame, ProtocolFailure):
                return frame
            if not isinstance(frame.message, FramePart):
                return frame
            complete = self._add_part(frame.message)
            if isinstance(complete, ProtocolFailure):
                return complete
            if complete is not None:
                return _decode_joined_frame(complete)

    def drop_incomplete(self) -> None:
        """Drop and refuse all frames that have arrived in part."""
        assemblies = tuple(self._assemblies_by_frame.values())
        self._assemblies_by_frame.clear()
        for assembly in assemblies:
            if self._memory is not None:
                self._memory.refuse(assembly.beginning)

    async def close(self) -> None:
        """Close the connection."""
        await self._socket.close()

    async def is_responding(self, timeout_seconds: float) -> bool:
        """Whether the peer answers a ping within the timeout."""
        try:
            async with asyncio.timeout(timeout_seconds):
                pong = asyncio.ensure_future(await self._socket.ping())
        except (TimeoutError, WebSocketException):
            return False
        # A pong that arrives together with the timeout counts: this process was late, not the peer.
        await asyncio.wait((pong,), timeout=timeout_seconds)
        return pong.done() and not pong.cancelled() and pong.exception() is None

    async def _send_parts(
        self,
        wire_frames: Iterator[bytes],
        progress: _SendProgress,
    ) -> LinkFailure | DeliveryUnknown | None:
        for wire_frame in wire_frames:
            # The lock is fair, so that a waiting small frame is sent before the next part.
            async with self._send_lock:
                if self._socket.state is not State.OPEN:
                    return PEER_LINK_LOST if progress.is_started else PEER_UNREACHABLE
                progress.is_started = True
                await self._socket.send(wire_frame)
        return None

    def _split_into_parts(self, pieces: Iterator[bytes], size: int) -> Iterator[bytes]:
        if size <= MAX_PART_BYTES:
            yield from pieces
            return
        number = next(self._frame_numbers)
        last = (size - 1) // MAX_PART_BYTES
        for index, content in enumerate(pieces):
            part = FramePart(number, index, last=index == last, content=content)
            yield encode_frame(Frame(0, part))

    async def _receive_wire_frame(self) -> Frame | ProtocolFailure:
        try:
            encoded = await self._socket.recv()
        except ConnectionClosedError as error:
            if error.sent is not None and error.sent.code == _MESSAGE_TOO_BIG_CODE:
                return ProtocolFailure(Reason.FRAME_TOO_LARGE, error.sent.reason)
            raise
        if isinstance(encoded, str):
            return ProtocolFailure(Reason.FRAME_MALFORMED, 'expected a binary frame')
        return decode_frame(encoded)

    def _add_part(self, part: FramePart) -> FrameAssembly | ProtocolFailure | None:
        assembly = self._assemblies_by_frame.get(part.frame) or FrameAssembly()
        if part.place != assembly.parts:
            # The sender abandoned the frame, or its first parts have been evicted.
            self._assemblies_by_frame.pop(part.frame, None)
            return None
        assembly.add(part.content)
        if assembly.size > self._frame_bytes:
            detail = f'frame in parts exceeds the limit of {self._frame_bytes} bytes'
            return ProtocolFailure(Reason.FRAME_TOO_LARGE, detail)
        self._assemblies_by_frame[part.frame] = assembly
        if self._memory is not None and not self._memory.may_hold(self._incomplete_bytes()):
            self._refuse(part.frame)
            return None
        if part.last:
            return self._take_complete(part.frame)
        self._evict_incomplete_frames()
        return None

    def _take_complete(self, number: int) -> FrameAssembly | None:
        assembly = self._assemblies_by_frame.pop(number, None)
        if self._memory is not None:
            self._memory.may_hold(self._incomplete_bytes())
        return assembly

    def _incomplete_bytes(self) -> int:
        return sum(assembly.size for assembly in self._assemblies_by_frame.values())

    def _refuse(self, number: int) -> None:
        assembly = self._assemblies_by_frame.pop(number, None)
        if self._memory is None or assembly is None:
            return
        self._memory.may_hold(self._incomplete_bytes())
        self._memory.refuse(assembly.beginning)

    def _evict_incomplete_frames(self) -> None:
        # A frame is never completed if its sender gave up after some of its parts.
        while self._incomplete_bytes() > 2 * self._frame_bytes:
            self._assemblies_by_frame.pop(next(iter(self._assemblies_by_frame)))


def _decode_joined_frame(assembly: FrameAssembly) -> Frame | ProtocolFailure:
    frame = assembly.decode()
    if isinstance(frame, Frame) and isinstance(frame.message, FramePart):
        return ProtocolFailure(
            Reason.FRAME_MALFORMED, 'a frame in parts contains another frame part'
        )
    return frame
