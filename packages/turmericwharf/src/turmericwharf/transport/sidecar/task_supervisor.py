"""Keeps the long-lived tasks of a node running after an unexpected error."""

import asyncio
import collections
from typing import Protocol

from loguru import logger

_MIN_DELAY_SECONDS = 0.1
_MAX_DELAY_SECONDS = 5.0


class LongLivedTask(Protocol):
    """A part of the node with a task that runs as long as the process."""

    async def run(self) -> None:
        """Run until cancelled."""


class TaskSupervisor:
    """Starts a task again after an error, so that one fault does not end the process.

    The delay before a start doubles with each further error of the same part, up to a maximum.
    """

    def __init__(self) -> None:
        self.failures_by_part: collections.Counter[str] = collections.Counter()

    async def keep_running(self, part: LongLivedTask) -> None:
        """Run a part until cancelled."""
        name = type(part).__name__
        delay_seconds = _MIN_DELAY_SECONDS
        while True:
            try:
                await part.run()
            except Exception:
                self.failures_by_part[name] += 1
                logger.bind(part=name, restart_in_seconds=delay_seconds).exception('task_failed')
            await asyncio.sleep(delay_seconds)
            delay_seconds = min(2 * delay_seconds, _MAX_DELAY_SECONDS)
