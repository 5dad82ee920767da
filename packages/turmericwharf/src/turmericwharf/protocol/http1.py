"""Parses the requests of clients and encodes the responses to them, in HTTP/1.1."""

import dataclasses
import io

import h11

from turmericwharf.protocol.hop_headers import strip_hop_by_hop_headers
from turmericwharf.protocol.http_status import HttpResponse
from turmericwharf.state import BODY_TOO_LARGE, HEADERS_TOO_LARGE, Headers, ProtocolFailure, Reason
from turmericwharf.state.sidecar import ClientLimits

# Colon, space and CRLF of each header line.
_HEADER_OVERHEAD_BYTES = 4
_HEADERS_TOO_LARGE_STATUS = 431
# Responses with these statuses have no body.
_BODILESS_STATUSES = frozenset((204, 304))
# Parts of bodies that are parsed before other connections get their turn. Parsing one takes about
# 15 us.
_PARTS_PER_STEP = 64
# h11 limits an incomplete message to the header limit plus this margin.
_READ_ALLOWANCE_BYTES = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class HttpRequest:
    """A complete request from a client.

    Parameters
    ----------
    exchange
        Protocol state of the connection, needed to encode the response.
    waited_seconds
        Time for which the request waited behind others of its connection.
    """

    method: str
    target: str
    host: str
    headers: Headers
    body: bytes
    exchange: h11.Connection
    waited_seconds: float = 0


class RequestReader:
    """Parses pipelined requests: the next one may be read before a response is written."""

    def __init__(self) -> None:
        self._limits = ClientLimits()
        self._exchange = self._make_exchange()
        self._head: h11.Request | None = None
        # The buffer of `BytesIO` becomes the body without a copy.
        self._body = io.BytesIO()
        self._has_bytes = False
        self.has_unparsed = False

    @property
    def exchange(self) -> h11.Connection:
        """Protocol state of the connection for the request that is being read."""
        return self._exchange

    @property
    def has_partial_request(self) -> bool:
        """Whether a request has been received in part."""
        return self._has_bytes or self._head is not None

    @property
    def has_head(self) -> bool:
        """Whether the head of the request that is being read has been received."""
        return self._head is not None

    @property
    def declared_bytes(self) -> int:
        """Size of the body that the head of the request being read states; 0 without one."""
        return 0 if self._head is None else _content_length(self._head)

    @property
    def received_bytes(self) -> int:
        """Size of the part of the body that has been received."""
        return self._body.tell()

    def discard(self) -> None:
        """Drop the body that has been received; the request cannot be completed any more."""
        self._body = io.BytesIO()

    def update_limits(self, limits: ClientLimits) -> None:
        """Replace the size limits for requests from now on."""
        self._limits = limits

    def receive(self, encoded: bytes) -> None:
        """Add bytes received on the connection."""
        self._has_bytes = True
        self._exchange.receive_data(encoded)

    def next_request(self) -> HttpRequest | ProtocolFailure | None:
        """Return the next request, a failure if it is invalid, or None while it is incomplete.

        It parses a limited number of parts. If that was not all that has been received,
        `has_unparsed` is true, and the next call continues.
        """
        try:
            return self._next_request()
        except h11.RemoteProtocolError as error:
            if error.error_status_hint == _HEADERS_TOO_LARGE_STATUS:
                return ProtocolFailure(HEADERS_TOO_LARGE.reason, HEADERS_TOO_LARGE.detail)
            return ProtocolFailure(Reason.REQUEST_MALFORMED, str(error))

    def _next_request(self) -> HttpRequest | ProtocolFailure | None:
        self.has_unparsed = False
        for _ in range(_PARTS_PER_STEP):
            event = self._exchange.next_event()
            if isinstance(event, h11.EndOfMessage):
                return self._finish_message()
            if not isinstance(event, h11.Request | h11.Data):
                return None
            failure = self._process_event(event)
            if failure is not None:
                return failure
        self.has_unparsed = True
        return None

    def _process_event(self, event: h11.Request | h11.Data) -> ProtocolFailure | None:
        if isinstance(event, h11.Request):
            self._head = event
            return self._check_head(event)
        if self.received_bytes + len(event.data) > self._limits.body_bytes:
            return ProtocolFailure(BODY_TOO_LARGE.reason, BODY_TOO_LARGE.detail)
        self._body.write(event.data)
        return None

    def _check_head(self, head: h11.Request) -> ProtocolFailure | None:
        size = sum(
            len(name) + len(text) + _HEADER_OVERHEAD_BYTES
            for name, text in head.headers.raw_items()
        )
        if size + len(head.target) > self._limits.header_bytes:
            return ProtocolFailure(HEADERS_TOO_LARGE.reason, HEADERS_TOO_LARGE.detail)
        if _content_length(head) > self._limits.body_bytes:
            return ProtocolFailure(BODY_TOO_LARGE.reason, BODY_TOO_LARGE.detail)
        return None

    def _finish_message(self) -> HttpRequest | None:
        head, exchange = self._head, self._exchange
        if head is None:
            return None
        trailing = exchange.trailing_data[0]
        request = HttpRequest(
            method=head.method.decode('ascii'),
            target=head.target.decode('latin-1'),
            host=dict(head.headers).get(b'host', b'').decode('latin-1'),
            headers=decode_headers(head.headers.raw_items()),
            body=self._body.getvalue(),
            exchange=exchange,
        )
        self._exchange = self._make_exchange()
        self._head = None
        self._body = io.BytesIO()
        self._has_bytes = bool(trailing)
        if trailing:
            self._exchange.receive_data(trailing)
        return request

    def _make_exchange(self) -> h11.Connection:
        max_event_bytes = self._limits.header_bytes + _READ_ALLOWANCE_BYTES
        return h11.Connection(h11.SERVER, max_incomplete_event_size=max_event_bytes)


def _content_length(head: h11.Request) -> int:
    length = dict(head.headers).get(b'content-length', b'0')
    return int(length) if length.isdigit() else 0


def encode_response(
    exchange: h11.Connection,
    response: HttpResponse,
    *,
    is_last: bool,
    method: str = 'GET',
) -> tuple[bytes, bytes]:
    """Encode a response; with `is_last` it announces that the connection will be closed.

    Returns
    -------
    tuple of bytes
        The head and the body, which is not copied.
    """
    headers = list(response.headers)
    has_body = response.status not in _BODILESS_STATUSES and method != 'HEAD'
    if response.status not in _BODILESS_STATUSES:
        headers.append(('Content-Length', str(len(response.body))))
    if is_last:
        headers.append(('Connection', 'close'))
    head = exchange.send(
        h11.Response(status_code=response.status, headers=encode_headers(tuple(headers))),
    )
    if has_body:
        exchange.send(h11.Data(data=response.body))
    exchange.send(h11.EndOfMessage())
    return head or b'', response.body if has_body else b''


def must_close_connection(exchange: h11.Connection) -> bool:
    """Whether the connection must be closed after the response that was encoded."""
    return exchange.our_state is not h11.DONE


def forwarded_headers(headers: Headers) -> Headers:
    """Return the headers that a proxy forwards, without those that `Connection` lists."""
    listed = {
        name.strip().lower()
        for header, text in headers
        if header.lower() == 'connection'
        for name in text.split(',')
    }
    kept = tuple(pair for pair in headers if pair[0].lower() not in listed)
    return strip_hop_by_hop_headers(kept)


def decode_headers(pairs: list[tuple[bytes, bytes]]) -> Headers:
    """Return the header fields of an event of h11 as text."""
    return tuple((name.decode('latin-1'), text.decode('latin-1')) for name, text in pairs)


def encode_headers(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Return header fields as an event of h11 takes them."""
    return [(name.encode('latin-1'), text.encode('latin-1')) for name, text in headers]
