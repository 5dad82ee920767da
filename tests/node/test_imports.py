"""Modules that a sidecar node loads before it serves."""

import subprocess
import sys

# The other front end, and libraries that only it uses. A node of the platform is started again
# after each crash and replacement, on a fraction of a core.
NOT_LOADED = (
    'turmericwharf.coordination.assembly',
    'turmericwharf.coordination.claims',
    'turmericwharf.coordination.configuration',
    'turmericwharf.coordination.rates',
    'turmericwharf.coordination.routing.dispatching',
    'turmericwharf.coordination.routing.entry_service',
    'turmericwharf.protocol.operator_api',
    'turmericwharf.protocol.snapshots',
    'turmericwharf.state.control',
    'turmericwharf.state.messages',
    'turmericwharf.state.records',
    'turmericwharf.transport.announce_server',
    'turmericwharf.transport.peer_link',
    'turmericwharf.transport.process',
    'aiohttp',
    'tornado.httpserver',
    'tornado.web',
)


def test_a_sidecar_node_loads_only_what_it_runs():
    """Guards against a slow start because a package imports the modules of the other front end."""
    program = 'import sys, turmericwharf_node.sidecar; print(*sys.modules)'
    loaded = subprocess.run(
        [sys.executable, '-c', program], capture_output=True, text=True, check=True
    ).stdout.split()
    unwanted = [
        module
        for module in loaded
        if any(module == name or module.startswith(f'{name}.') for name in NOT_LOADED)
    ]
    assert not unwanted
