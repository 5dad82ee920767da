"""Lookups by backend servers on behalf of a request, and detection of silent backend servers."""

import asyncio
import json

from tests.fleet_processes import HOST, Fleet, example_change


async def test_lookup_runs_for_the_page_that_it_serves_and_only_meanwhile():
    """Guards against lookups that consume the rate, lose their request or outlive it.

    A backend server sends lookups for the page request that it serves. They must not count for the
    rate of the organisation, must keep to the deadline of the page request and must be rejected
    once it has ended, or when a caller sends them from outside.
    """
    change = example_change()
    change['organisations'][0].update(rate_per_second=1.0, burst=2.0)
    async with Fleet(['catalogue', 'bookings']) as fleet:
        page_node, lookup_node = fleet.nodes
        change['routes'][1]['methods'] = ['GET']
        await fleet.publish(change)
        key = (await fleet.issue_key('cafe-chain'))['key']
        await fleet.set_server_faults(page_node, first_byte_seconds=1.5)
        headers = {'X-Api-Key': key}
        page = None
        # The node admits requests from its share of the rate only once its membership has settled.
        while not await fleet.runs(page_node):
            if page is None or page.done():
                page = asyncio.create_task(
                    fleet.fetch(f'{page_node.url}/catalogue/1', headers=headers)
                )
            await asyncio.sleep(0.05)
        request_id = (await fleet.runs(page_node))[-1]['headers']['Turmericwharf-Request-Id']
        announce_url = f'http://{HOST}:{page_node.announce_port}'

        async def look_up(serves: str) -> tuple[int, dict]:
            lookup_headers = {'Turmericwharf-Serves': serves}
            answer = await fleet.fetch(f'{announce_url}/bookings/7', headers=lookup_headers)
            return answer.code, json.loads(answer.body)

        codes = [(await look_up(request_id))[0] for _ in range(20)]
        assert codes == [200] * 20
        assert (await page).code == 200
        run = (await fleet.runs(lookup_node))[0]
        assert int(run['headers']['Turmericwharf-Deadline-Ms']) <= 2000
        refused, body = await look_up(request_id)
        assert (refused, body['reason']) == (404, 'route_internal')
        outside = await fleet.fetch(
            f'{page_node.url}/bookings/7', headers={'Turmericwharf-Serves': request_id}
        )
        assert outside.code == 401


async def test_silent_backend_server_gets_no_new_work():
    """Guards against requests to a backend server that was killed and could not announce it.

    Its nodes only see that the announcements have stopped, and have to report it as cold.
    """
    async with Fleet(['catalogue', 'catalogue']) as fleet:
        silent = fleet.nodes[0]
        assert silent.server_process is not None
        silent.server_process.kill()

        async def states() -> list[str]:
            dumps = [await fleet.dump(node) for node in fleet.nodes]
            reports = [report for dump in dumps if dump for report in dump['reports']]
            return [report['state'] for report in reports if report['instance'] == silent.instance]

        async with asyncio.timeout(10):
            while await states() != ['cold', 'cold']:
                await asyncio.sleep(0.1)
