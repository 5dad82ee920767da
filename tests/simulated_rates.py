"""Nodes of a fleet in one process, on a virtual clock and with links and a log that fail.

Everything of `coordination` is real; the simulation stands in for the transport layer.
"""

import asyncio
import itertools
import random
from collections.abc import Callable, Coroutine
from typing import Any

from turmericwharf.coordination import Node, Ports, build_node, partition_of
from turmericwharf.protocol import SnapshotEncoding, handle_message
from turmericwharf.state import (
    CONTROL_STREAM,
    LOG_UNAVAILABLE,
    PEER_TIMEOUT,
    PEER_UNREACHABLE,
    Joined,
    Left,
    ListenSettings,
    LogPage,
    LogSettings,
    Member,
    NodeSettings,
    Organisation,
    Publish,
    StoredRecord,
    TimingSettings,
)

HOP_SECONDS = 0.001
LATE_SECONDS = 15.0


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose time jumps to the next timer instead of waiting for it."""

    def __init__(self) -> None:
        self.virtual_now = 1000.0
        super().__init__()

    def time(self) -> float:
        return self.virtual_now

    def _run_once(self) -> None:
        if not self._ready and self._scheduled:
            self.virtual_now = max(self.virtual_now, self._scheduled[0].when())
        super()._run_once()


def run_virtual(main: Callable[[], Coroutine[Any, Any, Any]]) -> Any:
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main())


class SimulatedNode:
    """One incarnation; a task of its own moves it on, and stops while it is paused."""

    def __init__(self, fleet: 'SimulatedFleet', instance: str, number: int) -> None:
        self.fleet = fleet
        self.instance = instance
        self.is_running = asyncio.Event()
        self.is_running.set()
        self.is_dead = False
        # Clocks of machines differ by an offset and drift.
        self._offset = fleet.random.uniform(0, 1000)
        self._pace = 1 + fleet.random.uniform(-0.008, 0.008)
        self.member = Member(instance, f'{number:04d}', '127.0.0.1', 1, 'dc-1')
        self.node: Node = build_node(
            settings=NodeSettings(
                instance=instance,
                data_centre='dc-1',
                fleet_secret='x' * 32,
                listen=ListenSettings('127.0.0.1', 1, 2, 3, 4),
                log=LogSettings('http://127.0.0.1:1'),
                timing=fleet.timing,
            ),
            own=self.member,
            ports=Ports(
                clock=self,
                wall_clock=self,
                log=self,
                codec=SnapshotEncoding(),
                links=self,
                server=self,
            ),
        )
        self.tasks = [
            asyncio.create_task(task())
            for task in (
                self._join,
                self._follow,
                self._gossip,
                self._confirm,
                self._limit,
                self._report,
            )
        ]

    def now(self) -> float:
        return asyncio.get_running_loop().time() * self._pace + self._offset

    def pause(self) -> None:
        self.is_running.clear()

    def resume(self) -> None:
        self.is_running.set()

    def kill(self) -> None:
        self.is_dead = True
        for task in self.tasks:
            task.cancel()

    async def admit(self) -> bool:
        """Let one request enter here; record it if it was admitted."""
        if self.is_dead or not self.is_running.is_set():
            return False
        organisation = self.fleet.organisation
        if not self.node.standing.has_standing:
            return False
        task = asyncio.create_task(self.node.limiter.admit(organisation))
        self.tasks.append(task)
        done, _ = await asyncio.wait([task])
        if task.cancelled() or not task.result():
            return False
        self.fleet.admissions.append((asyncio.get_running_loop().time(), organisation.organisation))
        return True

    async def _sleep(self, seconds: float) -> None:
        await asyncio.sleep(seconds * self.fleet.random.uniform(0.9, 1.1))
        await self.is_running.wait()

    async def _join(self) -> None:
        while await self.append(CONTROL_STREAM, (Joined(self.member),)) is LOG_UNAVAILABLE:
            await self._sleep(0.5)

    async def _follow(self) -> None:
        is_at_tail = False
        self.node.control_log._needs_snapshot = False
        while True:
            is_at_tail = await self.node.control_log._read_once(is_at_tail)
            await self._sleep(0.2)

    async def _gossip(self) -> None:
        while True:
            gossiper = self.node.gossiper
            gossiper.refresh_standing()
            peer = gossiper.choose_peer()
            if peer is not None:
                self.tasks.append(asyncio.create_task(gossiper.pull(peer)))
            await self._sleep(gossiper.pull_interval_seconds())

    async def _confirm(self) -> None:
        while True:
            await self._sleep(0.5)
            await self.node.confirmer.confirm_once()

    async def _limit(self) -> None:
        while True:
            await self._sleep(0.25)
            self.node.limiter.loans.tick()

    async def _report(self) -> None:
        while True:
            await self._sleep(0.05)
            self.node.limiter.tick()

    async def append(self, stream: str, records: Any) -> Any:
        if self.fleet.is_cut(self.instance, 'log'):
            return LOG_UNAVAILABLE
        for record in records:
            self.fleet.records.append(StoredRecord(len(self.fleet.records), record))
        return len(self.fleet.records) - 1

    async def read(self, stream: str, *, offset: int, wait_seconds: float) -> Any:
        if self.fleet.is_cut(self.instance, 'log'):
            await self._sleep(0.5)
            return LOG_UNAVAILABLE
        records = tuple(self.fleet.records[offset:])
        await self._sleep(HOP_SECONDS)
        return LogPage(records, 0, offset + len(records))

    async def request(self, instance: str, message: Any, *, timeout_seconds: float) -> Any:
        # What was sent arrives, even if the sender no longer waits for the answer.
        exchange = asyncio.create_task(self._exchange(instance, message))
        self.tasks.append(exchange)
        try:
            async with asyncio.timeout(timeout_seconds):
                answer = await asyncio.shield(exchange)
        except TimeoutError:
            answer = PEER_TIMEOUT
        # A paused process finds the answer, or the end of the time, when it goes on.
        await self.is_running.wait()
        return answer

    def notify(self, instance: str, message: Any) -> None:
        task = asyncio.create_task(self.request(instance, message, timeout_seconds=2))
        self.tasks.append(task)

    async def _exchange(self, instance: str, message: Any) -> Any:
        peer = self.fleet.nodes_by_id.get(instance)
        if peer is None or peer.is_dead:
            return PEER_UNREACHABLE
        await self.fleet.deliver(self.instance, peer)
        # The peer answers even if the time of the question has passed meanwhile.
        answering = asyncio.create_task(handle_message(message, peer.node))
        peer.tasks.append(answering)
        answer = await asyncio.shield(answering)
        await self.fleet.deliver(instance, self)
        return answer


def name_in_first_partition() -> str:
    return next(name for name in map(str, itertools.count()) if partition_of(name) == 0)


class SimulatedFleet:
    """Nodes by instance, the log, and which links are cut."""

    def __init__(self, *, rate: float, burst: float, seed: int = 1) -> None:
        self.random = random.Random(seed)
        random.seed(seed)
        self.timing = TimingSettings()
        self.organisation = Organisation(name_in_first_partition(), rate, burst)
        publish = Publish('p', -1, 'test', organisations=(self.organisation,))
        self.records: list[StoredRecord] = [StoredRecord(0, publish)]
        self.nodes_by_id: dict[str, SimulatedNode] = {}
        self.cut_links: set[tuple[str, str]] = set()
        self.admissions: list[tuple[float, str]] = []
        self.loss = 0.0
        self.latency_seconds = HOP_SECONDS
        self.delayed_nodes: set[str] = set()
        self.max_total_share = 0.0
        self._numbers = itertools.count()

    def start(self, *instances: str) -> None:
        for instance in instances:
            if instance in self.nodes_by_id:
                self.nodes_by_id[instance].kill()
            node = SimulatedNode(self, instance, next(self._numbers))
            self.nodes_by_id[instance] = node

    def append(self, record: Joined | Left) -> None:
        self.records.append(StoredRecord(len(self.records), record))

    def remove(self, instance: str) -> None:
        """Let the log say that a member left, whether or not its process stopped."""
        member = self.nodes_by_id[instance].member
        self.append(Left(member.instance, member.incarnation))

    def is_cut(self, source: str, destination: str) -> bool:
        return (source, destination) in self.cut_links

    def cut_links_between(self, some: Any, others: Any) -> None:
        """Cut all links between two groups, in both directions; `log` is the log."""
        for one in some:
            for other in others:
                self.cut_links |= {(one, other), (other, one)}

    async def deliver(self, source: str, node: SimulatedNode) -> None:
        await asyncio.sleep(self.random.uniform(HOP_SECONDS, self.latency_seconds))
        if node.instance in self.delayed_nodes:
            await asyncio.sleep(LATE_SECONDS)
        if self.random.random() < self.loss:
            await asyncio.sleep(3600)
        # Bytes of a cut link arrive when it is healed, as with a connection that stays open.
        while self.is_cut(source, node.instance) or not node.is_running.is_set():
            await asyncio.sleep(0.05)

    async def send_load(self, *, factor: float, seconds: float, at: Any = None) -> float:
        """Send requests to all nodes in turn; return the part that was refused."""
        loop = asyncio.get_running_loop()
        period = 1 / (self.organisation.rate_per_second * factor)
        ends_at = loop.time() + seconds
        requests = []
        while loop.time() < ends_at:
            nodes = [self.nodes_by_id[one] for one in at or sorted(self.nodes_by_id)]
            requests.append(asyncio.create_task(self.random.choice(nodes).admit()))
            await asyncio.sleep(period)
        admitted = await asyncio.gather(*requests)
        return 1 - sum(admitted) / len(admitted)

    def apply(self, event: str, one: str, other: str) -> None:
        """Let something happen to one node, or to the link from it to another."""
        if one not in self.nodes_by_id:
            self.start(one)
            return
        node = self.nodes_by_id[one]
        others = [peer for peer in self.nodes_by_id if peer != one]
        actions: dict[str, Callable[[], Any]] = {
            'start': lambda: self.start(one),
            'remove': lambda: self.remove(one),
            'pause': node.pause,
            'resume': node.resume,
            'kill': node.kill,
            'cut': lambda: self.cut_links.add((one, other)),
            'cut log': lambda: self.cut_links_between([one], ['log']),
            'isolate': lambda: self.cut_links_between([one], others),
            'heal': self.cut_links.clear,
            'lose messages': self._switch_loss,
            'hear late': lambda: self.delayed_nodes.add(one),
            'slow links': self._switch_latency,
        }
        actions[event]()

    def _switch_loss(self) -> None:
        self.loss = 0.0 if self.loss else 0.2

    def _switch_latency(self) -> None:
        # A question and its answer still come in time.
        slow = self.latency_seconds == HOP_SECONDS
        self.latency_seconds = 0.24 if slow else HOP_SECONDS

    async def watch_shares(self) -> None:
        """Note the largest sum of the shares that all running nodes use at one moment."""
        while True:
            await asyncio.sleep(0.03)
            used = [
                node.node.limiter.loans.segments(0)[-1].share
                for node in self.nodes_by_id.values()
                if node.is_running.is_set() and not node.is_dead
            ]
            self.max_total_share = max(self.max_total_share, sum(used))

    def close(self) -> None:
        for node in self.nodes_by_id.values():
            node.kill()


def find_excess(
    admissions: list[tuple[float, str]], *, rate: float, burst: float
) -> tuple[float, str, float] | None:
    """Return the moment and organisation with most requests above rate x window + burst.

    All windows are checked in one pass for each organisation: a full bucket with the rate and
    burst runs short of tokens exactly when some window that ends now holds too many.
    """
    worst: tuple[float, str, float] | None = None
    buckets_by_id: dict[str, tuple[float, float]] = {}
    for moment, organisation in sorted(admissions):
        tokens, filled_at = buckets_by_id.get(organisation, (burst, moment))
        tokens = min(tokens + (moment - filled_at) * rate, burst) - 1
        buckets_by_id[organisation] = (tokens, moment)
        if tokens < -1e-3 and (worst is None or -tokens > worst[2]):
            worst = (moment, organisation, -tokens)
    return worst
