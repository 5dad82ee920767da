"""Final check of a request before it runs: standing of the node and validity of the API key."""

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
    """Repeats, at the executing node, the checks whose result may have changed since admission.

    Parameters
    ----------
    control_log
        Configuration in force at this node, and whether it is up to date. After a pause it may be
        stale, so that a withdrawn key would still appear valid.
    """

    def __init__(self, control_log: ControlLog) -> None:
        self._control_log = control_log

    def refusal(self, order: Execute) -> RequestFailure | None:
        """Return the reason why a request must not run, or None if it may run."""
        if not order.organisation:
            # A lookup that serves no request has no organisation, so there is no key to withdraw.
            return None
        if not self._control_log.is_ready:
            # A new incarnation may receive requests before it has loaded any keys. The rejected
            # request is retried on another node.
            return NOT_READY
        if not self._control_log.has_standing:
            return NO_STANDING
        # Other lookups carry no key; the request that they serve has been checked.
        if not order.key_digest:
            return None
        key = self._control_log.configuration.keys_by_digest.get(order.key_digest)
        if key is None:
            # The entry node knows the key from a newer configuration; it has not been withdrawn.
            return KEY_UNKNOWN
        if key.withdrawn or key.organisation != order.organisation:
            return KEY_WITHDRAWN
        return None
