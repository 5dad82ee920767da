"""Whether the backend server beside the node is cold, and the permit of its requests.

Load pattern: as in `cold_permit`. A server whose state is unknown counts as cold, since the bound
must hold for it too: at the start of the process, after a lost connection to the server, and while
its announcements are overdue.
"""

import asyncio
import collections
import contextlib
import math
from collections.abc import Iterator

from loguru import logger

from turmericwharf.coordination.clock import Clock
from turmericwharf.coordination.sidecar.active_configuration import ActiveConfiguration
from turmericwharf.coordination.sidecar.cold_permit import (
    ColdPermit,
    RequestRate,
    cold_rate,
    warm_rate,
)
from turmericwharf.coordination.sidecar.reloadable_bounds import ReloadableBounds
from turmericwharf.coordination.state_dump import describe
from turmericwharf.state import (
    SERVER_COLD,
    Answered,
    Outcome,
    Reason,
    RequestFailure,
    ServiceId,
)
from turmericwharf.state.sidecar import (
    AnnouncedServer,
    ColdLimit,
    ColdStartDump,
    WorkOrder,
)

_ANNOUNCEMENT_INTERVAL_SECONDS = 1.5
# Two announcements in a row are missing.
_OVERDUE_SECONDS = 2 * _ANNOUNCEMENT_INTERVAL_SECONDS
# The server refused or reset the connection, as it does when its process ends.
_CONNECTION_FAILURES = frozenset((Reason.SERVER_UNREACHABLE, Reason.ANSWER_INCOMPLETE))


class ColdStartGate:
    """Holds back requests to the local server while it is cold, or may be.

    Services without a limit for cold servers are not affected.

    Parameters
    ----------
    configuration
        Configuration in force, with the limits of the services.
    bounds
        Bounds of the fleet on the requests of a cold server.
    clock
        Clock of the node.
    """

    def __init__(
        self, configuration: ActiveConfiguration, bounds: ReloadableBounds, clock: Clock
    ) -> None:
        self._configuration = configuration
        self._bounds = bounds
        self._clock = clock
        self._permit = ColdPermit(clock.now())
        self._server = AnnouncedServer()
        self._is_unknown = True
        self._reported_at = -math.inf
        self._cold_until = -math.inf
        # Orders wait for their permit one behind the other.
        self._turn = asyncio.Lock()
        self._reported = asyncio.Event()
        self._queued_by_rank: collections.Counter[int] = collections.Counter()
        self.waiting = 0
        self.refused = 0

    @property
    def is_limited(self) -> bool:
        """Whether the service of the announced server has a limit for cold servers."""
        return self._find_limit(self._server.service) is not None

    @property
    def is_cold(self) -> bool:
        """Whether the server is cold, or its state is unknown."""
        now = self._clock.now()
        is_overdue = now - self._reported_at > _OVERDUE_SECONDS
        return self._is_unknown or is_overdue or now < self._cold_until

    @property
    def cold_seconds(self) -> float:
        """Time for which the announced server stays cold; 0 if its service has no limit."""
        return max(self._cold_until - self._clock.now(), 0) if self.is_limited else 0

    def record_announcement(self, server: AnnouncedServer) -> bool:
        """Record what a ready server reported; return whether it has become cold by that."""
        was_cold = self.cold_seconds > 0
        is_new_start = server.start != self._server.start
        limit = self._find_limit(server.service)
        cold_seconds = server.cold_seconds
        if cold_seconds is None and is_new_start and limit is not None:
            cold_seconds = limit.start_seconds
        now = self._clock.now()
        if cold_seconds is not None:
            self._cold_until = now + cold_seconds
        self._server = server
        self._is_unknown = False
        self._reported_at = now
        self._reported.set()
        self._reported = asyncio.Event()
        has_become_cold = self.cold_seconds > 0 and not was_cold
        if has_become_cold:
            logger.bind(server=server.server, seconds=round(self.cold_seconds, 3)).info(
                'server_cold'
            )
        return has_become_cold

    def record_outcome(self, outcome: Outcome) -> None:
        """Record how a request at the server ended; it may have ended with the server."""
        if isinstance(outcome, Answered) or outcome.reason not in _CONNECTION_FAILURES:
            return
        if self.is_limited and not self._is_unknown:
            logger.bind(server=self._server.server, reason=outcome.reason.value).info(
                'server_maybe_cold'
            )
        self._is_unknown = True

    def find_refusal(self, order: WorkOrder, *, run_seconds: float) -> RequestFailure | None:
        """Refuse an order whose permit would come later than the order may wait.

        Parameters
        ----------
        run_seconds
            Usual run time of the order.
        """
        expected_seconds = self.expected_wait_seconds(order.service, order.rank)
        if not expected_seconds or expected_seconds <= _max_wait_seconds(order, run_seconds):
            return None
        self.refused += 1
        return SERVER_COLD

    @contextlib.contextmanager
    def queued(self, order: WorkOrder) -> Iterator[None]:
        """Count an order that waits for a slot, and so comes before others of its rank."""
        self._queued_by_rank[order.rank] += 1
        try:
            yield
        finally:
            self._queued_by_rank[order.rank] -= 1

    async def wait_for_permit(
        self, order: WorkOrder, *, run_seconds: float, waited_seconds: float
    ) -> RequestFailure | None:
        """Wait until an order with a slot may be sent; refuse it when it has waited too long.

        Parameters
        ----------
        waited_seconds
            Time that the order has waited already.
        """
        if self._find_limit(order.service) is None:
            self._record(order.service)
            return None
        self.waiting += 1
        try:
            async with asyncio.timeout(_max_wait_seconds(order, run_seconds) - waited_seconds):
                async with self._turn:
                    await self._wait_until_due(order.service)
                    self._record(order.service)
        except TimeoutError:
            self.refused += 1
            return SERVER_COLD
        finally:
            self.waiting -= 1
        return None

    def acquire_now(self, service: ServiceId) -> bool:
        """Use the permit if it is due now, as for a health check; return whether it was."""
        if self.expected_wait_seconds(service):
            return False
        self._record(service)
        return True

    def expected_wait_seconds(self, service: ServiceId, rank: int | None = None) -> float:
        """Return the time until one more order may be sent.

        Parameters
        ----------
        rank
            Rank of the order, which is served before the queued ones of lower ranks; None to count
            all of them.
        """
        rate = self._find_rate(service)
        if rate is None:
            return 0
        queued = sum(
            count
            for queued_rank, count in self._queued_by_rank.items()
            if rank is None or queued_rank >= rank
        )
        return self._permit.seconds_until(rate, self._clock.now(), ahead=queued + self.waiting)

    async def _wait_until_due(self, service: ServiceId) -> None:
        while True:
            rate = self._find_rate(service)
            now = self._clock.now()
            seconds = 0.0 if rate is None else self._permit.seconds_until(rate, now)
            if not seconds:
                return
            # The server may be reported as warm, or as cold, before that time.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(seconds):
                    await self._reported.wait()

    def _record(self, service: ServiceId) -> None:
        now = self._clock.now()
        limit = self._find_limit(service)
        if limit is None:
            # A limit that is published later must hold for the requests before it.
            self._permit.forget(now)
            return
        bounds = self._bounds.current
        rates = (cold_rate(limit, bounds), warm_rate(limit, bounds))
        self._permit.record(now, *(rate for rate in rates if rate is not None))

    def _find_rate(self, service: ServiceId) -> RequestRate | None:
        limit = self._find_limit(service)
        if limit is None:
            return None
        decide = cold_rate if self.is_cold else warm_rate
        return decide(limit, self._bounds.current)

    def _find_limit(self, service: ServiceId) -> ColdLimit | None:
        return self._configuration.current.cold_limits_by_service.get(service)


def _max_wait_seconds(order: WorkOrder, run_seconds: float) -> float:
    return max(min(order.max_wait_seconds, order.remaining_seconds - run_seconds), 0)


@describe.register
def _(gate: ColdStartGate) -> ColdStartDump:
    return ColdStartDump(
        is_limited=gate.is_limited,
        is_cold=gate.is_limited and gate.is_cold,
        waiting=gate.waiting,
        refused_total=gate.refused,
    )
