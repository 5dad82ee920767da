"""The last check of a request before it runs: standing, and the key once more."""

from turmericwharf.coordination.configuration.control_log import ControlLog
from turmericwharf.state import (
    KEY_UNKNOWN,
    KEY_WITHDRAWN,
    NO_STANDING,
    NOT_READY,
    Execute,
    RequestFailure,
)


class RunCheck:
    """Checks at the executing node what may have changed since the entry node checked it.

    Parameters
    ----------
    control_log
        Configuration in force at this node, and whether it is fresh; after a pause it may be old,
        and a withdrawn key would still look valid.
    """

    def __init__(self, control_log: ControlLog) -> None:
        self._control_log = control_log

    def refusal(self, order: Execute) -> RequestFailure | None:
        """Return why a request must not run now, or None."""
        if not order.organisation:
            # A lookup that serves no request runs for no organisation, so no key can be withdrawn.
            return None
        if not self._control_log.is_ready:
            # A new incarnation may get work before it knows any key; another node runs it.
            return NOT_READY
        if not self._control_log.has_standing:
            return NO_STANDING
        # Other lookups come without a key, for a request that was checked.
        if not order.key_digest:
            return None
        key = self._control_log.configuration.keys_by_digest.get(order.key_digest)
        if key is None:
            # The entry node knows a newer configuration; this is no withdrawal.
            return KEY_UNKNOWN
        if key.withdrawn or key.organisation != order.organisation:
            return KEY_WITHDRAWN
        return None
