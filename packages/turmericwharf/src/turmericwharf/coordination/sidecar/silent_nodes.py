"""Nodes that did not answer as a source of the store's contents."""

import asyncio

from loguru import logger

from turmericwharf.coordination.clock import Clock
from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.coordination.state_dump import describe
from turmericwharf.state import InstanceId
from turmericwharf.state.sidecar import NodeEntry, Silence, SilentNodesDump

# A process that is merely slow answers again within about a second.
_MIN_INTERVAL_SECONDS = 1.0
_MAX_INTERVAL_SECONDS = 8.0


class SilentNodes:
    """Silent processes, each until it answers again; they are polled at growing intervals.

    The suspicion of the directory cannot serve here: it ends by itself, and a search for a source
    would then wait for a silent node once more.

    Parameters
    ----------
    directory
        Known nodes.
    clock
        Clock of the node.
    """

    def __init__(self, directory: NodeDirectory, clock: Clock) -> None:
        self._directory = directory
        self._clock = clock
        self._silences_by_instance: dict[InstanceId, Silence] = {}
        self._changed = asyncio.Event()
        self._silences_total = 0

    @property
    def instances(self) -> tuple[InstanceId, ...]:
        """Instances whose running process is silent."""
        return tuple(filter(self.contains, self._silences_by_instance))

    @property
    def silences_total(self) -> int:
        """How often a node fell silent since this process started."""
        return self._silences_total

    def contains(self, instance: InstanceId) -> bool:
        """Whether the known process of an instance is silent."""
        silence = self._silences_by_instance.get(instance)
        return silence is not None and silence.process == self._directory.process_of(instance)

    def record_silence(self, entry: NodeEntry) -> None:
        """Record that a process did not answer."""
        known = self._silences_by_instance.get(entry.instance)
        seconds = _MIN_INTERVAL_SECONDS
        if known is not None and known.process == entry.process:
            seconds = min(2 * known.interval_seconds, _MAX_INTERVAL_SECONDS)
        else:
            self._silences_total += 1
            logger.bind(instance=entry.instance).info('source_silent')
        self._silences_by_instance[entry.instance] = Silence(
            entry.process, self._clock.now() + seconds, seconds
        )
        self._record_change()
        self._directory.suspect(entry.instance)

    def record_answer(self, instance: InstanceId) -> None:
        """Record that a process answered."""
        if self._silences_by_instance.pop(instance, None) is not None:
            logger.bind(instance=instance).info('source_answers_again')
            self._directory.clear_suspicion(instance)
            self._record_change()

    async def wait_for_any(self) -> None:
        """Wait until a node is silent."""
        while not self._silences_by_instance:
            await self._changed.wait()

    async def wait_for_change(self) -> None:
        """Wait until a node falls silent or answers again."""
        await self._changed.wait()

    def take_due(self) -> list[NodeEntry]:
        """Return the silent nodes to poll now, and forget those that were replaced or removed."""
        self._silences_by_instance = {
            instance: silence
            for instance, silence in self._silences_by_instance.items()
            if self.contains(instance)
        }
        now = self._clock.now()
        entries = (
            self._directory.find(due)
            for due, silence_of_due in self._silences_by_instance.items()
            if silence_of_due.poll_at <= now
        )
        return [entry for entry in entries if entry is not None]

    def _record_change(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


@describe.register
def _(part: SilentNodes) -> SilentNodesDump:
    return SilentNodesDump(silent=part.instances, silences_total=part.silences_total)
