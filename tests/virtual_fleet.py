"""A simulated fleet: real coordination code on virtual time, over faulty links and a log.

Frames go through the real codec, so that their bytes can be counted. Time jumps from timer to
timer.
"""

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any

from turmericwharf.coordination import Node, Ports, build_node
from turmericwharf.protocol import (
    Frame,
    SnapshotEncoding,
    decode_frame,
    encode_frame,
    handle_message,
)
from turmericwharf.state import (
    LOG_UNAVAILABLE,
    PEER_TIMEOUT,
    PEER_UNREACHABLE,
    IncarnationId,
    InstanceId,
    Key,
    KeyDigest,
    ListenSettings,
    LogPage,
    LogSettings,
    Member,
    NodeSettings,
    Publish,
    StoredRecord,
    SeedSettings,
    TimingSettings,
)

SECRET = 'a fleet secret for tests, of 32 characters or more'
POLL_SECONDS = 0.1


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop that advances its time to the next timer instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self._now = 0.0
        select = self._selector.select

        def advance(timeout: float | None) -> Any:
            self._now += timeout or 0
            return select(0)

        self._selector.select = advance

    def time(self) -> float:
        return self._now


def run_virtual(main: Coroutine[Any, Any, None]) -> None:
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(main)


class LoopClock:
    def now(self) -> float:
        return asyncio.get_running_loop().time()


class VirtualFleet:
    """Nodes by name, the log, and the faults injected between them."""

    def __init__(self, seed: int, timing: TimingSettings) -> None:
        self.random = random.Random(seed)
        # The coordination code draws from the module-level generator.
        random.seed(seed)
        self.timing = timing
        self.nodes: dict[InstanceId, Node] = {}
        self.records: list[Any] = []
        self.log_unreachable: set[InstanceId] = set()
        self.partitioned_links: set[tuple[InstanceId, InstanceId]] = set()
        self.paused: set[InstanceId] = set()
        self.loss = 0.0
        self.delay_seconds = 0.0
        # Nodes whose frames and log replies are delayed; the others are fast.
        self.slow: set[InstanceId] = set()
        self.bytes_sent = 0
        self._starts = 0
        self._tasks: dict[InstanceId, list[asyncio.Task]] = {}

    def start(self, name: str, seeds: tuple[str, ...] = ()) -> Node:
        """Start a node, or replace the one in the same slot."""
        instance = InstanceId(name)
        self.kill(name)
        self._starts += 1
        own = Member(instance, IncarnationId(f'{self._starts:04d}'), name, 1, 'dc')
        node = build_node(
            settings=NodeSettings(
                instance,
                'dc',
                SECRET,
                ListenSettings(name, 1, 1, 1, 1),
                LogSettings('-'),
                {},
                tuple(SeedSettings(InstanceId(seed), seed, 1) for seed in seeds),
                timing=self.timing,
            ),
            own=own,
            ports=Ports(
                clock=LoopClock(),
                wall_clock=LoopClock(),
                log=VirtualLog(self, own),
                codec=SnapshotEncoding(),
                links=VirtualLinks(self, own),
                server=None,
            ),
        )
        self.nodes[instance] = node
        self._tasks[instance] = [
            asyncio.create_task(component.run())
            for component in (node.gossiper, node.joiner, node.remover)
        ]
        self._tasks[instance].append(asyncio.create_task(node.control_log.follow()))
        return node

    def kill(self, name: str) -> None:
        """Stop a node without notice."""
        self.nodes.pop(name, None)
        for task in self._tasks.pop(name, ()):
            task.cancel()

    def withdraw_key(self) -> int:
        """Append the withdrawal of a key to the log; return its version."""
        number = len(self.records)
        key = Key('k', KeyDigest('d'), 'org', withdrawn=True)
        self.records.append(Publish(f'p{number}', number, 'operator', keys=(key,)))
        return number

    def isolate(self, *names: str) -> None:
        """Partition nodes from all others and from the log."""
        self.log_unreachable.update(names)
        rest = self.nodes.keys() - set(names)
        self.partitioned_links.update((one, other) for one in names for other in rest)
        self.partitioned_links.update((other, one) for one in names for other in rest)

    def has_standing(self) -> dict[str, bool]:
        return {name: node.standing.has_standing for name, node in self.nodes.items()}

    async def wait(self, condition: Callable[[], bool], seconds: float) -> bool:
        deadline = asyncio.get_running_loop().time() + seconds
        while not condition():
            if asyncio.get_running_loop().time() > deadline:
                return False
            await asyncio.sleep(POLL_SECONDS)
        return True

    def draw_delay(self, *names: InstanceId) -> float:
        max_delay = self.delay_seconds if self.slow.intersection(names) else 0.0
        return self.random.uniform(0.001, 0.002 + max_delay)

    async def transmit(self, source: InstanceId, destination: InstanceId) -> bool:
        """Transmit one frame over a link; return False if it is lost."""
        if self.random.random() < self.loss:
            return False
        await asyncio.sleep(self.draw_delay(source, destination))
        # A frame on a partitioned link or for a paused process waits, as in a TCP buffer.
        while (source, destination) in self.partitioned_links or self.paused & {
            source,
            destination,
        }:
            await asyncio.sleep(POLL_SECONDS)
        return True

    def close(self) -> None:
        for name in tuple(self.nodes):
            self.kill(name)


class VirtualLinks:
    def __init__(self, fleet: VirtualFleet, own: Member) -> None:
        self._fleet = fleet
        self._own = own
        self._tasks: set[asyncio.Task] = set()

    async def request(self, instance, message, *, timeout_seconds):
        exchange = asyncio.ensure_future(self._exchange(instance, message))
        self._tasks.add(exchange)
        exchange.add_done_callback(self._tasks.discard)
        done, _pending = await asyncio.wait([exchange], timeout=timeout_seconds)
        return exchange.result() if done else PEER_TIMEOUT

    async def _exchange(self, instance, message):
        fleet = self._fleet
        fleet.bytes_sent += len(encode_frame(Frame(1, message)))
        if not await fleet.transmit(self._own.instance, instance):
            return PEER_TIMEOUT
        node = fleet.nodes.get(instance)
        if node is None or node.members.is_outdated(self._own.instance, self._own.incarnation):
            return PEER_UNREACHABLE
        answer = encode_frame(Frame(1, await handle_message(message, node)))
        fleet.bytes_sent += len(answer)
        if not await fleet.transmit(instance, self._own.instance):
            return PEER_TIMEOUT
        return decode_frame(answer).message

    async def connect_to_seed(self, seed):
        node = self._fleet.nodes.get(seed.instance)
        if node is None or not await self._fleet.transmit(
            self._own.instance, node.members.own.instance
        ):
            return PEER_UNREACHABLE
        return node.members.own

    def notify(self, instance, message):
        task = asyncio.create_task(self.request(instance, message, timeout_seconds=2))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


class VirtualLog:
    def __init__(self, fleet: VirtualFleet, own: Member) -> None:
        self._fleet = fleet
        self._own = own

    async def append(self, stream, records):
        if not await self._transmit():
            return LOG_UNAVAILABLE
        first = len(self._fleet.records)
        self._fleet.records.extend(records)
        return first

    async def read(self, stream, *, offset, wait_seconds):
        if not await self._transmit():
            return LOG_UNAVAILABLE
        await self._fleet.wait(lambda: len(self._fleet.records) > offset, wait_seconds)
        page = [
            StoredRecord(position, record) for position, record in enumerate(self._fleet.records)
        ][offset:]
        # The reply may be delayed or lost, too.
        if not await self._transmit():
            return LOG_UNAVAILABLE
        return LogPage(tuple(page), 0, offset + len(page))

    async def _transmit(self) -> bool:
        await asyncio.sleep(self._fleet.draw_delay(self._own.instance))
        while self._own.instance in self._fleet.paused:
            await asyncio.sleep(POLL_SECONDS)
        return self._own.instance not in self._fleet.log_unreachable
