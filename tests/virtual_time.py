"""An asyncio event loop whose clock jumps to the next timer instead of waiting."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any


class _JumpingSelector(selectors.SelectSelector):
    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise RuntimeError('deadlock: every task is waiting and no timer is set')
        self.now += max(timeout, 0)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        return self._jumping.now


class LoopClock:
    """Clock that reads the time of the running event loop."""

    def now(self) -> float:
        return asyncio.get_running_loop().time()


def run_in_virtual_time(main: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine to completion; sleeping takes no wall-clock time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
