"""Coordination logic of a sidecar node, which runs next to one backend server.

Nodes discover each other through the platform's store. Every request to a backend server goes
through its sidecar node, which alone decides whether and when the request runs.
"""

from turmericwharf.coordination.sidecar.entry_point import name_outcome
from turmericwharf.coordination.sidecar.peer_messages import answer_peer
from turmericwharf.coordination.sidecar.node import (
    SidecarNode,
    SidecarPorts,
    build_sidecar_node,
)
from turmericwharf.coordination.sidecar.ports import (
    ConfigurationDecoder,
    FleetLinks,
    KeyedLog,
    NodeEntryDecoder,
    NodeStore,
    ServerConnection,
)
from turmericwharf.coordination.sidecar.retry_times import with_retry_time
from turmericwharf.coordination.sidecar.server_responses import classify_response

__all__ = (
    'ConfigurationDecoder',
    'FleetLinks',
    'KeyedLog',
    'NodeEntryDecoder',
    'NodeStore',
    'ServerConnection',
    'SidecarNode',
    'SidecarPorts',
    'answer_peer',
    'build_sidecar_node',
    'classify_response',
    'name_outcome',
    'with_retry_time',
)
