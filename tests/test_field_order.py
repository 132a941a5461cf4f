"""Structs travel and are stored as arrays: the place of a field is its name, so that order is pinned.

Where two fields of one type change places, bytes stay as they were and only their meaning moves;
no pinned bytes would show that. A renamed field is renamed in tests/data/field_order.json as well.
"""

import json
import pathlib
import typing

import msgspec
import pytest

from sumacloom.consensus.quorum import QuorumConfiguration
from sumacloom.controller.delivery.feed import Feed
from sumacloom.controller.delivery.subscribers import SubscribersValue
from sumacloom.controller.policy.access import AccessValue
from sumacloom.controller.policy.pool_modes import PoolModesValue
from sumacloom.controller.policy.priority import PriorityValue
from sumacloom.controller.registers.configuration import ConfigurationValue
from sumacloom.controller.registers.lease import LeaseValue
from sumacloom.controller.registers.zone_drains import ZoneDrainsValue
from sumacloom.transport.messages import KINDS

PINNED = json.loads((pathlib.Path(__file__).parent / "data" / "field_order.json").read_text())
STORED = (
    AccessValue,
    ConfigurationValue,
    Feed,
    LeaseValue,
    PoolModesValue,
    PriorityValue,
    QuorumConfiguration,
    SubscribersValue,
    ZoneDrainsValue,
)


def records_in(hint):
    """The structs and named tuples that a type speaks of."""
    if isinstance(hint, type) and (issubclass(hint, msgspec.Struct) or hasattr(hint, "_fields")):
        yield hint
    for argument in typing.get_args(hint):
        yield from records_in(argument)


def fields_of(kind):
    """Field names in order."""
    return list(kind.__struct_fields__ if issubclass(kind, msgspec.Struct) else kind._fields)


def reachable(kinds):
    """These types and all that their fields hold."""
    found, left = {}, list(kinds)
    while left:
        kind = left.pop()
        if kind.__name__ not in found:
            found[kind.__name__] = kind
            for hint in typing.get_type_hints(kind).values():
                left += records_in(hint)
    return found


FOUND = reachable([*KINDS, *STORED])


@pytest.mark.parametrize("name", sorted(PINNED))
def test_fields_keep_their_places(name):
    assert fields_of(FOUND[name]) == PINNED[name]


def test_every_record_is_pinned():
    assert set(FOUND) == set(PINNED)
