"""Encodes the control state, and splits it into parts that fit into log records."""

import base64
import zlib
from collections.abc import Iterator, Sequence

import msgspec

from turmericwharf.coordination import object_name
from turmericwharf.protocol.json_decoding import decode_json
from turmericwharf.state import (
    Configuration,
    ConfigurationObject,
    ControlState,
    Key,
    Membership,
    Organisation,
    ProtocolFailure,
    PublishReceipt,
    Reason,
    Route,
    Service,
    SnapshotPart,
    WorkClass,
)

_PART_CHARACTERS = 262_144
# Limits the memory that a corrupt record can make a node allocate; 45,000 organisations with one
# key each need about 20 MB.
_MAX_STATE_BYTES = 134_217_728


def encode_state(state: ControlState) -> bytes:
    """Return a control state as compressed JSON."""
    return zlib.compress(msgspec.json.encode(_to_plain(state)))


def decode_state(encoded: bytes) -> ControlState | ProtocolFailure:
    """Return the control state, or a failure that describes why its encoding is invalid."""
    try:
        plain = decode_json(
            zlib.decompressobj().decompress(encoded, _MAX_STATE_BYTES),
            _PlainState,
        )
    except (zlib.error, msgspec.DecodeError) as error:
        return ProtocolFailure(Reason.FRAME_MALFORMED, f'control state: {error}')
    if len(plain.versions) != sum(1 for _ in plain.all_objects()):
        return ProtocolFailure(
            Reason.FRAME_MALFORMED, 'control state: expected one version per object'
        )
    return _from_plain(plain)


class SnapshotEncoding:
    """Encodes snapshots as compressed JSON, split into text parts for JSON records."""

    def encode(self, state: ControlState, snapshot: str) -> tuple[SnapshotPart, ...]:
        """Return the parts of a snapshot with the id `snapshot`."""
        encoded = base64.b64encode(encode_state(state)).decode()
        starts = range(0, len(encoded), _PART_CHARACTERS)
        return tuple(
            SnapshotPart(
                snapshot=snapshot,
                version=state.version,
                part=part,
                parts=len(starts),
                encoded=encoded[start : start + _PART_CHARACTERS],
            )
            for part, start in enumerate(starts)
        )

    def decode(self, parts: Sequence[SnapshotPart]) -> ControlState | ProtocolFailure:
        """Return the state of a snapshot, or a failure if its parts are incomplete or invalid."""
        parts_by_number = {part.part: part for part in parts}
        numbers = range(parts[0].parts)
        if sorted(parts_by_number) != list(numbers):
            return ProtocolFailure(
                Reason.FRAME_MALFORMED,
                f'incomplete snapshot: got parts {sorted(parts_by_number)} of {len(numbers)}',
            )
        joined = ''.join(parts_by_number[number].encoded for number in numbers)
        try:
            encoded = base64.b64decode(joined, validate=True)
        except ValueError as error:
            return ProtocolFailure(Reason.FRAME_MALFORMED, f'invalid base64 in snapshot: {error}')
        return decode_state(encoded)


class _PlainState(msgspec.Struct, frozen=True):
    # Each name is stored only once, as a field of its object; decoding derives the keys of the
    # versions from it. This limits the peak memory of a node during start-up.
    version: int
    configuration_version: int
    snapshot_written_at: float
    membership: Membership
    organisations: list[Organisation]
    classes: list[WorkClass]
    services: list[Service]
    routes: list[Route]
    keys: list[Key]
    # One version per object, in the order of `all_objects`.
    versions: list[int]
    versions_of_removed: dict[str, int]
    receipts: list[PublishReceipt]

    def all_objects(self) -> Iterator[ConfigurationObject]:
        yield from self.organisations
        yield from self.classes
        yield from self.services
        yield from self.routes
        yield from self.keys


def _to_plain(state: ControlState) -> _PlainState:
    configuration = state.configuration
    versions_of_removed = dict(configuration.versions_by_object)
    plain = _PlainState(
        version=state.version,
        configuration_version=configuration.version,
        snapshot_written_at=state.snapshot_written_at,
        membership=state.membership,
        organisations=list(configuration.organisations_by_id.values()),
        classes=list(configuration.classes_by_id.values()),
        services=list(configuration.services_by_id.values()),
        routes=list(configuration.routes_by_id.values()),
        keys=list(configuration.keys_by_digest.values()),
        versions=[],
        versions_of_removed=versions_of_removed,
        receipts=list(configuration.receipts_by_publish_id.values()),
    )
    plain.versions.extend(
        versions_of_removed.pop(object_name(entry)) for entry in plain.all_objects()
    )
    return plain


def _from_plain(plain: _PlainState) -> ControlState:
    names = (object_name(entry) for entry in plain.all_objects())
    versions_by_object = dict(zip(names, plain.versions, strict=True))
    versions_by_object.update(plain.versions_of_removed)
    return ControlState(
        version=plain.version,
        snapshot_written_at=plain.snapshot_written_at,
        membership=plain.membership,
        configuration=Configuration(
            version=plain.configuration_version,
            organisations_by_id={entry.organisation: entry for entry in plain.organisations},
            classes_by_id={entry.work_class: entry for entry in plain.classes},
            services_by_id={entry.service: entry for entry in plain.services},
            routes_by_id={entry.route: entry for entry in plain.routes},
            keys_by_digest={entry.digest: entry for entry in plain.keys},
            versions_by_object=versions_by_object,
            receipts_by_publish_id={entry.publish_id: entry for entry in plain.receipts},
        ),
    )
