"""The wire names of the platform occur only in the platform folder."""

import re
from pathlib import Path

import pytest

SOURCES = Path(__file__).parents[2] / 'packages'
FOLDER = SOURCES / 'turmericwharf' / 'src' / 'turmericwharf' / 'platform'
# Compound names of headers, calls and fields, and terms of the platform; single common words would
# match unrelated code. The deadline header is left out, since the product's own interface uses the
# same name.
WIRE_NAMES = re.compile(
    r'Turmericwharf-(?:Attempt-Id|Response-Stamp|Tenant|Expected-Instance)'
    r'|Turmericwharf-(?:Server-Load|Not-Executed|Caller-Service|Instance-Id)|Store-Era'
    r'|(?<!X-)Api-Key|Instances\.|/log-|keyed\.|non_idempotent|control_plane'
    r'|localNode|pathPrefix|trafficSplit|routeType|timeoutS|targetLatencyS|apiKeys|ratePerS'
    r'|healthCheckPath|maxConnections|headerTimeoutS|idleTimeoutS|maxHeaderBytes|maxBodyBytes'
    r'|Turmericwharf-Cold-Ms|coldStartS|coldPerS|coldOverage|coldSlack|evacuateS|evacuate/'
    r'|coldRemainingS|heartbeatAddr|nodeName|appAddr|portRange|baseVersion|waitMs|hasMore|memoryMb'
    r'|maxFds'
    r'|TURMERICWHARF_NODE_FILE|\btenants?\b',
)


def find_wire_names(path: Path) -> list[str]:
    return WIRE_NAMES.findall(path.read_text())


@pytest.mark.parametrize(
    'path',
    sorted(module for module in SOURCES.rglob('*.py') if FOLDER not in module.parents),
    ids=lambda path: str(path.relative_to(SOURCES)),
)
def test_no_wire_name_outside_the_platform_folder(path):
    """Guards against wire names outside the platform folder: a change of the platform's names would
    then affect the decisions.
    """
    assert find_wire_names(path) == []


def test_wire_names_are_found_in_the_platform_folder():
    """Guards against an outdated pattern, with which the test above would pass without checking
    anything.
    """
    wire_names = {name for path in FOLDER.rglob('*.py') for name in find_wire_names(path)}
    assert {'Turmericwharf-Attempt-Id', 'keyed.', '/log-', 'timeoutS'} <= wire_names
