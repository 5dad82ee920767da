"""Framing of messages on a WebSocket connection."""

import asyncio
import itertools
from collections.abc import Awaitable
from typing import Any, Protocol, TYPE_CHECKING

from websockets.exceptions import ConnectionClosedError, WebSocketException
from websockets.protocol import State

from turmericwharf.protocol import Frame, decode_frame, encode_frame
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


class FrameChannel:
    """Sends and receives frames on one WebSocket; large frames are interleaved with small ones.

    Parameters
    ----------
    socket
        The connection.
    frame_bytes
        Maximum size of a frame. Received parts of incomplete frames together take at most twice
        this size.
    """

    def __init__(self, socket: WebSocketConnection, frame_bytes: int) -> None:
        self._socket = socket
        self._frame_bytes = frame_bytes
        self._send_lock = asyncio.Lock()
        self._frame_numbers = itertools.count(1)
        self._parts_by_frame: dict[int, list[bytes]] = {}

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
        encoded = encode_frame(Frame(correlation, message))
        if len(encoded) > self._frame_bytes:
            detail = f'frame of {len(encoded)} bytes exceeds the limit of {self._frame_bytes}'
            return LinkFailure(Reason.FRAME_TOO_LARGE, detail)
        wire_frames = self._split_into_parts(encoded)
        started: list[bytes] = []
        try:
            async with asyncio.timeout(timeout_seconds):
                return await self._send_parts(wire_frames, started)
        except TimeoutError:
            return PEER_TIMEOUT if started else PEER_CONGESTED
        except WebSocketException:
            return PEER_LINK_LOST if started else PEER_UNREACHABLE

    async def receive(self) -> Frame | ProtocolFailure:
        """Receive one message."""
        while True:
            frame = await self._receive_wire_frame()
            if isinstance(frame, ProtocolFailure):
                return frame
            if not isinstance(frame.message, FramePart):
                return frame
            encoded = self._add_part(frame.message)
            if isinstance(encoded, ProtocolFailure):
                return encoded
            if encoded is not None:
                return _decode_joined_frame(encoded)

    async def close(self) -> None:
        """Close the connection."""
        await self._socket.close()

    async def is_responding(self, timeout_seconds: float) -> bool:
        """Whether the peer answers a ping within the timeout."""
        try:
            async with asyncio.timeout(timeout_seconds):
                await (await self._socket.ping())
        except (TimeoutError, WebSocketException):
            return False
        return True

    async def _send_parts(
        self,
        wire_frames: list[bytes],
        started: list[bytes],
    ) -> LinkFailure | DeliveryUnknown | None:
        for wire_frame in wire_frames:
            # The lock is fair, so that a waiting small frame is sent before the next part.
            async with self._send_lock:
                if self._socket.state is not State.OPEN:
                    return PEER_LINK_LOST if started else PEER_UNREACHABLE
                started.append(wire_frame)
                await self._socket.send(wire_frame)
        return None

    def _split_into_parts(self, encoded: bytes) -> list[bytes]:
        if len(encoded) <= MAX_PART_BYTES:
            return [encoded]
        number = next(self._frame_numbers)
        starts = range(0, len(encoded), MAX_PART_BYTES)
        return [
            encode_frame(Frame(0, _make_part(encoded, number, index, start)))
            for index, start in enumerate(starts)
        ]

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

    def _add_part(self, part: FramePart) -> bytes | ProtocolFailure | None:
        parts = self._parts_by_frame.get(part.frame, [])
        if part.place != len(parts):
            # The sender abandoned the frame, or its first parts have been evicted.
            self._parts_by_frame.pop(part.frame, None)
            return None
        parts.append(part.content)
        if sum(map(len, parts)) > self._frame_bytes:
            detail = f'frame in parts exceeds the limit of {self._frame_bytes} bytes'
            return ProtocolFailure(Reason.FRAME_TOO_LARGE, detail)
        if part.last:
            self._parts_by_frame.pop(part.frame, None)
            return b''.join(parts)
        self._parts_by_frame[part.frame] = parts
        self._evict_incomplete_frames()
        return None

    def _evict_incomplete_frames(self) -> None:
        # A frame is never completed if its sender gave up after some of its parts.
        while sum(sum(map(len, parts)) for parts in self._parts_by_frame.values()) > (
            2 * self._frame_bytes
        ):
            self._parts_by_frame.pop(next(iter(self._parts_by_frame)))


def _make_part(encoded: bytes, number: int, index: int, start: int) -> FramePart:
    end = start + MAX_PART_BYTES
    return FramePart(number, index, last=end >= len(encoded), content=encoded[start:end])


def _decode_joined_frame(encoded: bytes) -> Frame | ProtocolFailure:
    frame = decode_frame(encoded)
    if isinstance(frame, Frame) and isinstance(frame.message, FramePart):
        return ProtocolFailure(
            Reason.FRAME_MALFORMED, 'a frame in parts contains another frame part'
        )
    return frame
