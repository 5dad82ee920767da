"""Memory for the responses of the backend server that are being read."""

from turmericwharf.coordination.memory import HolderKind, MemoryBudget
from turmericwharf.state import HeldBytes
from turmericwharf.state.sidecar import ResponseLimits


# What a connection to the backend server takes in buffers while a response is read.
_BUFFERS_BYTES = 65_536


class ResponseMemory:
    """Bytes that all responses being read take together.

    Parameters
    ----------
    limits
        Maximum size of one response, and of all of them together.
    budget
        Memory of the process; None if it is not limited.
    """

    def __init__(self, limits: ResponseLimits, budget: MemoryBudget | None = None) -> None:
        self.limits = limits
        self.budget = budget
        self.reserved_bytes = 0

    def open(self) -> 'ResponseReservation':
        """Return the reservation of a new response, which takes no bytes yet."""
        return ResponseReservation(self)


class ResponseReservation:
    """Bytes that one response takes; a context manager that releases them at its end."""

    def __init__(self, memory: ResponseMemory) -> None:
        self._memory = memory
        self._bytes = 0
        self._holding = None if memory.budget is None else memory.budget.open(HolderKind.SERVER)
        # Whether the response was cut for what others hold, which says nothing of the server.
        self.lacked_memory = False

    def __enter__(self) -> 'ResponseReservation':
        return self

    def __exit__(self, *error: object) -> None:
        self._memory.reserved_bytes -= self._bytes
        self._bytes = 0
        if self._holding is not None:
            self._holding.close()

    def grow(self, size: int) -> bool:
        """Reserve further bytes; return False if the response or all of them exceed a limit."""
        limits = self._memory.limits
        is_within_limits = (
            self._bytes + size <= limits.body_bytes
            and self._memory.reserved_bytes + size <= limits.total_bytes
        )
        if is_within_limits and self._holding is not None:
            held = HeldBytes(running=self._bytes + size + _BUFFERS_BYTES)
            is_within_limits = self._holding.request(held)
            self.lacked_memory = not is_within_limits
        if is_within_limits:
            self._bytes += size
            self._memory.reserved_bytes += size
        return is_within_limits
