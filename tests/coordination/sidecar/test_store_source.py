import asyncio

import pytest

from tests.coordination.sidecar.samples import make_entry
from tests.virtual_time import LoopClock, run_in_virtual_time
from turmericwharf.coordination.sidecar.data_centre_ranking import DataCentreRanking
from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.coordination.sidecar.silent_nodes import SilentNodes
from turmericwharf.coordination.sidecar.store_readers import StoreReaders
from turmericwharf.coordination.sidecar.store_source import StoreSource
from turmericwharf.state.sidecar import CurrentNodeFound, NoSourceLeft, PollResult, SourceLost

FIRST, SECOND = make_entry('n1'), make_entry('n2')


def make_source():
    directory = NodeDirectory(make_entry('local'), LoopClock())
    silent_nodes = SilentNodes(directory, LoopClock())
    readers = StoreReaders(directory, DataCentreRanking(directory), silent_nodes)
    return StoreSource(asyncio.Event(), readers)


@pytest.mark.parametrize(
    'event', [SourceLost(PollResult.SILENT), CurrentNodeFound(SECOND), NoSourceLeft()]
)
def test_an_operation_on_the_followed_node_ends_with_the_selection(event):
    """Guards against a long poll at a silent reader that delays the next one's configuration."""

    async def main():
        source = make_source()
        source.apply(CurrentNodeFound(FIRST))
        entry = await source.wait_for_source()
        running = asyncio.create_task(source.run_while_followed(entry, asyncio.sleep(100)))
        await asyncio.sleep(1)
        assert not running.done()
        source.apply(event)
        await asyncio.sleep(0.01)
        assert running.done()

    run_in_virtual_time(main())


def test_an_error_of_an_operation_is_raised():
    """Guards against errors that are lost with the task that raised them."""

    async def fail():
        raise OSError('broken')

    async def main():
        source = make_source()
        source.apply(CurrentNodeFound(FIRST))
        with pytest.raises(OSError, match='broken'):
            await source.run_while_followed(FIRST, fail())

    run_in_virtual_time(main())
