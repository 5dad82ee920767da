"""Network connections of a node, with one task for each connection and each peer."""

from .announce_server import (
    AnnounceServer,
    Announcement,
)
from .backend_client import (
    HttpBackendClient,
)
from .caller_server import (
    CallerServer,
)
from .clock import (
    BootClock,
    UtcClock,
)
from .connection import (
    FrameChannel,
    MAX_PART_BYTES,
    MAX_WIRE_FRAME_BYTES,
    WebSocketConnection,
)
from .http_client import (
    FetchFailure,
    fetch,
    make_client,
)
from .http_exchange import (
    HttpExchange,
    HttpExchangeHandler,
    HttpExchangeTable,
)
from .http_server import (
    DrainableServer,
    listen_http,
)
from .log_client import (
    HttpLog,
)
from .metrics import (
    render_metrics,
)
from .operator_server import (
    OperatorServer,
)
from .peer_link import (
    PeerLink,
    PeerLinkTable,
    open_websocket,
    perform_handshake,
)
from .peer_server import (
    PeerServer,
)
from .process import (
    NodeProcess,
)

__all__ = (
    'AnnounceServer',
    'Announcement',
    'BootClock',
    'CallerServer',
    'DrainableServer',
    'FetchFailure',
    'FrameChannel',
    'HttpBackendClient',
    'HttpExchange',
    'HttpExchangeHandler',
    'HttpExchangeTable',
    'HttpLog',
    'MAX_PART_BYTES',
    'MAX_WIRE_FRAME_BYTES',
    'NodeProcess',
    'OperatorServer',
    'PeerLink',
    'PeerLinkTable',
    'PeerServer',
    'UtcClock',
    'WebSocketConnection',
    'fetch',
    'listen_http',
    'make_client',
    'open_websocket',
    'perform_handshake',
    'render_metrics',
)
