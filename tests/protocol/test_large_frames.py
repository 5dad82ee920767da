"""Frames with long bodies, which are encoded and decoded without copies of the whole."""

import dataclasses

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.coordination.sidecar.samples import make_order
from turmericwharf.protocol import (
    Frame,
    FrameAssembly,
    decode_frame,
    encode_frame,
    encode_pieces,
    split_pieces,
)
from turmericwharf.state import ProtocolFailure

PART_BYTES = 65_536


def make_frame(body_bytes: int) -> Frame:
    return Frame(7, dataclasses.replace(make_order(), body=b'x' * body_bytes))


def assemble(parts) -> FrameAssembly:
    assembly = FrameAssembly()
    for part in parts:
        assembly.add(part)
    return assembly


@pytest.mark.parametrize('body_bytes', [0, 65_535, 65_536, 65_537, 1_000_000])
def test_the_encoding_of_long_bodies_is_that_of_short_ones(body_bytes):
    """Guards against frames that nodes of earlier builds cannot decode."""
    frame = make_frame(body_bytes)
    parts = list(split_pieces(encode_pieces(frame), PART_BYTES))
    assert b''.join(parts) == encode_frame(frame)
    assert assemble(parts).decode() == frame


def test_a_refused_order_is_identified_from_its_first_part():
    """Guards against a refusal that cannot be matched to its request."""
    frame = make_frame(1_000_000)
    beginning = assemble([next(split_pieces(encode_pieces(frame), PART_BYTES))]).beginning
    assert beginning.correlation == 7
    assert beginning.fields[:2] == (frame.message.request, frame.message.attempt)


def test_an_incomplete_body_is_rejected():
    """Guards against an order whose body is shorter than its sender said."""
    parts = list(split_pieces(encode_pieces(make_frame(300_000)), PART_BYTES))
    assert isinstance(assemble(parts[:-1]).decode(), ProtocolFailure)


@given(st.lists(st.binary(max_size=40), max_size=4))
def test_malformed_parts_are_rejected_like_a_malformed_frame(parts):
    """Guards against input of a peer that raises an error."""
    assembly = assemble(parts)
    assert isinstance(assembly.beginning.correlation, int)
    decoded = decode_frame(b''.join(parts))
    assert isinstance(assembly.decode(), type(decoded))
