"""Encoding of control state snapshots as log records."""

import random

from tests.coordination.configuration.test_control_fold import KEY, folded, publish, start
from turmericwharf.protocol import (
    Frame,
    SnapshotEncoding,
    decode_frame,
    digest_key,
    encode_frame,
    snapshots,
)
from turmericwharf.state import (
    ControlSnapshot,
    ControlState,
    Key,
    LimitSettings,
    Organisation,
    ProtocolFailure,
)


def test_a_snapshot_contains_the_whole_state(monkeypatch):
    """Guards against state that is altered by encoding, whatever the order of the parts."""
    monkeypatch.setattr(snapshots, '_PART_CHARACTERS', 50)
    state = folded(publish('a', 0, keys=(KEY,)), publish('b', 7), state=start())
    parts = list(SnapshotEncoding().encode(state, 'snapshot-1'))
    random.Random(1).shuffle(parts)
    assert len(parts) > 2
    assert SnapshotEncoding().decode(parts) == state
    assert isinstance(SnapshotEncoding().decode(parts[1:]), ProtocolFailure)


def test_a_corrupt_snapshot_is_a_typed_failure():
    """Guards against a corrupt snapshot that raises an exception and prevents a node's start."""
    (part,) = SnapshotEncoding().encode(ControlState(), 'snapshot-1')
    for encoded in (part.encoded[:-9], 'not base 64 "', ''):
        corrupt = type(part)('snapshot-1', 1, 0, 1, encoded)
        assert isinstance(SnapshotEncoding().decode([corrupt]), ProtocolFailure)


def test_a_state_of_the_planned_size_fits_into_a_frame():
    """Guards against state that outgrows the frame limit, so that peers cannot transfer it."""
    changes = {
        'organisations': tuple(Organisation(f'o-{index}', 1.0, 9.0) for index in range(4500)),
        'keys': tuple(
            Key(digest_key(str(index)), f'k-{index}', f'o-{index}') for index in range(4500)
        ),
    }
    state = folded(publish('a', 0, **changes), state=start())
    encoded = encode_frame(Frame(1, ControlSnapshot(state)))
    # A tenth of the planned organisations must take less than a tenth of the frame limit.
    assert len(encoded) < LimitSettings().frame_bytes / 10
    assert decode_frame(encoded) == Frame(1, ControlSnapshot(state))
    corrupt = encoded.replace(b'x\x9c', b'y\x9c', 1)
    assert isinstance(decode_frame(corrupt), ProtocolFailure)
