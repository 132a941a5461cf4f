"""Who votes, as daemons tell one another."""

import zlib

import msgspec

FIRST = 1  # the generation of the first start's voters, which no round decided


class Configuration(msgspec.Struct, array_like=True, frozen=True):
    """Who votes. While `old` is not empty, every round needs a majority of the old and of the new set.

    >>> Configuration(2, ("a", "b", "c"), ("a", "b", "d")).has_quorum({"a", "b"})
    True
    >>> Configuration(2, ("a", "b", "c"), ("a", "b", "d")).has_quorum({"a", "c"})
    False
    """

    generation: int
    old: tuple[str, ...]
    new: tuple[str, ...]

    @property
    def mark(self) -> int:
        """What rounds name the voters by: the generation; of the first, which only settings name, the set itself.

        >>> Configuration(2, (), ("a", "b")).mark, Configuration(1, (), ("a", "b")).mark == Configuration(1, (), ("b", "a")).mark
        (2, True)
        >>> Configuration(1, (), ("a", "b")).mark == Configuration(1, (), ("a", "c")).mark
        False
        """
        return (
            self.generation
            if self.generation != FIRST
            else -1 - zlib.crc32(",".join(sorted(self.new)).encode())
        )

    @property
    def members(self) -> list[str]:
        """Everyone who has a vote.

        >>> Configuration(2, ("a", "b"), ("b", "c")).members
        ['a', 'b', 'c']
        """
        return sorted({*self.old, *self.new})

    @property
    def sets(self) -> list[tuple]:
        """The sets that each need a majority.

        >>> Configuration(1, (), ("a", "b")).sets
        [('a', 'b')]
        """
        return [voters for voters in (self.old, self.new) if voters]

    def has_quorum(self, voices) -> bool:
        """Whether these voices are a majority of each set.

        >>> Configuration(1, (), ("a", "b", "c")).has_quorum(["a"]), Configuration(1, (), ()).has_quorum(["a"])
        (False, False)
        """
        return bool(self.sets) and all(
            sum(voter in voices for voter in voters) > len(voters) // 2 for voters in self.sets
        )

    def meets_every_quorum(self, voices) -> bool:
        """Whether these voices meet every majority that could have decided.

        >>> Configuration(1, (), ("a", "b", "c", "d")).meets_every_quorum({"a", "b"}), Configuration(1, (), ("a", "b", "c")).meets_every_quorum({"a"})
        (True, False)
        """
        return bool(self.sets) and all(
            sum(voter in voices for voter in voters) >= len(voters) - len(voters) // 2
            for voters in self.sets
        )
