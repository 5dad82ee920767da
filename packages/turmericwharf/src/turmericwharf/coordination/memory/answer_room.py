"""Room for the answer of the backend server, which a request needs before it runs.

A request that has run must get its answer, whose size is not known before. Without room for the
longest one, the request is refused.
"""

import contextlib
from collections.abc import Iterator

from turmericwharf.coordination.memory.memory_budget import HolderKind, MemoryBudget
from turmericwharf.state import HeldBytes


class AnswerRoom:
    """Room for the answers of all requests that run.

    Parameters
    ----------
    memory
        Memory of the process.
    answer_bytes
        Maximum size of an answer.
    """

    def __init__(self, memory: MemoryBudget, answer_bytes: int) -> None:
        self._memory = memory
        self._held = HeldBytes(running=answer_bytes)

    @property
    def is_short(self) -> bool:
        """Whether there is less room than for one more answer."""
        return self._memory.free_bytes < self._held.total

    @contextlib.contextmanager
    def reserved(self) -> Iterator[bool]:
        """Reserve room while a request runs; yield False if there is none."""
        holding = self._memory.open(HolderKind.SERVER)
        try:
            yield holding.request(self._held)
        finally:
            holding.close()
