"""Who votes, as daemons tell one another."""
import msgspec


class Panel(msgspec.Struct, array_like=True, frozen=True):
    """Who votes. While `old` is not empty, every round needs a majority of the old and of the new set.

    >>> Panel(2, ("a", "b", "c"), ("a", "b", "d")).carried({"a", "b"})
    True
    >>> Panel(2, ("a", "b", "c"), ("a", "b", "d")).carried({"a", "c"})
    False
    """

    generation: int
    old: tuple[str, ...]
    new: tuple[str, ...]

    @property
    def members(self) -> list[str]:
        """Everyone who has a vote.

        >>> Panel(2, ("a", "b"), ("b", "c")).members
        ['a', 'b', 'c']
        """
        return sorted({*self.old, *self.new})

    @property
    def sets(self) -> list[tuple]:
        """The sets that each need a majority.

        >>> Panel(1, (), ("a", "b")).sets
        [('a', 'b')]
        """
        return [voters for voters in (self.old, self.new) if voters]

    def carried(self, voices) -> bool:
        """Whether these voices are a majority of each set.

        >>> Panel(1, (), ("a", "b", "c")).carried(["a"])
        False
        """
        return all(sum(voter in voices for voter in voters) > len(voters) // 2 for voters in self.sets)

    def met(self, voices) -> bool:
        """Whether these voices meet every majority that could have decided.

        >>> Panel(1, (), ("a", "b", "c", "d")).met({"a", "b"}), Panel(1, (), ("a", "b", "c")).met({"a"})
        (True, False)
        """
        return all(sum(voter in voices for voter in voters) >= len(voters) - len(voters) // 2 for voters in self.sets)
