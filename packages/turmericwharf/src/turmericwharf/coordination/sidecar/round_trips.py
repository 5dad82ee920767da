"""Mean round trips to the other data centres."""

from turmericwharf.state import DataCentreId

# Assumed for a data centre to which no round trip was measured yet.
_UNKNOWN_SECONDS = 0.005
_NEWEST_WEIGHT = 0.1


class RoundTrips:
    """Exponentially weighted mean of the time of a short exchange, per data centre."""

    def __init__(self) -> None:
        self._seconds_by_data_centre: dict[DataCentreId, float] = {}

    def record(self, data_centre: DataCentreId, seconds: float) -> None:
        """Update the mean of a data centre with one exchange of short messages."""
        mean = self._seconds_by_data_centre.get(data_centre, seconds)
        self._seconds_by_data_centre[data_centre] = mean + _NEWEST_WEIGHT * (seconds - mean)

    def seconds_to(self, data_centre: DataCentreId) -> float:
        """Return the expected round trip to a data centre."""
        return self._seconds_by_data_centre.get(data_centre, _UNKNOWN_SECONDS)
