"""Backend server reports, with digests for comparing the tables of two nodes."""

import collections
import hashlib
from collections.abc import Collection, Iterator

from turmericwharf.state import InstanceId, ServerReport, ServiceId

BUCKET_COUNT = 128
_BUCKET_DIGEST_BYTES = 4
_MASK = 2 ** (8 * _BUCKET_DIGEST_BYTES) - 1


class ReportTable:
    """Latest report of each instance.

    The digest of a bucket is the XOR of the hashes of its reports. A changed report therefore
    costs two hashes, instead of one hash for each report in the bucket.
    """

    def __init__(self) -> None:
        self._reports_by_id: dict[InstanceId, ServerReport] = {}
        self._reports_by_service: dict[ServiceId, dict[InstanceId, ServerReport]] = {}
        # Ordered by time of change, the latest last.
        self._changed_at_by_id: collections.OrderedDict[InstanceId, float] = (
            collections.OrderedDict()
        )
        self._bucket_digests = [0 for _bucket in range(BUCKET_COUNT)]

    @property
    def digest(self) -> int:
        """Digest of all reports."""
        total = hashlib.blake2b(self.bucket_digests, digest_size=_BUCKET_DIGEST_BYTES)
        return int.from_bytes(total.digest(), 'big')

    @property
    def bucket_digests(self) -> bytes:
        """Concatenated digests of all buckets, four bytes each."""
        return b''.join(
            digest.to_bytes(_BUCKET_DIGEST_BYTES, 'big') for digest in self._bucket_digests
        )

    def get(self, instance: InstanceId) -> ServerReport | None:
        """Return the latest report of an instance."""
        return self._reports_by_id.get(instance)

    def reports(self) -> Collection[ServerReport]:
        """Return all reports."""
        return self._reports_by_id.values()

    def for_service(self, service: ServiceId) -> Collection[ServerReport]:
        """Return the reports of a service's backend servers."""
        return self._reports_by_service.get(service, {}).values()

    def put(self, report: ServerReport, changed_at: float) -> None:
        """Replace the report of an instance."""
        self.discard(report.instance)
        self._reports_by_id[report.instance] = report
        for_service = self._reports_by_service.setdefault(report.service, {})
        for_service[report.instance] = report
        self._changed_at_by_id[report.instance] = changed_at
        self._toggle_digest(report)

    def discard(self, instance: InstanceId) -> None:
        """Remove the report of an instance, if there is one."""
        known = self._reports_by_id.pop(instance, None)
        if known is not None:
            self._changed_at_by_id.pop(instance)
            self._reports_by_service[known.service].pop(instance)
            self._toggle_digest(known)

    def changed_since(self, since: float, limit: int) -> tuple[ServerReport, ...]:
        """Return up to `limit` reports that changed after a time, the latest first."""
        return tuple(self._iterate_changed(since, limit))

    def reports_differing_from(self, bucket_digests: bytes, limit: int) -> tuple[ServerReport, ...]:
        """Return up to `limit` reports of the buckets whose digests differ."""
        local_digests = self.bucket_digests
        differing_buckets = {
            number
            for number in range(BUCKET_COUNT)
            if _bucket_slice(local_digests, number) != _bucket_slice(bucket_digests, number)
        }
        chosen = [
            report
            for report in self._reports_by_id.values()
            if _bucket_of(report.instance) in differing_buckets
        ]
        return tuple(chosen[:limit])

    def _iterate_changed(self, since: float, limit: int) -> Iterator[ServerReport]:
        newest_first = reversed(self._changed_at_by_id.items())
        for _index, (instance, changed_at) in zip(range(limit), newest_first, strict=False):
            if changed_at <= since:
                return
            yield self._reports_by_id[instance]

    def _toggle_digest(self, report: ServerReport) -> None:
        name = f'{report.instance}\n{report.incarnation}\n{report.sequence}'
        digest = hashlib.blake2b(name.encode(), digest_size=_BUCKET_DIGEST_BYTES).digest()
        self._bucket_digests[_bucket_of(report.instance)] ^= int.from_bytes(digest, 'big') & _MASK


def _bucket_of(instance: InstanceId) -> int:
    digest = hashlib.blake2b(instance.encode(), digest_size=_BUCKET_DIGEST_BYTES).digest()
    return int.from_bytes(digest, 'big') % BUCKET_COUNT


def _bucket_slice(digests: bytes, number: int) -> bytes:
    start = number * _BUCKET_DIGEST_BYTES
    return digests[start : start + _BUCKET_DIGEST_BYTES]
