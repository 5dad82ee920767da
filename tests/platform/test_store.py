import asyncio
import contextlib

from tests.coordination.sidecar.samples import make_entry
from tests.fleet_processes import free_port
from tests.stand_ins.cut_answers import running_server
from tests.stand_ins.platform_store import CONFIGURATION_TOPIC
from tests.stand_ins.platform_store import PlatformStore as StandIn
from turmericwharf.platform.store import PlatformStore
from turmericwharf.state import LogFailure
from turmericwharf.state.sidecar import (
    HISTORY_GONE,
    Address,
    StoreSettings,
    StoreTopic,
    WriteResult,
)

HOST = '127.0.0.1'


@contextlib.contextmanager
def running_store():
    stand_in, port = StandIn(), free_port(HOST)
    stand_in.start(HOST, port)
    client = PlatformStore(StoreSettings(Address(HOST, port)))
    try:
        yield stand_in, client
    finally:
        client.close()
        stand_in.stop()


async def read_changes(client, offset):
    return await client.read_changes(StoreTopic.NODES, offset=offset, wait_seconds=0)


async def test_reads_and_writes_carry_the_era():
    """Guards against offsets that are compared across eras because the era was not read."""
    with running_store() as (stand_in, client):
        assert await client.publish(make_entry('a')) == WriteResult(0)
        assert (await client.read_newest(StoreTopic.NODES)).era == 0
        stand_in.era = 3
        assert await client.publish(make_entry('a')) == WriteResult(3)
        assert (await client.read_newest(StoreTopic.NODES)).era == 3
        assert (await read_changes(client, 1)).era == 3


async def test_pages_of_two_eras_are_not_joined():
    """Guards against a read of the newest records that combines two states of the store.

    The store comes back older after it has sent the first page.
    """
    with running_store() as (stand_in, client):
        stand_in.newest_page_items = 1
        for name in ('a', 'b', 'c'):
            await client.publish(make_entry(name))
        reading = asyncio.create_task(client.read_newest(StoreTopic.NODES))
        while stand_in.calls < 4:
            await asyncio.sleep(0)
        stand_in.restore(0)
        stand_in.put('keyed.nodes', 'a', b'written again')
        page = await reading
        assert page.era == 1
        assert page.records_by_key['a'].encoded == b'written again'


async def test_an_end_that_has_fallen_behind_the_reader_is_noticed():
    """Guards against a reader that waits at an offset which the store assigns again.

    A store that sends no era answers such a read with an empty page.
    """
    with running_store() as (stand_in, client):
        assert await read_changes(client, 5) == HISTORY_GONE
        stand_in.era = 1
        assert await read_changes(client, 5) == HISTORY_GONE


async def test_an_era_that_is_no_number_counts_as_none():
    """Guards against a node that stops reading because a header is malformed."""
    with running_store() as (stand_in, client):
        stand_in.put(CONFIGURATION_TOPIC, 'config', b'{}')
        for malformed in ('-1', 'x', '²', '9' * 40):
            stand_in.era = malformed
            assert (await client.read_newest(StoreTopic.CONFIGURATION)).era == 0


async def test_an_empty_page_of_the_store_is_a_failure():
    """Guards against changes that count as read although the answer broke off before its body.

    The head is whole and states no length, so that the connection ends the answer.
    """
    async with running_server(b'HTTP/1.1 200 OK\r\n\r\n') as server:
        store = PlatformStore(StoreSettings(Address(HOST, server.port)))
        read = await store.read_changes(StoreTopic.NODES, offset=3, wait_seconds=0)
        assert isinstance(read, LogFailure)
        store.close()
