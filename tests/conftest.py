"""Deselects the tests that KNOWN-RED.txt lists, and prints them in the summary."""

from pathlib import Path

KNOWN_RED = Path(__file__).parents[1] / 'KNOWN-RED.txt'
_TEST_PREFIX = 'test: '


def known_red() -> set[str]:
    """Return the ids of the listed tests; entries of benchmarks have a figure instead of a test."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line.removeprefix(_TEST_PREFIX) for line in lines if line.startswith(_TEST_PREFIX)}


def pytest_collection_modifyitems(config, items):
    listed = known_red()
    deselected = [item for item in items if item.nodeid in listed]
    if deselected:
        config.hook.pytest_deselected(items=deselected)
        items[:] = [item for item in items if item.nodeid not in listed]


def pytest_terminal_summary(terminalreporter):
    for test_id in sorted(known_red()):
        terminalreporter.write_line(f'known red, deselected: {test_id}')
