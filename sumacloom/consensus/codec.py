"""How values of registers are encoded, and the simplest changes that may be proposed."""

from collections.abc import Callable
from typing import Any, TypeVar

import msgspec

Value = TypeVar("Value")

Change = Callable[[bytes | None], bytes | None]
"""A change of a register: takes the current value, None if there is none, and returns the new one.

It returns None to leave the value as it is, and raises a `SumacloomError` to refuse. It may be applied
several times, to different values, before one of its results is committed.
"""


def encode(value: Any) -> bytes:
    """Encodes a value for its register."""
    return msgspec.msgpack.encode(value)


def decode(kind: type[Value], value: bytes | None) -> Value | None:
    """Decodes a register's value; None if the register holds none.

    >>> decode(list, None) is None
    True
    """
    return None if value is None else msgspec.msgpack.decode(value, type=kind)


def unchanged(_current: bytes | None) -> None:
    """The change that changes nothing: a read in two rounds."""


def rewrite(current: bytes | None) -> bytes | None:
    """The change that writes the same value again, so that all present voters accept it."""
    return current
