"""Network connections of a node, with one task for each connection and each peer."""

from turmericwharf.transport.announce_server import (
    AnnounceServer,
    Announcement,
)
from turmericwharf.transport.backend_client import (
    HttpBackendClient,
)
from turmericwharf.transport.caller_server import (
    CallerServer,
)
from turmericwharf.transport.clock import (
    BootClock,
    UtcClock,
)
from turmericwharf.transport.connection import (
    FrameChannel,
    MAX_PART_BYTES,
    MAX_WIRE_FRAME_BYTES,
    WebSocketConnection,
)
from turmericwharf.transport.http_client import (
    FetchFailure,
    fetch,
    make_client,
)
from turmericwharf.transport.http_exchange import (
    HttpExchange,
    HttpExchangeHandler,
    HttpExchangeTable,
)
from turmericwharf.transport.http_server import (
    DrainableServer,
    listen_http,
)
from turmericwharf.transport.log_client import (
    HttpLog,
)
from turmericwharf.transport.metrics import (
    render_metrics,
)
from turmericwharf.transport.operator_server import (
    OperatorServer,
)
from turmericwharf.transport.peer_link import (
    PeerLink,
    PeerLinkTable,
    open_websocket,
    perform_handshake,
)
from turmericwharf.transport.peer_server import (
    PeerServer,
)
from turmericwharf.transport.process import (
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
