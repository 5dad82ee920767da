import dataclasses

import pytest

from turmericwharf.coordination.sidecar.source_times import derive_source_times
from turmericwharf.state.sidecar import SidecarBounds

BOUNDS = SidecarBounds(0.2, 10, 10, 10, 5, 0.1, 10)


@pytest.mark.parametrize(
    ('configuration_seconds', 'evacuation_seconds', 'expected_seconds'),
    [(2, 5, 1.0), (2.5, 5, 1.25), (7, 5, 1.5), (7, 2, 1.0), (0.5, 5, 0.75)],
)
def test_the_steps_of_a_replacement_take_half_of_the_bound(
    configuration_seconds, evacuation_seconds, expected_seconds
):
    """Guards against waits that add up to more than the time in which changes must be in force."""
    bounds = dataclasses.replace(
        BOUNDS, configuration_seconds=configuration_seconds, evacuation_seconds=evacuation_seconds
    )
    times = derive_source_times(bounds)
    assert times.replacement_seconds == pytest.approx(expected_seconds)
    # A node that noticed first still waits while the last one becomes a substitute.
    assert times.substitute_seconds >= times.detection_seconds - times.answer_seconds
