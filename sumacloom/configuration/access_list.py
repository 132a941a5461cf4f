"""Access rules: which regions may reach which databases, as in an access control list; the first match decides.

The verdict is a function of (list, database, caller's address) alone, so every counter gives the same one.
"""

import msgspec

ANY, UNKNOWN = "*", "unknown"
DEFAULT = "default"  # the name under which the default action is counted


class AccessRule(msgspec.Struct, frozen=True):
    """One rule; `*` stands for any database or any region.

    >>> AccessRule("home", "allow", ["books"], ["north"]).action
    'allow'
    """

    name: str
    action: str  # allow deny
    databases: list[str]
    regions: list[str]


class AccessList(msgspec.Struct):
    """The operator's list as the data plane reads it; the registrar's own model checks it first."""

    default: str
    networks: dict[str, str] = {}
    rules: list[AccessRule] = []


class Verdict(msgspec.Struct, frozen=True):
    """What a list says of one caller and one database."""

    rule: str
    allowed: bool
    region: str


class Access:
    """A compiled list.

    >>> access = Access(b'{"default": "deny", "networks": {"10.0.0.0/8": "north", "10.9.0.0/16": "south"},'
    ...     b'"rules": [{"name": "home", "action": "allow", "databases": ["books"], "regions": ["north"]}]}')
    >>> access.verdict("books", "10.1.0.1")
    Verdict(rule='home', allowed=True, region='north')
    >>> access.verdict("books", "10.9.0.1").rule, access.verdict("books", "::1").region
    ('default', 'unknown')
    """

    def __init__(self, body: bytes, generation: int = 0):
        from ipaddress import (
            ip_address,
            ip_network,
        )  # only where a list is in use: start-up time is charged

        self.read_address = ip_address
        self.body, self.generation = body, generation
        found = msgspec.json.decode(body, type=AccessList)
        self.default, self.rules = found.default, found.rules
        self.networks: dict[
            tuple, dict[int, str]
        ] = {}  # (version, bits that vary): network: region
        for text, region in found.networks.items():
            network = ip_network(text)
            loose = network.max_prefixlen - network.prefixlen
            self.networks.setdefault((network.version, loose), {})[
                int(network.network_address) >> loose
            ] = region
        self.order = sorted(self.networks)  # the most specific first
        self.verdicts: dict[tuple, Verdict] = {}

    def region(self, address: str) -> str:
        """The region that an address belongs to, by the most specific network; `unknown` for none.

        >>> Access(b'{"default": "deny"}').region("10.0.0.1")
        'unknown'
        """
        try:
            found = self.read_address(address)
        except ValueError:
            return UNKNOWN
        found = getattr(found, "ipv4_mapped", None) or found
        number = int(found)
        return next(
            (
                networks[number >> loose]
                for (version, loose), networks in self.by_width()
                if version == found.version and number >> loose in networks
            ),
            UNKNOWN,
        )

    def by_width(self):
        """The networks, the most specific first.

        >>> list(Access(b'{"default": "deny"}').by_width())
        []
        """
        return ((key, self.networks[key]) for key in self.order)

    def verdict(self, database: str, address: str) -> Verdict:
        """What the list says of a caller at an address who wants a database.

        >>> Access(b'{"default": "allow"}').verdict("books", "10.0.0.1").allowed
        True
        """
        return self.judge(database, self.region(address))

    def judge(self, database: str, region: str) -> Verdict:
        """What the list says of a caller in a region.

        >>> Access(b'{"default": "allow"}').judge("books", "north").rule
        'default'
        """
        key = (database, region)
        if key not in self.verdicts:
            rule = next(
                (
                    rule
                    for rule in self.rules
                    if covers(rule.databases, database) and covers(rule.regions, region)
                ),
                AccessRule(DEFAULT, self.default, [], []),
            )
            if len(self.verdicts) >= 4096:  # names of no database come from clients: bounded
                self.verdicts.clear()
            self.verdicts[key] = Verdict(rule.name, rule.action == "allow", region)
        return self.verdicts[key]


def covers(names: list[str], name: str) -> bool:
    """Whether a rule's names cover one.

    >>> covers(["*"], "books"), covers(["books"], "search")
    (True, False)
    """
    return name in names or ANY in names
