"""A short seeded run of malformed input, from outside the process."""

import pytest

from tests.fuzz import fuzz
from tests.sidecar_fleet import running_fleet

# Add every seed that fails, with a line that gives its cause.
# 1: a frame of another interface raised TypeError in the task of its connection.
# 2: a request identifier outside ASCII opened the breakers of all servers.
SEEDS = (1, 2)


@pytest.mark.parametrize('seed', SEEDS)
async def test_malformed_input_harms_no_other_request(seed):
    """Guards against a process that ends, grows or refuses good requests after malformed input."""
    async with running_fleet(2) as fleet:
        report = await fuzz(fleet, seed, batches=80)
    assert report.broken == []
    assert report.inputs == 1600
