"""Long-lived tasks of a node after an unexpected error."""

import asyncio

from turmericwharf.transport.sidecar.task_supervisor import TaskSupervisor


class FailingOnce:
    """Part whose task raises at its first run."""

    def __init__(self) -> None:
        self.runs = 0
        self.is_running = asyncio.Event()

    async def run(self) -> None:
        self.runs += 1
        if self.runs == 1:
            raise KeyError('a record with an unexpected field')
        self.is_running.set()
        await asyncio.Event().wait()


async def test_a_task_that_raised_runs_again():
    """Guards against one unexpected record or answer that ends the whole process."""
    supervisor, part = TaskSupervisor(), FailingOnce()
    task = asyncio.create_task(supervisor.keep_running(part))
    await asyncio.wait_for(part.is_running.wait(), 2)
    assert supervisor.failures_by_part == {'FailingOnce': 1}
    task.cancel()
