"""Follows a reader of the store, replaces it when it fails, or has this node read the store."""

import asyncio
import random
from collections.abc import Iterable

from loguru import logger

from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.coordination.sidecar.directory_polls import DirectoryPolls
from turmericwharf.coordination.sidecar.directory_relay import MAX_WAIT_SECONDS
from turmericwharf.coordination.sidecar.source_selection import exclude_failed, name_reason
from turmericwharf.coordination.sidecar.source_times import SourceTimes
from turmericwharf.coordination.sidecar.store_freshness import StoreFreshness
from turmericwharf.coordination.sidecar.store_source import StoreSource
from turmericwharf.state import InstanceId
from turmericwharf.state.sidecar import (
    CurrentNodeFound,
    NodeEntry,
    NoSourceLeft,
    PollResult,
    SourceEvent,
    SourceLost,
    SourceState,
)

_REPLY_MARGIN_SECONDS = 0.5
# Delay between two polls, so that changes close together arrive in one reply.
_BATCH_SECONDS = 0.1
# Delay before the readers are polled again while this node reads the store itself.
_READER_RETRY_SECONDS = 1.0
# Shortest time between two polls of a silent node. A request that waits for longer than a link
# takes to notice the silence makes the link connect again.
_SILENCE_CHECK_SECONDS = 0.5
_SILENT_NODE_TIMEOUT_SECONDS = 1.0


class SourceFollower:
    """Runs the state of the source: follows a node, searches for one, or reads the store.

    Parameters
    ----------
    directory
        Known nodes.
    source
        Holds the selection, and selects the nodes that may be followed.
    polls
        Polls nodes for entries.
    freshness
        Whether this node has read the store recently.
    times
        Longest times of the steps of a replacement.
    """

    def __init__(
        self,
        directory: NodeDirectory,
        source: StoreSource,
        polls: DirectoryPolls,
        freshness: StoreFreshness,
        times: SourceTimes,
    ) -> None:
        self._directory = directory
        self._source = source
        self._readers = source.readers
        self._silent_nodes = source.readers.silent_nodes
        self._polls = polls
        self._freshness = freshness
        self._times = times
        self._polls_in_progress: set[asyncio.Task[PollResult]] = set()
        self._step_by_state = {
            SourceState.FOLLOWS: self._follow,
            SourceState.SEARCHES: self._search,
            SourceState.READS_STORE: self._read_store,
        }

    async def run(self) -> None:
        """Follow, search or read until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._run_states())
            group.create_task(self._poll_silent_nodes())

    async def _run_states(self) -> None:
        self._source.apply(NoSourceLeft())
        while True:
            step = self._step_by_state[self._source.state]
            self._source.apply(await step())

    async def _follow(self) -> SourceEvent:
        source = await self._source.wait_for_source()
        waiting = (
            asyncio.create_task(self._poll_until_lost(source)),
            asyncio.create_task(self._ping_until_lost(source)),
            asyncio.create_task(self._wait_until_reader()),
        )
        try:
            done, _ = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in waiting:
                task.cancel()
        event = done.pop().result()
        logger.bind(instance=source.instance, reason=name_reason(event)).info('store_source_left')
        return event

    async def _poll_until_lost(self, source: NodeEntry) -> SourceEvent:
        while True:
            result = await self._polls.poll(
                source, wait_seconds=MAX_WAIT_SECONDS, timeout_seconds=_REPLY_MARGIN_SECONDS
            )
            if result is PollResult.SILENT:
                self._directory.suspect(source.instance)
            if result is not PollResult.CURRENT:
                return SourceLost(result)
            await asyncio.sleep(_BATCH_SECONDS)
            preferred = self._readers.upstream_candidates()[:1]
            if preferred and preferred[0].instance != source.instance:
                if await self._poll(preferred[0]) is PollResult.CURRENT:
                    return CurrentNodeFound(preferred[0])

    async def _ping_until_lost(self, source: NodeEntry) -> SourceEvent:
        await self._polls.wait_until_silent(source, self._times)
        return SourceLost(PollResult.SILENT)

    async def _wait_until_reader(self) -> SourceEvent:
        """Wait until silent nodes above this one make it a reader."""
        while self._readers.upstream_candidates():
            await self._silent_nodes.wait_for_change()
        return NoSourceLeft()

    async def _search(self) -> SourceEvent:
        """Poll all candidates at once, then wait for those that replace the readers."""
        ranked = self._readers.ranked_nodes()
        candidates = self._readers.upstream_candidates(ranked)
        results_by_instance = await self._poll_all(candidates)
        found = _find_current(candidates, results_by_instance)
        if found is not None:
            return found
        ranked = exclude_failed(ranked, results_by_instance)
        substitutes = self._readers.upstream_candidates(ranked)
        deadline = asyncio.get_running_loop().time() + self._times.substitute_seconds
        while substitutes and asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(self._times.relay_seconds)
            found = _find_current(substitutes, await self._poll_all(substitutes))
            if found is not None:
                return found
        return NoSourceLeft()

    async def _read_store(self) -> SourceEvent:
        for candidate in self._readers.upstream_candidates():
            if await self._poll(candidate, _REPLY_MARGIN_SECONDS) is PollResult.CURRENT:
                return CurrentNodeFound(candidate)
        await self._poll_random_peer()
        await self._wait_for_reader()
        return NoSourceLeft()

    async def _wait_for_reader(self) -> None:
        """Wait before the readers are polled again; no longer than until the first is known.

        A node that has just started reads the store once, and then polls the readers instead.
        """
        # Jitter keeps the nodes from polling at the same time.
        wait_seconds = _READER_RETRY_SECONDS * random.uniform(0.7, 1.3)
        if self._directory.peers:
            await asyncio.sleep(wait_seconds)
        else:
            await self._directory.wait_for_change(self._directory.change_number, wait_seconds)

    async def _poll_random_peer(self) -> None:
        """Fetch entries from a random node while the store is unreachable."""
        peers = [
            peer
            for peer in self._directory.peers
            if not self._directory.is_suspected(peer.instance)
        ]
        if not peers or self._freshness.is_current:
            return
        peer = random.choice(peers)
        result = await self._polls.poll(peer, timeout_seconds=_REPLY_MARGIN_SECONDS)
        if result is PollResult.SILENT:
            self._directory.suspect(peer.instance)

    async def _poll_silent_nodes(self) -> None:
        while True:
            await self._silent_nodes.wait_for_any()
            await asyncio.sleep(_SILENCE_CHECK_SECONDS * random.uniform(0.8, 1.2))
            due = self._silent_nodes.take_due()
            await asyncio.gather(*(self._poll(peer, _SILENT_NODE_TIMEOUT_SECONDS) for peer in due))

    async def _poll_all(self, peers: Iterable[NodeEntry]) -> dict[InstanceId, PollResult]:
        """Poll nodes at once until one is current; return what is known by then."""
        poll_by_instance = {peer.instance: asyncio.create_task(self._poll(peer)) for peer in peers}
        pending = set(poll_by_instance.values())
        # The others may still turn out to be silent, so they are not cancelled.
        self._polls_in_progress = {
            poll for poll in self._polls_in_progress if not poll.done()
        } | pending
        has_current = False
        while pending and not has_current:
            done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            has_current = PollResult.CURRENT in {ended.result() for ended in done}
        return {
            instance: answered.result()
            for instance, answered in poll_by_instance.items()
            if answered.done()
        }

    async def _poll(self, peer: NodeEntry, timeout_seconds: float | None = None) -> PollResult:
        if timeout_seconds is None:
            timeout_seconds = self._times.answer_seconds
        result = await self._polls.poll(peer, timeout_seconds=timeout_seconds)
        if result is PollResult.SILENT:
            self._silent_nodes.record_silence(peer)
        else:
            self._silent_nodes.record_answer(peer.instance)
        return result


def _find_current(
    candidates: Iterable[NodeEntry],
    results_by_instance: dict[InstanceId, PollResult],
) -> CurrentNodeFound | None:
    for entry in candidates:
        if results_by_instance.get(entry.instance) is PollResult.CURRENT:
            return CurrentNodeFound(entry)
    return None
