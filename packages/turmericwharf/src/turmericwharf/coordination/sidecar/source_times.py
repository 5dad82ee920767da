"""Times in which a node replaces a source of the store's contents that has fallen silent."""

import dataclasses

from turmericwharf.state.sidecar import SidecarBounds

# Share of the time in which a change must be in force that a replacement may take. The rest is for
# the readers' polls of the store, and for processes and stores that are slow.
_REPLACEMENT_SHARE = 0.5
# Entries of leaving servers travel the same way, and are not waited for longer with longer bounds.
_MAX_REPLACEMENT_SECONDS = 1.5
# With shorter times, a loaded process would count as silent.
_MIN_REPLACEMENT_SECONDS = 0.75
# Shares of the replacement, which make up all of it.
_PING_INTERVAL_SHARE = 0.4
_ANSWER_SHARE = 0.2
_STORE_READ_SHARE = 0.15
_RELAY_SHARE = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class SourceTimes:
    """Longest times of the steps of a replacement, in seconds.

    Parameters
    ----------
    ping_interval_seconds
        Time between the last message of the followed node and the next ping to it.
    answer_seconds
        Time for the answer to a ping or a poll, after which a node counts as silent.
    store_read_seconds
        Time for the first read of the store by a node that replaces a reader.
    relay_seconds
        Time until the other nodes have what was read.
    """

    ping_interval_seconds: float
    answer_seconds: float
    store_read_seconds: float
    relay_seconds: float

    @property
    def detection_seconds(self) -> float:
        """Longest time until a node knows that the followed one is silent."""
        return self.ping_interval_seconds + self.answer_seconds

    @property
    def replacement_seconds(self) -> float:
        """Longest time from the silence of all readers until the other nodes know a change."""
        choice_seconds = self.answer_seconds
        return (
            self.detection_seconds + choice_seconds + self.store_read_seconds + self.relay_seconds
        )

    @property
    def substitute_seconds(self) -> float:
        """Time for which a node waits for those that replace the readers.

        They may notice the silence later than this node, by the interval of the pings.
        """
        return self.ping_interval_seconds + self.store_read_seconds + self.relay_seconds


def derive_source_times(bounds: SidecarBounds) -> SourceTimes:
    """Divide the time in which changes must be in force among the steps of a replacement."""
    bound_seconds = min(bounds.configuration_seconds, bounds.evacuation_seconds)
    seconds = min(_REPLACEMENT_SHARE * bound_seconds, _MAX_REPLACEMENT_SECONDS)
    seconds = max(seconds, _MIN_REPLACEMENT_SECONDS)
    return SourceTimes(
        ping_interval_seconds=_PING_INTERVAL_SHARE * seconds,
        answer_seconds=_ANSWER_SHARE * seconds,
        store_read_seconds=_STORE_READ_SHARE * seconds,
        relay_seconds=_RELAY_SHARE * seconds,
    )
