"""The zones that are drained, as a register."""

import msgspec

from sumacloom.consensus.codec import Change, decode, encode


class ZoneDrainsValue(msgspec.Struct, array_like=True):
    """The register's value: the zones whose backends get nothing more."""

    version: int
    zones: list[str]


def drain_zone(zone: str, drained: bool) -> Change:
    """The change that drains a zone, or withdraws that.

    The first order is written even if it changes nothing: an empty register can't refuse an older order.

    >>> decode(ZoneDrainsValue, drain_zone("z", True)(None)).zones
    ['z']
    """

    def change(current: bytes | None) -> bytes | None:
        value = decode(ZoneDrainsValue, current) or ZoneDrainsValue(0, [])
        if value.version and (zone in value.zones) == drained:
            return None
        zones = {*value.zones, zone} if drained else {*value.zones} - {zone}
        return encode(ZoneDrainsValue(value.version + 1, sorted(zones)))

    return change
