"""Sends and receives frames on a websocket."""

import asyncio
import itertools
from collections.abc import Awaitable
from typing import Any, Protocol

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
    Message,
    ProtocolFailure,
    Reason,
)

# A small frame waits for at most one piece of each large frame that is being sent.
MAX_PART_BYTES = 65536
MAX_WIRE_FRAME_BYTES = MAX_PART_BYTES + 4096
_TOO_BIG_CODE = 1009


class WebSocketConnection(Protocol):
    """The part of a websocket connection that frames need."""

    @property
    def state(self) -> State:
        """Whether the connection is open."""

    async def send(self, message: bytes) -> None:
        """Send one binary message."""

    async def recv(self) -> str | bytes:
        """Wait for one message."""

    async def close(self) -> None:
        """Close the connection."""

    async def ping(self) -> Awaitable[Any]:
        """Send a ping and return what waits for its answer."""


class FrameChannel:
    """Frames on one websocket; large ones go in pieces, with small ones in between.

    Parameters
    ----------
    socket
        The connection.
    frame_bytes
        Bound on one frame, and on all frames together of which only pieces have come.
    """

    def __init__(self, socket: WebSocketConnection, frame_bytes: int) -> None:
        self._socket = socket
        self._frame_bytes = frame_bytes
        self._turn = asyncio.Lock()
        self._numbers = itertools.count(1)
        self._parts_by_frame: dict[int, list[bytes]] = {}

    async def send(
        self,
        message: Message,
        correlation: int = 0,
        *,
        timeout_seconds: float,
    ) -> LinkFailure | DeliveryUnknown | None:
        """Send one message.

        Returns
        -------
        LinkFailure or DeliveryUnknown or None
            `LinkFailure` only if `send` of the websocket was never entered for the message.
            Once entered, it may have written the frame, also if it is cancelled or raises:
            it waits for room in the write buffer after it has written.
        """
        encoded = encode_frame(Frame(correlation, message))
        if len(encoded) > self._frame_bytes:
            detail = f'{len(encoded)} bytes are above the bound of {self._frame_bytes}'
            return LinkFailure(Reason.FRAME_TOO_LARGE, detail)
        pieces = self._split(encoded)
        begun: list[bytes] = []
        try:
            async with asyncio.timeout(timeout_seconds):
                return await self._send_pieces(pieces, begun)
        except TimeoutError:
            return PEER_TIMEOUT if begun else PEER_CONGESTED
        except WebSocketException:
            return PEER_LINK_LOST if begun else PEER_UNREACHABLE

    async def receive(self) -> Frame | ProtocolFailure:
        """Wait for one message."""
        while True:
            frame = await self._receive_wire_frame()
            if isinstance(frame, ProtocolFailure):
                return frame
            if not isinstance(frame.message, FramePart):
                return frame
            encoded = self._join(frame.message)
            if isinstance(encoded, ProtocolFailure):
                return encoded
            if encoded is not None:
                return _decode_whole(encoded)

    async def close(self) -> None:
        """Close the connection."""
        await self._socket.close()

    async def is_responding(self, timeout_seconds: float) -> bool:
        """Whether the peer answers a ping in time."""
        try:
            async with asyncio.timeout(timeout_seconds):
                await (await self._socket.ping())
        except (TimeoutError, WebSocketException):
            return False
        return True

    async def _send_pieces(
        self,
        pieces: list[bytes],
        begun: list[bytes],
    ) -> LinkFailure | DeliveryUnknown | None:
        for piece in pieces:
            # The lock is fair, so that a waiting small frame comes before the next piece.
            async with self._turn:
                if self._socket.state is not State.OPEN:
                    return PEER_LINK_LOST if begun else PEER_UNREACHABLE
                begun.append(piece)
                await self._socket.send(piece)
        return None

    def _split(self, encoded: bytes) -> list[bytes]:
        if len(encoded) <= MAX_PART_BYTES:
            return [encoded]
        number = next(self._numbers)
        starts = range(0, len(encoded), MAX_PART_BYTES)
        return [
            encode_frame(Frame(0, _make_part(encoded, number, place, start)))
            for place, start in enumerate(starts)
        ]

    async def _receive_wire_frame(self) -> Frame | ProtocolFailure:
        try:
            encoded = await self._socket.recv()
        except ConnectionClosedError as error:
            if error.sent is not None and error.sent.code == _TOO_BIG_CODE:
                return ProtocolFailure(Reason.FRAME_TOO_LARGE, error.sent.reason)
            raise
        if isinstance(encoded, str):
            return ProtocolFailure(Reason.FRAME_MALFORMED, 'expected a binary frame')
        return decode_frame(encoded)

    def _join(self, part: FramePart) -> bytes | ProtocolFailure | None:
        parts = self._parts_by_frame.get(part.frame, [])
        if part.place != len(parts):
            # The sender gave the frame up, or its first pieces were dropped below.
            self._parts_by_frame.pop(part.frame, None)
            return None
        parts.append(part.content)
        if sum(map(len, parts)) > self._frame_bytes:
            detail = f'a frame in pieces is above {self._frame_bytes} bytes'
            return ProtocolFailure(Reason.FRAME_TOO_LARGE, detail)
        if part.last:
            self._parts_by_frame.pop(part.frame, None)
            return b''.join(parts)
        self._parts_by_frame[part.frame] = parts
        self._drop_unfinished()
        return None

    def _drop_unfinished(self) -> None:
        # A sender that gave up in the middle of a frame never completes it.
        while sum(sum(map(len, parts)) for parts in self._parts_by_frame.values()) > (
            2 * self._frame_bytes
        ):
            self._parts_by_frame.pop(next(iter(self._parts_by_frame)))


def _make_part(encoded: bytes, number: int, place: int, start: int) -> FramePart:
    end = start + MAX_PART_BYTES
    return FramePart(number, place, last=end >= len(encoded), content=encoded[start:end])


def _decode_whole(encoded: bytes) -> Frame | ProtocolFailure:
    frame = decode_frame(encoded)
    if isinstance(frame, Frame) and isinstance(frame.message, FramePart):
        return ProtocolFailure(Reason.FRAME_MALFORMED, 'a piece inside a frame in pieces')
    return frame
