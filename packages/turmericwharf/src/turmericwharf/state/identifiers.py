"""Identifier types and the functions that generate them."""

import secrets
from typing import NewType

OrganisationId = NewType('OrganisationId', str)
WorkClassId = NewType('WorkClassId', str)
RouteId = NewType('RouteId', str)
ServiceId = NewType('ServiceId', str)
InstanceId = NewType('InstanceId', str)
IncarnationId = NewType('IncarnationId', str)
DataCentreId = NewType('DataCentreId', str)
RequestId = NewType('RequestId', str)
PublishId = NewType('PublishId', str)
ClaimId = NewType('ClaimId', str)
KeyId = NewType('KeyId', str)
KeyDigest = NewType('KeyDigest', str)
SliceId = NewType('SliceId', int)

_IDENTIFIER_BYTES = 12
_SUFFIX_BYTES = 4


def new_identifier() -> str:
    """Return a random identifier that is unique across the fleet."""
    return secrets.token_hex(_IDENTIFIER_BYTES)


def make_incarnation(started_milliseconds: int) -> IncarnationId:
    """Return an identifier that sorts after those of processes that started earlier.

    This order is used only while the log is unreachable; otherwise the order of the records in
    the log takes precedence.
    """
    return IncarnationId(f'{started_milliseconds:012x}-{secrets.token_hex(_SUFFIX_BYTES)}')
