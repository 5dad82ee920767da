"""Encodes a request to a backend server and parses the response to it, in HTTP/1.1."""

import dataclasses
import io
from collections.abc import Callable

import h11

from turmericwharf.protocol.http1 import decode_headers, encode_headers
from turmericwharf.state import Headers, ProtocolFailure, Reason

# A server may send interim responses, such as 103, before the final one.
_MAX_INTERIM_RESPONSES = 8
# A body in smaller parts than this costs more time to parse than its bytes are worth.
_MAX_BODY_PARTS = 16_384
# Parts that are parsed before other tasks get their turn.
_PARTS_PER_STEP = 128
# The parser accepts statuses up to 999, and rejects those below 100.
_MAX_STATUS = 599
_METHODS_WITH_BODY = frozenset(('POST', 'PUT', 'PATCH'))


@dataclasses.dataclass(frozen=True, slots=True)
class ServerResponse:
    """A complete response from a backend server."""

    status: int
    headers: Headers
    body: bytes


class ResponseReader:
    """Encodes one request and parses the response to it.

    Parameters
    ----------
    may_grow
        Called with the number of bytes by which the body grows; the response is rejected if it
        returns False.
    """

    def __init__(self, may_grow: Callable[[int], bool]) -> None:
        self._may_grow = may_grow
        self._exchange = h11.Connection(h11.CLIENT)
        self._head: h11.Response | None = None
        # The buffer of `BytesIO` becomes the body without a copy.
        self._body = io.BytesIO()
        self._interim_responses = 0
        self._body_parts = 0
        self._unparsed: bytes | None = None
        self._needs_bytes = True

    def encode_head(self, method: str, target: str, headers: Headers, body: bytes) -> bytes:
        """Return the encoded head of a request, which the body follows as it is."""
        fields = list(headers)
        if body or method in _METHODS_WITH_BODY:
            fields.append(('Content-Length', str(len(body))))
        head = self._exchange.send(
            h11.Request(
                method=method,
                target=target.encode('latin-1'),
                headers=encode_headers(tuple(fields)),
            ),
        )
        if body:
            self._exchange.send(h11.Data(data=body))
        self._exchange.send(h11.EndOfMessage())
        return head or b''

    @property
    def needs_bytes(self) -> bool:
        """Whether all received bytes have been parsed."""
        return self._needs_bytes

    def receive(self, encoded: bytes) -> None:
        """Add received bytes, empty at the end of the stream."""
        self._needs_bytes = False
        self._unparsed = encoded

    def next_response(self) -> ServerResponse | ProtocolFailure | None:
        """Parse a limited number of parts; return the response once it is complete."""
        try:
            return self._parse()
        except h11.RemoteProtocolError as error:
            return ProtocolFailure(Reason.ANSWER_INCOMPLETE, str(error))

    def _parse(self) -> ServerResponse | ProtocolFailure | None:
        if self._unparsed is not None:
            self._exchange.receive_data(self._unparsed)
            self._unparsed = None
        for _ in range(_PARTS_PER_STEP):
            event = self._exchange.next_event()
            if isinstance(event, h11.EndOfMessage):
                return self._finish_message()
            if isinstance(event, h11.ConnectionClosed):
                return ProtocolFailure(
                    Reason.ANSWER_INCOMPLETE, 'connection closed before the response was complete'
                )
            if not isinstance(event, h11.InformationalResponse | h11.Response | h11.Data):
                self._needs_bytes = True
                return None
            failure = self._process_event(event)
            if failure is not None:
                return failure
        return None

    def _process_event(
        self, event: h11.InformationalResponse | h11.Response | h11.Data
    ) -> ProtocolFailure | None:
        if isinstance(event, h11.Data):
            return self._add_data(event.data)
        if isinstance(event, h11.Response):
            return self._add_head(event)
        self._interim_responses += 1
        if self._interim_responses <= _MAX_INTERIM_RESPONSES:
            return None
        return ProtocolFailure(
            Reason.ANSWER_INCOMPLETE, f'more than {_MAX_INTERIM_RESPONSES} interim responses'
        )

    def _add_head(self, head: h11.Response) -> ProtocolFailure | None:
        if head.status_code > _MAX_STATUS:
            return ProtocolFailure(
                Reason.ANSWER_INCOMPLETE,
                f'the response has status {head.status_code}; expected 100 to {_MAX_STATUS}',
            )
        self._head = head
        return None

    def _add_data(self, received: bytes | bytearray) -> ProtocolFailure | None:
        self._body_parts += 1
        if self._body_parts > _MAX_BODY_PARTS:
            return ProtocolFailure(
                Reason.ANSWER_TOO_LARGE, f'the response body has more than {_MAX_BODY_PARTS} parts'
            )
        if not self._may_grow(len(received)):
            size = self._body.tell() + len(received)
            return ProtocolFailure(
                Reason.ANSWER_TOO_LARGE, f'the response body was cut after {size} bytes'
            )
        self._body.write(received)
        return None

    def _finish_message(self) -> ServerResponse | None:
        if self._head is None:
            return None
        return ServerResponse(
            status=self._head.status_code,
            headers=decode_headers(self._head.headers.raw_items()),
            body=self._body.getvalue(),
        )
