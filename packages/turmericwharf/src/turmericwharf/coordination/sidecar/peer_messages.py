"""Handles messages from other nodes."""

from functools import singledispatch

from loguru import logger

from turmericwharf.coordination.sidecar.node import SidecarNode
from turmericwharf.state.sidecar import (
    ConfigurationRequest,
    DirectoryRequest,
    FleetMessage,
    Greeting,
    NodeEntry,
    RetryReply,
    RetryRequest,
    SlotRequest,
    TokenRequest,
    WorkCancel,
    WorkOrder,
)


@singledispatch
async def answer_peer(
    message: object,
    node: SidecarNode,
    peer: NodeEntry,
) -> FleetMessage | None:
    """Handle a message from another node; return its answer, or None if it has none."""
    logger.bind(type=type(message).__name__, instance=peer.instance).warning('message_unexpected')
    return None


@answer_peer.register
async def _(message: WorkOrder, node: SidecarNode, peer: NodeEntry) -> FleetMessage | None:
    node.spread.record_version(peer.instance, message.version)
    return await node.gate.serve(message, node.holder.version)


@answer_peer.register
async def _(message: SlotRequest, node: SidecarNode, peer: NodeEntry) -> FleetMessage | None:
    return node.gate.find_slot(message, node.holder.version)


@answer_peer.register
async def _(message: WorkCancel, node: SidecarNode, peer: NodeEntry) -> FleetMessage | None:
    node.gate.cancel(message)
    return None


@answer_peer.register
async def _(message: Greeting, node: SidecarNode, peer: NodeEntry) -> FleetMessage | None:
    node.spread.record_version(peer.instance, message.version)
    node.store_era.record(message.node.era, source=peer.instance)
    return Greeting(node.directory.local, node.holder.version)


@answer_peer.register
async def _(
    message: ConfigurationRequest,
    node: SidecarNode,
    peer: NodeEntry,
) -> FleetMessage | None:
    return await node.spread.answer(message)


@answer_peer.register
async def _(message: DirectoryRequest, node: SidecarNode, peer: NodeEntry) -> FleetMessage | None:
    node.store_era.record(message.era, source=peer.instance)
    return await node.relay.answer(message, peer)


@answer_peer.register
async def _(message: TokenRequest, node: SidecarNode, peer: NodeEntry) -> FleetMessage | None:
    node.spread.record_version(peer.instance, message.version)
    return node.quota.buckets.grant(message.organisation)


@answer_peer.register
async def _(message: RetryRequest, node: SidecarNode, peer: NodeEntry) -> FleetMessage | None:
    return RetryReply(node.allowance.pool.grant(message.service))
