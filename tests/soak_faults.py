"""Faults that the soak injects into a fleet."""

import asyncio
import json
import signal
import time
from typing import TYPE_CHECKING

from tests.sidecar_fleet import LOOPBACK
from tests.soak_records import LeaveRecord

if TYPE_CHECKING:
    from tests.soak import Soak

PAUSE_SECONDS = (0.2, 3.0)
DOWNTIME_SECONDS = (0.1, 1.5)
# Time for which a server that left continues to serve.
SERVING_SECONDS = (3.0, 7.0)
# Delay of an announcement that was sent before the server began to leave.
LATE_ANNOUNCEMENT_SECONDS = (0.1, 3.5)
# Share of the leaving servers whose node is restarted, and the time between the signal to the node
# and the announcement of the leave.
RESTART_SHARE = 0.5
STOP_LEAD_SECONDS = (0.0, 2.0)
# Age of the copy from which the store comes back, and the time until the operators write again what
# it lost.
LOST_SECONDS = (0.2, 6.0)
OPERATOR_SECONDS = (0.0, 2.0)
OK = 200


async def kill(soak: 'Soak') -> None:
    """Kill a node process and restart it."""
    await _restart(soak, signal.SIGKILL)


async def terminate(soak: 'Soak') -> None:
    """Stop a node process gracefully and restart it."""
    await _restart(soak, signal.SIGTERM)


async def _restart(soak: 'Soak', stop_signal: signal.Signals, node=None) -> None:
    node = node or soak.random.choice(soak.fleet.nodes)
    if node.process.returncode is not None:
        return
    soak.log_event(f'{node.name} receives {stop_signal.name}')
    await node.stop(stop_signal)
    await asyncio.sleep(soak.random.uniform(*DOWNTIME_SECONDS))
    # Overlapping faults may have stopped the same node, and another one may have restarted it.
    if node.process.returncode is not None:
        await node.start()
        soak.log_event(f'{node.name} is restarted')


async def pause(soak: 'Soak') -> None:
    """Suspend a node process and resume it."""
    node = soak.random.choice(soak.fleet.nodes)
    if node.process.returncode is not None:
        return
    soak.log_event(f'{node.name} is paused')
    node.process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(soak.random.uniform(*PAUSE_SECONDS))
    if node.process.returncode is None:
        node.process.send_signal(signal.SIGCONT)
        soak.log_event(f'{node.name} is resumed')


async def fail_server(soak: 'Soak') -> None:
    """Inject a fault into a backend server for a limited time."""
    server = soak.random.choice(soak.fleet.nodes).server
    server.behaviour = soak.random.choice(('reset', 'hang', 'error', 'reject'))
    soak.log_event(f'{server.name}: {server.behaviour}')
    await asyncio.sleep(soak.random.uniform(0.5, 3))
    server.behaviour = 'answer'
    soak.log_event(f'{server.name}: recovered')


async def fail_store(soak: 'Soak') -> None:
    """Inject a fault into the store for a limited time."""
    soak.fleet.store.fault = soak.random.choice(('busy', 'silent', 'lost'))
    soak.log_event(f'store: {soak.fleet.store.fault}')
    await asyncio.sleep(soak.random.uniform(0.5, 4))
    soak.fleet.store.fault = ''
    soak.log_event('store: recovered')


async def truncate_store(soak: 'Soak') -> None:
    """Drop the history of the store."""
    soak.fleet.store.truncate()
    soak.log_event('store: history dropped')


async def restore_store(soak: 'Soak') -> None:
    """Let the store come back from an older copy; the operators write again what it lost."""
    store = soak.fleet.store
    store.fault = 'busy'
    soak.log_event('store: away')
    await asyncio.sleep(soak.random.uniform(0, 2))
    lost_seconds = soak.random.uniform(*LOST_SECONDS)
    lost = store.restore(lost_seconds)
    store.fault = ''
    soak.log_event(f'store: back without the last {lost_seconds:.1f} s, era {store.era}')
    await asyncio.sleep(soak.random.uniform(*OPERATOR_SECONDS))
    for topic, key, content in lost:
        _, newest = store.newest_by_topic[topic][key]
        if json.loads(newest)['version'] < json.loads(content)['version']:
            store.put(topic, key, content)
            soak.log_event('a lost configuration is written again')


async def disturb_store_link(soak: 'Soak') -> None:
    """Reset, delay or block (one way or both ways) the connections of a node to the store."""
    relay = soak.random.choice(soak.fleet.nodes).store_relay
    disturbance = soak.random.choice(('reset', 'delay', 'cut answers', 'silence'))
    soak.log_event(f'{relay.name}: {disturbance}')
    if disturbance == 'reset':
        relay.reset()
    elif disturbance == 'delay':
        soak.fleet.network.delay(relay.name, LOOPBACK, 0.4)
    else:
        soak.fleet.network.cut(relay.name, LOOPBACK)
        if disturbance == 'silence':
            soak.fleet.network.cut(LOOPBACK, relay.name)
    await asyncio.sleep(soak.random.uniform(1, 5))
    soak.fleet.network.heal()
    soak.log_event(f'{relay.name}: healed')


async def withdraw_key(soak: 'Soak') -> None:
    """Withdraw a key permanently."""
    if soak.withdrawn_at is None:
        soak.withdrawn_at = time.monotonic()
        soak.configure()
        soak.log_event(f'configuration version {soak.version} withdraws the key')


async def configure(soak: 'Soak') -> None:
    """Write a new version of the configuration."""
    soak.configure()
    soak.log_event(f'configuration version {soak.version} is written')


async def leave_server(soak: 'Soak') -> None:
    """Let a server leave, with a late announcement, and start again when its process has ended."""
    node = soak.random.choice(soak.fleet.nodes)
    server = node.server
    if server.name in soak.leaving_servers:
        return
    soak.leaving_servers.add(server.name)
    late_announcement = server.make_heartbeat()
    # A node may be restarted together with its server, or after it.
    restart = None
    if soak.random.random() < RESTART_SHARE:
        stop_signal = soak.random.choice((signal.SIGTERM, signal.SIGKILL))
        restart = asyncio.create_task(_restart(soak, stop_signal, node))
        await asyncio.sleep(soak.random.uniform(*STOP_LEAD_SECONDS))
    announces_drain = soak.random.random() < 0.5
    if announces_drain:
        status = await soak.announce(server.announce_state('draining'))
    else:
        server.stop_heartbeats()
        status = await soak.announce(server.deregister())
    acknowledged_at = time.monotonic()
    soak.log_event(f'{server.name} leaves, draining: {announces_drain}, answered {status}')
    if restart is not None:
        await restart
    await asyncio.sleep(soak.random.uniform(*LATE_ANNOUNCEMENT_SECONDS))
    late_status = await soak.announce(server.send_heartbeat(late_announcement))
    soak.log_event(f'{server.name}: late announcement, answered {late_status}')
    await asyncio.sleep(soak.random.uniform(*SERVING_SECONDS))
    if status == OK:
        soak.leaves.append(LeaveRecord(server.name, acknowledged_at, time.monotonic()))
    server.restart()
    soak.leaving_servers.discard(server.name)
    soak.log_event(f'{server.name} starts again')


FAULTS = (
    kill,
    terminate,
    pause,
    fail_server,
    fail_server,
    leave_server,
    leave_server,
    fail_store,
    disturb_store_link,
    truncate_store,
    restore_store,
    configure,
    withdraw_key,
)
