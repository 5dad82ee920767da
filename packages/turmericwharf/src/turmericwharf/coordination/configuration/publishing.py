"""Publishes operators' changes of the configuration."""

from turmericwharf.coordination.configuration.control_fold import evaluate_change
from turmericwharf.coordination.configuration.control_log import ControlLog
from turmericwharf.coordination.clock import Clock
from turmericwharf.coordination.ports import LogService
from turmericwharf.coordination.membership.standing import Standing
from turmericwharf.state import (
    CONTROL_STREAM,
    PUBLISH_LOG_UNAVAILABLE,
    PUBLISH_NOT_READY,
    PUBLISH_UNCONFIRMED,
    Publish,
    PublishFailure,
    PublishReceipt,
    TimingSettings,
)

_MAX_ATTEMPTS = 3


class Publisher:
    """Appends changes to the log and reads their outcome from the folded control state.

    Parameters
    ----------
    log
        The platform's log.
    control_log
        Holder of the control state.
    standing
        Whether the end of the log was reached within the standing time.
    timing
        Coordination intervals and timeouts.
    clock
        Monotonic clock.
    """

    def __init__(
        self,
        *,
        log: LogService,
        control_log: ControlLog,
        standing: Standing,
        timing: TimingSettings,
        clock: Clock,
    ) -> None:
        self._log = log
        self._control_log = control_log
        self._standing = standing
        self._timing = timing
        self._clock = clock

    def dry_run(self, publish: Publish) -> PublishReceipt:
        """Return the receipt that a change would get as the next record, without appending it."""
        state = self._control_log.state
        return evaluate_change(publish, state.configuration, state.version + 1)[0]

    async def publish(self, publish: Publish) -> PublishReceipt | PublishFailure:
        """Append a change and return its receipt, or a failure if no receipt was obtained.

        An append whose answer was lost is retried with the same publish id, which the fold
        applies only once.
        """
        receipt = await self._find_receipt(publish)
        if receipt is not None:
            return receipt
        refusal = self._refusal()
        if refusal is not None:
            return refusal
        for _attempt in range(_MAX_ATTEMPTS):
            await self._log.append(CONTROL_STREAM, (publish,))
            receipt = await self._wait_for_receipt(publish)
            if receipt is not None or not self._standing.has_log:
                break
        return receipt or PUBLISH_UNCONFIRMED

    def _refusal(self) -> PublishFailure | None:
        if not self._control_log.is_ready:
            return PUBLISH_NOT_READY
        return None if self._standing.has_log else PUBLISH_LOG_UNAVAILABLE

    async def _find_receipt(self, publish: Publish) -> PublishReceipt | None:
        # Invalid changes are already rejected here, so that they do not end up in the log.
        requested_at = self._clock.now()
        wait_seconds = self._timing.standing_seconds
        await self._control_log.wait_until(
            lambda: self._control_log.state.version >= publish.base_version,
            wait_seconds,
        )
        receipt = self._receipt_of(publish)
        if receipt is not None or self.dry_run(publish).accepted:
            return receipt
        # Only a read of the whole log proves that the change was not appended before and cannot be
        # accepted.
        is_log_read = await self._control_log.wait_until(
            lambda: self._standing.log_read_at >= requested_at,
            wait_seconds,
        )
        rejection = self._rejection_of(publish) if is_log_read else None
        return self._receipt_of(publish) or rejection

    def _rejection_of(self, publish: Publish) -> PublishReceipt | None:
        receipt = self.dry_run(publish)
        return None if receipt.accepted else receipt

    async def _wait_for_receipt(self, publish: Publish) -> PublishReceipt | None:
        await self._control_log.wait_until(
            lambda: self._receipt_of(publish) is not None,
            self._timing.standing_seconds,
        )
        return self._receipt_of(publish)

    def _receipt_of(self, publish: Publish) -> PublishReceipt | None:
        receipts = self._control_log.configuration.receipts_by_publish_id
        return receipts.get(publish.publish_id)
