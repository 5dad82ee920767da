"""What clients get when a backend server breaks off the head of its answer and closes."""

import pytest

from tests.fleet_processes import Fleet, example_change
from tests.sidecar_fleet import running_fleet

HEAD = (
    b'HTTP/1.1 200 OK\r\nTurmericwharf-Response-Stamp: stamp\r\n'
    b'Turmericwharf-Attempt-Id: %s\r\nContent-Length: 12\r\n\r\n'
)
HEAD_WITHOUT_LENGTH = HEAD.replace(b'Content-Length: 12\r\n', b'')
# Within the first line, after it, within a header, after the last one, and within the empty line.
CUTS = (5, 17, 30, -3, -2, -1)


@pytest.mark.parametrize('head', [HEAD, HEAD_WITHOUT_LENGTH])
async def test_a_cut_head_is_no_success_of_a_node_beside_a_server(head):
    """Guards against a 200 with a body that is empty or short, and looks whole."""
    async with running_fleet(2) as fleet:
        entry, other = fleet.nodes
        entry.server.behaviour, other.server.behaviour = 'cut_head', 'cut_head'
        for number, cut in enumerate(CUTS):
            request = f'r{number}-cut'
            for node in fleet.nodes:
                node.server.cut_head = (head % request.encode())[:cut]
            response = await entry.send_request('/book/1', method='POST', request=request)
            assert response.code >= 500
            assert fleet.runs(request) <= 1


async def test_a_cut_head_is_no_success_at_the_own_interface():
    """Guards against a 200 with a body that is empty or short, and looks whole."""
    async with Fleet(['catalogue']) as fleet:
        await fleet.publish(example_change())
        node = fleet.nodes[0]
        key = (await fleet.issue_key('cafe-chain'))['key']
        url = f'{node.url}/catalogue/1'
        await fleet.wait_until_served(url, key)
        runs = len(await fleet.runs(node))
        for head in (HEAD, HEAD_WITHOUT_LENGTH):
            for cut in CUTS:
                await fleet.set_server_faults(node, cut_head=(head % b'r1')[:cut].decode())
                response = await fleet.fetch(url, headers={'X-Api-Key': key})
                assert response.code >= 500, cut
        assert len(await fleet.runs(node)) > runs
