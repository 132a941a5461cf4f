"""A lease of a singleton role, as a register: its holder and a fencing token that rises with each holder."""

import msgspec

from sumacloom.consensus.codec import Change, decode, encode
from sumacloom.errors import StaleVersionError


class LeaseValue(msgspec.Struct, array_like=True):
    """The register's value; the nonce tells one incarnation of the holder from another."""

    holder: str
    fencing_token: int
    nonce: int


def acquire_lease(holder: str, nonce: int, expected: LeaseValue | None) -> Change:
    """The change that takes a vacant lease; refused if another was faster.

    >>> decode(LeaseValue, acquire_lease("a", 1, None)(None)).fencing_token
    1
    """

    def change(current: bytes | None) -> bytes:
        value = decode(LeaseValue, current)
        if value != expected:
            raise StaleVersionError("the duty has another holder")
        return encode(LeaseValue(holder, (value.fencing_token if value else 0) + 1, nonce))

    return change


def release_lease(own: LeaseValue) -> Change:
    """The change that gives a lease up; refused if it is another's by now."""

    def change(current: bytes | None) -> bytes:
        if decode(LeaseValue, current) != own:
            raise StaleVersionError
        return encode(LeaseValue("", own.fencing_token, 0))

    return change
