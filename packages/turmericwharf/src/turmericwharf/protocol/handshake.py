"""Mutual authentication of two nodes, each of which proves that it holds the fleet secret."""

import dataclasses
import hashlib
import hmac
import secrets
from ipaddress import ip_address

import msgspec

from turmericwharf.state import (
    PEER_ADDRESS_MISMATCH,
    PEER_SECRET_INVALID,
    Challenge,
    Member,
    Proof,
    ProtocolFailure,
    Welcome,
)

_NONCE_BYTES = 32


def make_nonce() -> bytes:
    """Return a random nonce for one handshake."""
    return secrets.token_bytes(_NONCE_BYTES)


def make_proof(secret: str, challenge: Challenge, *, member: Member, nonce: bytes) -> Proof:
    """Return the connecting side's proof in response to a challenge."""
    return Proof(nonce, member, _digest_proof(secret, challenge, member, nonce))


def check_proof(
    secret: str,
    challenge: Challenge,
    proof: Proof,
    *,
    remote_host: str,
) -> ProtocolFailure | None:
    """Return why the connecting side is not the node that it claims to be, or None if it is.

    Parameters
    ----------
    remote_host
        IP address of the remote end of the connection.
    """
    expected = _digest_proof(secret, challenge, proof.member, proof.nonce)
    if not hmac.compare_digest(expected, proof.proof):
        return PEER_SECRET_INVALID
    return None if _is_same_host(proof.member.host, remote_host) else PEER_ADDRESS_MISMATCH


def make_welcome(
    secret: str, challenge: Challenge, proof: Proof, *, local_member: Member
) -> Welcome:
    """Return the accepting side's welcome, which contains its proof."""
    unsigned = Welcome(local_member.incarnation, local_member.data_centre, b'')
    digest = _digest_welcome(secret, challenge, proof, unsigned)
    return dataclasses.replace(unsigned, proof=digest)


def is_valid_welcome(secret: str, challenge: Challenge, proof: Proof, welcome: Welcome) -> bool:
    """Whether a welcome proves that the accepting side holds the fleet secret."""
    expected = _digest_welcome(secret, challenge, proof, welcome)
    return hmac.compare_digest(expected, welcome.proof)


def _digest_proof(secret: str, challenge: Challenge, member: Member, nonce: bytes) -> bytes:
    fields = ('connect', challenge.instance, msgspec.to_builtins(member))
    return _digest(secret, fields, challenge.nonce + nonce)


def _digest_welcome(secret: str, challenge: Challenge, proof: Proof, welcome: Welcome) -> bytes:
    fields = (
        'accept',
        challenge.instance,
        welcome.incarnation,
        welcome.data_centre,
        msgspec.to_builtins(proof.member),
    )
    return _digest(secret, fields, challenge.nonce + proof.nonce)


def _digest(secret: str, fields: tuple[object, ...], nonces: bytes) -> bytes:
    # JSON delimits the fields unambiguously, whatever characters they contain; the nonces follow.
    text = msgspec.json.encode(fields, order='deterministic')
    return hmac.new(secret.encode(), text + nonces, hashlib.sha256).digest()


def _is_same_host(claimed_host: str, actual_host: str) -> bool:
    try:
        return ip_address(claimed_host) == ip_address(actual_host)
    except ValueError:
        return False
