import asyncio
import json

from tests.fleet_processes import HOST, Fleet, example_change


async def test_lookup_runs_for_the_page_that_it_serves_and_only_meanwhile():
    """Guards against lookups that use up the rate, lose their page, or outlive it."""
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
        # Rate shares are used once the membership has settled.
        while not await fleet.runs(page_node):
            if page is None or page.done():
                page = asyncio.create_task(
                    fleet.fetch(f'{page_node.url}/catalogue/1', headers=headers)
                )
            await asyncio.sleep(0.05)
        request = (await fleet.runs(page_node))[-1]['headers']['Turmericwharf-Request-Id']
        announce_url = f'http://{HOST}:{page_node.announce_port}'

        async def look_up(serves: str) -> tuple[int, dict]:
            served = {'Turmericwharf-Serves': serves}
            answer = await fleet.fetch(f'{announce_url}/bookings/7', headers=served)
            return answer.code, json.loads(answer.body)

        codes = [(await look_up(request))[0] for _ in range(20)]
        assert codes == [200] * 20
        assert (await page).code == 200
        run = (await fleet.runs(lookup_node))[0]
        assert int(run['headers']['Turmericwharf-Deadline-Ms']) <= 2000
        refused, body = await look_up(request)
        assert (refused, body['reason']) == (404, 'route_internal')
        outside = await fleet.fetch(
            f'{page_node.url}/bookings/7', headers={'Turmericwharf-Serves': request}
        )
        assert outside.code == 401


async def test_silent_backend_server_gets_no_new_work():
    """Guards against work for a server that died without a word."""
    async with Fleet(['catalogue', 'catalogue']) as fleet:
        silent = fleet.nodes[0]
        assert silent.server_process is not None
        silent.server_process.kill()

        async def states() -> list[str]:
            dumps = [await fleet.dump(node) for node in fleet.nodes]
            reports = [one for dump in dumps if dump for one in dump['reports']]
            return [one['state'] for one in reports if one['instance'] == silent.instance]

        async with asyncio.timeout(10):
            while await states() != ['cold', 'cold']:
                await asyncio.sleep(0.1)
