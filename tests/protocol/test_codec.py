"""Encoding and decoding of frames, including malformed input."""

import cbor2
from hypothesis import given
from hypothesis import strategies as st

from turmericwharf.protocol import Frame, decode_frame, encode_frame
from turmericwharf.state import (
    ControlSnapshot,
    ControlState,
    ProtocolFailure,
    SliceGranted,
    SliceReport,
    SliceRequest,
)
from turmericwharf.state.sidecar import ConfigurationRequest


_REPORTS = st.lists(st.builds(SliceReport, st.integers(0, 2**40), st.integers(0, 1000)))
_MESSAGES = st.one_of(
    st.builds(SliceRequest, st.text(), st.integers(0), st.integers(0), st.builds(tuple, _REPORTS)),
    st.builds(
        SliceGranted, st.text(), st.integers(0), st.integers(0), st.floats(0, 1e6), st.floats(0, 1)
    ),
)


@given(st.integers(0, 2**31), _MESSAGES)
def test_frame_survives_encoding(correlation, message):
    """Guards against fields whose order or type changes in encoding and decoding."""
    frame = Frame(correlation, message)
    assert decode_frame(encode_frame(frame)) == frame


def test_nested_state_survives_encoding():
    """Guards against nested mappings that are lost or altered by encoding and decoding."""
    frame = Frame(1, ControlSnapshot(ControlState()))
    assert decode_frame(encode_frame(frame)) == frame


@given(st.binary(max_size=200))
def test_malformed_frame_is_a_typed_failure(encoded):
    """Guards against malformed frames that raise an exception and end the connection's task."""
    assert isinstance(decode_frame(encoded), ProtocolFailure | Frame)


def test_messages_of_other_builds_are_read():
    """Guards against a fleet that falls apart while its nodes are upgraded one after another.

    A later build appends fields to a message; an earlier one does not send them.
    """
    message = ConfigurationRequest(5, wait_seconds=1.5)
    number, correlation, fields = cbor2.loads(encode_frame(Frame(1, message)))
    longer = cbor2.dumps([number, correlation, [*fields, 'of a later build']])
    assert decode_frame(longer) == Frame(1, message)
    shorter = cbor2.dumps([number, correlation, fields[:1]])
    assert decode_frame(shorter) == Frame(1, ConfigurationRequest(5))
    assert isinstance(decode_frame(cbor2.dumps([number, correlation, []])), ProtocolFailure)
