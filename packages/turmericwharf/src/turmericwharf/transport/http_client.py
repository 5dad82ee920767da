"""HTTP requests with the curl client of tornado."""

import dataclasses

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPRequest, HTTPResponse


_DEFAULT_MAX_BODY_BYTES = 104_857_600
# Raised before a request is passed to curl, for instance for characters that are invalid in HTTP.
_SETUP_ERRORS = (ValueError, TypeError, KeyError, pycurl.error)
_STATUS_LINE_START = 'HTTP/'
_HEAD_ENDS = frozenset(('\r\n', '\n'))


@dataclasses.dataclass(frozen=True, slots=True)
class FetchFailure:
    """Failure of a request that ended without a complete response.

    Parameters
    ----------
    errno
        Error number of curl; None if the request could not be passed to curl, in which case no
        byte of it was sent.
    """

    errno: int | None
    detail: str


def make_client(
    max_clients: int, *, max_body_bytes: int = _DEFAULT_MAX_BODY_BYTES
) -> CurlAsyncHTTPClient:
    """Return a curl client with a separate connection pool.

    Parameters
    ----------
    max_body_bytes
        Maximum size of a response body; a larger one is cut and fails the request.
    """
    return CurlAsyncHTTPClient(
        force_instance=True, max_clients=max_clients, max_body_size=max_body_bytes
    )


async def fetch(client: CurlAsyncHTTPClient, request: HTTPRequest) -> HTTPResponse | FetchFailure:
    """Return the response, whatever its status, or a failure if there is no complete response.

    curl takes a head that ends with the connection for a complete one, and reports no error.
    """
    head = _HeadWatch()
    request.header_callback = head.add_line
    try:
        response = await client.fetch(request, raise_error=False)
    except CurlError as error:
        return FetchFailure(error.errno, str(error))
    except _SETUP_ERRORS as error:
        return FetchFailure(None, str(error))
    if head.is_complete:
        return response
    return FetchFailure(
        pycurl.E_PARTIAL_FILE, 'the connection was closed before the head was complete'
    )


class _HeadWatch:
    """Whether the head of the final response has ended with an empty line."""

    def __init__(self) -> None:
        self.is_complete = False

    def add_line(self, line: str) -> None:
        """Add a line of the head; that of an interim response comes first."""
        if line.startswith(_STATUS_LINE_START):
            self.is_complete = False
        elif line in _HEAD_ENDS:
            self.is_complete = True
