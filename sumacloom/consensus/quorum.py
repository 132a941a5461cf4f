"""Quorum configurations: who votes, and which of them suffice to decide."""

import zlib
from collections.abc import Collection

import msgspec

INITIAL_VERSION = 1  # of the first start's voters, which come from settings and not from a round


class QuorumConfiguration(msgspec.Struct, array_like=True, frozen=True):
    """A set of voters. While `old` is not empty it is joint: a majority of both sets is needed.

    >>> QuorumConfiguration(2, ("a", "b", "c"), ("a", "b", "d")).has_quorum({"a", "b"})
    True
    >>> QuorumConfiguration(2, ("a", "b", "c"), ("a", "b", "d")).has_quorum({"a", "c"})
    False
    """

    version: int
    old: tuple[str, ...]
    new: tuple[str, ...]

    @property
    def identity(self) -> int:
        """What messages name this configuration by: its version, but for the initial one.

        The initial voters come from each controller's own settings, so two controllers may disagree
        about them under the same version. They are therefore named by a checksum of the set.

        >>> QuorumConfiguration(2, (), ("a", "b")).identity
        2
        >>> first, same = QuorumConfiguration(1, (), ("a", "b")), QuorumConfiguration(1, (), ("b", "a"))
        >>> first.identity == same.identity, first.identity == QuorumConfiguration(1, (), ("a", "c")).identity
        (True, False)
        """
        if self.version != INITIAL_VERSION:
            return self.version
        return -1 - zlib.crc32(",".join(sorted(self.new)).encode())

    @property
    def members(self) -> list[str]:
        """Everyone who has a vote.

        >>> QuorumConfiguration(2, ("a", "b"), ("b", "c")).members
        ['a', 'b', 'c']
        """
        return sorted({*self.old, *self.new})

    @property
    def voter_sets(self) -> list[tuple[str, ...]]:
        """The sets that each need a majority."""
        return [voters for voters in (self.old, self.new) if voters]

    def has_quorum(self, voters: Collection[str]) -> bool:
        """Whether these voters are a majority of each set.

        >>> QuorumConfiguration(1, (), ("a", "b", "c")).has_quorum(["a"])
        False
        >>> QuorumConfiguration(1, (), ()).has_quorum(["a"])
        False
        """
        sets = self.voter_sets
        return bool(sets) and all(
            sum(voter in voters for voter in members) > len(members) // 2 for members in sets
        )

    def intersects_every_quorum(self, voters: Collection[str]) -> bool:
        """Whether every quorum that could have decided has one of these voters.

        >>> QuorumConfiguration(1, (), ("a", "b", "c", "d")).intersects_every_quorum({"a", "b"})
        True
        >>> QuorumConfiguration(1, (), ("a", "b", "c")).intersects_every_quorum({"a"})
        False
        """
        sets = self.voter_sets
        return bool(sets) and all(
            sum(voter in voters for voter in members) >= len(members) - len(members) // 2
            for members in sets
        )
