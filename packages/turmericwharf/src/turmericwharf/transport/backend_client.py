"""HTTP client of the backend server on the local instance."""

from types import MappingProxyType

import pycurl
from tornado.httpclient import HTTPRequest, HTTPResponse
from tornado.httputil import HTTPHeaders, HTTPInputError

from turmericwharf.protocol import (
    DEADLINE_HEADER,
    REQUEST_HEADER,
    SHED_HEADER,
    strip_hop_by_hop_headers,
)
from turmericwharf.state import (
    Answered,
    Execute,
    LimitSettings,
    NotRun,
    Outcome,
    OutcomeUnknown,
    Reason,
)
from turmericwharf.transport.http_client import FetchFailure, fetch, make_client

_MAX_CONCURRENT_REQUESTS = 512
_MILLISECONDS_PER_SECOND = 1000
# Errors that curl reports only if no byte of the request was written.
_NOT_SENT_ERRNOS = frozenset((pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST))
_BODILESS_STATUSES = frozenset((204, 304))
_LENGTH_HEADERS = frozenset(('Content-Length', 'Transfer-Encoding'))
# Header that tornado's client adds to responses.
_CLIENT_HEADERS = frozenset(('X-Http-Reason',))
_REASONS_BY_ERRNO = MappingProxyType(
    {
        pycurl.E_OPERATION_TIMEDOUT: Reason.ANSWER_TIMEOUT,
        pycurl.E_PARTIAL_FILE: Reason.ANSWER_INCOMPLETE,
        pycurl.E_FILESIZE_EXCEEDED: Reason.ANSWER_TOO_LARGE,
    }
)


class HttpBackendClient:
    """Client of the backend server on the local instance, connected over loopback.

    Parameters
    ----------
    limits
        Limits on sizes and times.
    """

    def __init__(self, limits: LimitSettings) -> None:
        self._limits = limits
        self._client = make_client(_MAX_CONCURRENT_REQUESTS)
        self._port: int | None = None

    def update_port(self, port: int) -> None:
        """Send all further requests to this port."""
        self._port = port

    async def run(self, order: Execute, *, remaining_seconds: float) -> Outcome:
        """Run one request.

        Returns
        -------
        Outcome
            `NotRun` only if no byte of the request was written or the server shed it.
        """
        if self._port is None:
            return NotRun(Reason.SERVER_UNKNOWN, 'the backend server has not announced itself')
        try:
            request = self._make_request(order, remaining_seconds)
        except HTTPInputError as error:
            return NotRun(Reason.REQUEST_MALFORMED, str(error))
        response = await fetch(self._client, request)
        if isinstance(response, FetchFailure):
            return _failure_outcome(response)
        return _response_outcome(response, order.method)

    async def cancel(self, order: Execute) -> None:
        """Ask the server to cancel a request."""
        await fetch(
            self._client,
            HTTPRequest(
                f'http://127.0.0.1:{self._port}/turmericwharf/cancel/{order.request}',
                method='POST',
                body=b'',
            ),
        )

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    def _make_request(self, order: Execute, remaining_seconds: float) -> HTTPRequest:
        headers = HTTPHeaders()
        for name, text in order.headers:
            headers.add(name, text)
        headers[REQUEST_HEADER] = order.request
        headers[DEADLINE_HEADER] = str(int(remaining_seconds * _MILLISECONDS_PER_SECOND))
        # A non-idempotent request is not aborted at its deadline: it continues and keeps its slot.
        grace_seconds = 0 if order.idempotent else self._limits.finish_seconds
        return HTTPRequest(
            f'http://127.0.0.1:{self._port}{order.target}',
            method=order.method,
            headers=headers,
            body=order.body or None,
            request_timeout=remaining_seconds + grace_seconds,
            connect_timeout=remaining_seconds,
            follow_redirects=False,
            allow_nonstandard_methods=True,
            decompress_response=False,
            prepare_curl_callback=self._configure_curl,
        )

    def _configure_curl(self, curl: pycurl.Curl) -> None:
        curl.setopt(pycurl.MAXFILESIZE, self._limits.answer_body_bytes)
        # If a reused connection is lost before the first byte of the response, curl silently sends
        # the request again. It never does so on a new connection.
        curl.setopt(pycurl.FRESH_CONNECT, 1)
        curl.setopt(pycurl.FORBID_REUSE, 1)


def _response_outcome(response: HTTPResponse, method: str) -> Outcome:
    if response.headers.get(SHED_HEADER):
        return NotRun(Reason.SERVER_SHED, 'the backend server shed the request')
    has_body = method != 'HEAD' and response.code not in _BODILESS_STATUSES
    if has_body and not _LENGTH_HEADERS.intersection(response.headers):
        # Without a length, a closed connection does not prove that the body is complete.
        return OutcomeUnknown(
            Reason.ANSWER_INCOMPLETE,
            'the response has neither Content-Length nor Transfer-Encoding',
        )
    headers = tuple(pair for pair in response.headers.get_all() if pair[0] not in _CLIENT_HEADERS)
    return Answered(
        status=response.code,
        headers=strip_hop_by_hop_headers(headers, keep_length=not has_body),
        body=response.body or b'',
        first_byte_milliseconds=response.time_info.get('starttransfer', 0)
        * _MILLISECONDS_PER_SECOND,
        server_milliseconds=(response.request_time or 0) * _MILLISECONDS_PER_SECOND,
    )


def _failure_outcome(failure: FetchFailure) -> Outcome:
    if failure.errno is None:
        return NotRun(Reason.REQUEST_MALFORMED, failure.detail)
    if failure.errno in _NOT_SENT_ERRNOS:
        return NotRun(Reason.SERVER_UNREACHABLE, failure.detail)
    reason = _REASONS_BY_ERRNO.get(failure.errno, Reason.ANSWER_INCOMPLETE)
    return OutcomeUnknown(reason, failure.detail)
