"""Decides which connections may hold memory, and which are released when it is exhausted.

Load pattern: clients send many large bodies at once and stop just short of the end, or leave many
responses unread, so that together they hold more than the machine has. Each of them stays within
the limits of a single request.
"""

import collections
import enum
import math
from collections.abc import Callable, Iterable

from loguru import logger

from turmericwharf.coordination.clock import Clock
from turmericwharf.coordination.state_dump import describe
from turmericwharf.state import HeldBytes, MachineLimits, MemoryBudgetDump, MemoryLimits

_BYTES_PER_MEGABYTE = 1_000_000
# The interpreter, the libraries and the state of a node, without anything held for a connection.
_PROCESS_BYTES = 65_000_000
# Part of the machine's memory that the process may use. The allocator keeps the rest in pieces.
_USABLE_SHARE = 0.9
# A node with less memory than it needs for itself still serves small requests.
_MIN_CAPACITY_BYTES = 8_000_000
# Answers of finished orders, which a sender may ask for again after a lost connection.
_RETAINED_SHARE = 0.1
_MAX_RETAINED_BYTES = 24_000_000
# Part of the memory that only small requests and the responses of the backend server may use. The
# rest suffices for one body of 64 MiB on a machine of 200 MB.
_RESERVED_SHARE = 0.3
# The part of that which the responses of the backend server leave to small requests.
_SMALL_REQUESTS_SHARE = 0.4
# Holdings up to this size are those of ordinary requests. They are released only if they are
# stalled in the middle of a request.
_SMALL_BYTES = 131_072
# A connection that neither sends nor reads for this long is released before others. Clients send
# and read without pauses of this length, except after a loss of several packets.
_STALLED_SECONDS = 2.0
# A client that sends less than this in that time is stalled too: one byte now and then would keep
# its memory and its connection for as long as a body may take.
_MIN_PROGRESS_BYTES = 4096
# A crowd is refused hundreds of times a second; the log shows one refusal of a kind in this time.
_REFUSAL_LOG_SECONDS = 1.0
# What one open connection takes in buffers while a request is being read.
CONNECTION_BYTES = 16_384
_MAX_BUFFERS_BYTES = 65_536
# What it takes while it waits to be parsed and is not read: full buffers of the kernel, of the
# stream and of the parser.
WAITING_CONNECTION_BYTES = 163_840
# What a request takes while it is run, without its body: tasks, headers and orders.
REQUEST_BYTES = 32_768
# At most this part of the memory is for the buffers of connections.
_BUFFERS_SHARE = 0.5
# Descriptors that are kept for files, and the part of the others that is for clients. The rest is
# for other nodes, the backend server and the store.
_RESERVED_DESCRIPTORS = 200
_CLIENT_DESCRIPTORS_SHARE = 0.6
_MIN_CONNECTIONS = 16
# Connections to addresses that only the platform and the backend server use.
_INTERNAL_CONNECTIONS_SHARE = 0.0625


class HolderKind(enum.Enum):
    """What a connection that holds memory is for."""

    CLIENT = 'client'
    PEER = 'peer'
    SERVER = 'server'


def derive_limits(machine: MachineLimits) -> MemoryLimits:
    """Return the limits of a process on a machine; one that is not known sets no limit."""
    memory_bytes = machine.memory_megabytes * _BYTES_PER_MEGABYTE
    capacity = None
    retained_bytes = _MAX_RETAINED_BYTES
    counts = []
    if memory_bytes:
        usable_bytes = int(memory_bytes * _USABLE_SHARE) - _PROCESS_BYTES
        capacity = max(usable_bytes, _MIN_CAPACITY_BYTES)
        retained_bytes = min(_MAX_RETAINED_BYTES, int(capacity * _RETAINED_SHARE))
        capacity -= retained_bytes
        counts.append(int(capacity * _BUFFERS_SHARE) // _MAX_BUFFERS_BYTES)
    if machine.descriptors:
        free_descriptors = machine.descriptors - _RESERVED_DESCRIPTORS
        counts.append(int(free_descriptors * _CLIENT_DESCRIPTORS_SHARE))
    connections = max(min(counts), _MIN_CONNECTIONS) if counts else None
    return MemoryLimits(
        capacity_bytes=capacity,
        reserved_bytes=0 if capacity is None else int(capacity * _RESERVED_SHARE),
        retained_bytes=retained_bytes,
        client_connections=connections,
        internal_connections=(
            None
            if connections is None
            else max(int(connections * _INTERNAL_CONNECTIONS_SHARE), _MIN_CONNECTIONS)
        ),
    )


class MemoryHolding:
    """Memory that is held for one connection.

    Parameters
    ----------
    budget
        Budget that the memory is taken from.
    kind
        What the connection is for.
    release
        Called with what was held when the memory is needed elsewhere; refuses or closes the
        connection, which drops what it holds. None for connections that are never released.
    now
        Time at which the connection was opened.
    """

    def __init__(
        self,
        budget: 'MemoryBudget',
        kind: HolderKind,
        release: Callable[[HeldBytes], None] | None,
        now: float,
    ) -> None:
        self._budget = budget
        self.kind = kind
        self.release = release
        self.held = HeldBytes()
        self.progress_at = now
        self.is_released = False
        # Since the last progress.
        self._received_bytes = 0

    def request(self, held: HeldBytes) -> bool:
        """Hold this much from now on; return False if there is no memory for it."""
        return self._budget.request(self, held)

    def take(self, held: HeldBytes) -> None:
        """Hold what is in memory already, and release connections if it is too much."""
        self._budget.take(self, held)

    def record_progress(self) -> None:
        """Record that the other side has sent a request, or has read something."""
        self.progress_at = self._budget.now()
        self._received_bytes = 0

    def record_received(self, size: int) -> None:
        """Record a part of a request, which is progress only together with enough other parts."""
        self._received_bytes += size
        if self._received_bytes >= _MIN_PROGRESS_BYTES:
            self.record_progress()

    def close(self) -> None:
        """Hold nothing any more."""
        self._budget.close(self)


class MemoryBudget:
    """Memory of the process that is held for clients, other nodes and the backend server.

    Parameters
    ----------
    limits
        Limits of the process.
    clock
        Clock of the node.
    """

    def __init__(self, limits: MemoryLimits, clock: Clock) -> None:
        self.limits = limits
        self._clock = clock
        self._holdings: set[MemoryHolding] = set()
        self.held_bytes = 0
        self.refusals_by_kind: collections.Counter[str] = collections.Counter()
        self.releases_by_kind: collections.Counter[str] = collections.Counter()
        self._next_log_by_kind: dict[str, float] = {}

    @property
    def holdings(self) -> int:
        """Number of connections that may hold memory."""
        return len(self._holdings)

    @property
    def free_bytes(self) -> float:
        """What connections may hold beyond what is held now; infinite if there is no limit."""
        capacity = self.limits.capacity_bytes
        return math.inf if capacity is None else capacity - self.held_bytes

    def now(self) -> float:
        """Return the time in seconds of the node's clock."""
        return self._clock.now()

    def open(
        self, kind: HolderKind, release: Callable[[HeldBytes], None] | None = None
    ) -> MemoryHolding:
        """Return the holding of a new connection, which holds nothing yet."""
        holding = MemoryHolding(self, kind, release, self._clock.now())
        self._holdings.add(holding)
        return holding

    def close(self, holding: MemoryHolding) -> None:
        """Return what a connection holds; its requests that still run hold nothing from now on."""
        self._holdings.discard(holding)
        holding.is_released = True
        self._set_held(holding, HeldBytes())

    def can_ever_hold(self, size: int) -> bool:
        """Whether a body of this size fits if nothing else is held."""
        capacity = self.limits.capacity_bytes
        return capacity is None or size <= capacity - self.limits.reserved_bytes

    def request(self, holding: MemoryHolding, held: HeldBytes) -> bool:
        """Let a connection hold this much, if there is memory for it or others can be released."""
        if holding.is_released:
            return False
        missing_bytes = self._missing_bytes(holding, held, held.total - holding.held.total)
        if held.total > holding.held.total and missing_bytes > 0:
            released = _choose_released(
                self._holdings - {holding},
                missing_bytes,
                requested_bytes=held.total,
                now=self._clock.now(),
            )
            if released is None:
                self._log_refusal(holding, held)
                return False
            self._release(released)
        self._set_held(holding, held)
        return True

    def take(self, holding: MemoryHolding, held: HeldBytes) -> None:
        """Count what a connection holds already; release others, or itself, if it is too much."""
        if holding.is_released:
            return
        self._set_held(holding, held)
        missing_bytes = self._missing_bytes(holding, held, 0)
        if missing_bytes <= 0:
            return
        released = _choose_released(
            self._holdings, missing_bytes, requested_bytes=0, now=self._clock.now()
        )
        self._release(released or ())

    def _missing_bytes(self, holding: MemoryHolding, held: HeldBytes, growth: int) -> int:
        capacity = self.limits.capacity_bytes
        if capacity is None:
            return 0
        if holding.kind is HolderKind.SERVER:
            capacity -= int(self.limits.reserved_bytes * _SMALL_REQUESTS_SHARE)
        elif held.total > _SMALL_BYTES:
            capacity -= self.limits.reserved_bytes
        return self.held_bytes + growth - capacity

    def _set_held(self, holding: MemoryHolding, held: HeldBytes) -> None:
        self.held_bytes += held.total - holding.held.total
        holding.held = held

    def _release(self, holdings: Iterable[MemoryHolding]) -> None:
        now = self._clock.now()
        for holding in holdings:
            logger.bind(
                kind=holding.kind.value,
                reading=holding.held.reading,
                unread=holding.held.unread,
                seconds_without_progress=round(now - holding.progress_at, 3),
                held_by_all=self.held_bytes,
            ).info('memory_released')
            self.releases_by_kind[holding.kind.value] += 1
            holding.is_released = True
            held = holding.held
            self._set_held(holding, HeldBytes(running=held.running))
            if holding.release is not None:
                holding.release(held)

    def _log_refusal(self, holding: MemoryHolding, held: HeldBytes) -> None:
        kind = holding.kind.value
        self.refusals_by_kind[kind] += 1
        now = self._clock.now()
        if now < self._next_log_by_kind.get(kind, now):
            return
        self._next_log_by_kind[kind] = now + _REFUSAL_LOG_SECONDS
        logger.bind(
            kind=kind,
            requested=held.total,
            held_by_all=self.held_bytes,
            refusals=self.refusals_by_kind[kind],
        ).info('memory_refused')


def _choose_released(
    holdings: Iterable[MemoryHolding],
    missing_bytes: int,
    *,
    requested_bytes: int,
    now: float,
) -> list[MemoryHolding] | None:
    """Return connections that together free the missing memory, or None if there are not enough.

    Stalled connections go first, then those that hold the most. One that makes progress is released
    only for a connection that would hold less than it does.
    """
    candidates = [
        holding
        for holding in holdings
        if holding.release is not None
        and not holding.is_released
        and _may_give_way(holding, requested_bytes, now)
    ]
    candidates.sort(
        key=lambda holding: (_is_stalled(holding, now), holding.held.releasable), reverse=True
    )
    released = []
    for candidate in candidates:
        released.append(candidate)
        missing_bytes -= candidate.held.releasable
        if missing_bytes <= 0:
            return released
    return None


def _may_give_way(holding: MemoryHolding, requested_bytes: int, now: float) -> bool:
    held = holding.held
    is_stalled = _is_stalled(holding, now)
    if held.releasable <= _SMALL_BYTES:
        # A response is not dropped: its request has run.
        is_partial_request = held.reading > 0 and held.reading == held.total
        return is_stalled and is_partial_request
    return is_stalled or held.releasable > requested_bytes


def _is_stalled(holding: MemoryHolding, now: float) -> bool:
    return now - holding.progress_at >= _STALLED_SECONDS


@describe.register
def _(budget: MemoryBudget) -> MemoryBudgetDump:
    return MemoryBudgetDump(
        held_bytes=budget.held_bytes,
        capacity_bytes=budget.limits.capacity_bytes or 0,
        holdings=budget.holdings,
        refusals_total=dict(budget.refusals_by_kind),
        releases_total=dict(budget.releases_by_kind),
    )
