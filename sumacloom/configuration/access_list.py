"""Access lists: which regions may reach which databases; the first rule that matches decides.

The verdict is a function of list, database and the caller's address alone, so every pooler gives the
same one.
"""

import msgspec

ANY = "*"
UNKNOWN_REGION = "unknown"
DEFAULT_RULE = "default"  # the name under which the default action is counted
ALLOW = "allow"
MAX_CACHED_VERDICTS = 4096  # names of no database come from clients, so the cache is bounded


class AccessRule(msgspec.Struct, frozen=True):
    """One rule; `*` stands for any database or any region."""

    name: str
    action: str  # allow or deny
    databases: list[str]
    regions: list[str]

    def matches(self, database: str, region: str) -> bool:
        """Whether the rule speaks of a database and a region."""
        return _covers(self.databases, database) and _covers(self.regions, region)


class AccessRules(msgspec.Struct):
    """The operator's list as the data plane reads it; `access_checks` reads it more strictly first."""

    default: str
    networks: dict[str, str] = {}
    rules: list[AccessRule] = []


class Verdict(msgspec.Struct, frozen=True):
    """What a list says of one caller and one database."""

    rule: str
    allowed: bool
    region: str


class _NetworkTable:
    """Networks of one address family and prefix length: the bits of the prefix, and the region."""

    __slots__ = ("host_bits", "ip_version", "regions")

    def __init__(self, ip_version: int, host_bits: int):
        self.ip_version = ip_version
        self.host_bits = host_bits
        self.regions: dict[int, str] = {}


class AccessList:
    """A compiled list.

    >>> access_list = AccessList(
    ...     b'{"default": "deny", "networks": {"10.0.0.0/8": "north", "10.9.0.0/16": "south"},'
    ...     b'"rules": [{"name": "home", "action": "allow", "databases": ["books"], "regions": ["north"]}]}')
    >>> access_list.verdict("books", "10.1.0.1")
    Verdict(rule='home', allowed=True, region='north')
    >>> access_list.verdict("books", "10.9.0.1").rule, access_list.verdict("books", "::1").region
    ('default', 'unknown')
    """

    def __init__(self, body: bytes, version: int = 0):
        # only where a list is in use: start-up time counts
        from ipaddress import ip_address, ip_network

        self.parse_address = ip_address
        self.body = body
        self.version = version
        found = msgspec.json.decode(body, type=AccessRules)
        self.default = found.default
        self.rules = found.rules
        tables: dict[tuple[int, int], _NetworkTable] = {}
        for text, region in found.networks.items():
            network = ip_network(text)
            host_bits = network.max_prefixlen - network.prefixlen
            key = (network.version, host_bits)
            table = tables.setdefault(key, _NetworkTable(*key))
            table.regions[int(network.network_address) >> host_bits] = region
        self._networks = [tables[key] for key in sorted(tables)]  # the most specific first
        self._verdicts: dict[tuple[str, str], Verdict] = {}

    def region(self, address: str) -> str:
        """The region of an address, by the most specific network; `unknown` for none.

        >>> AccessList(b'{"default": "deny"}').region("10.0.0.1")
        'unknown'
        """
        try:
            parsed = self.parse_address(address)
        except ValueError:
            return UNKNOWN_REGION
        parsed = getattr(parsed, "ipv4_mapped", None) or parsed
        number = int(parsed)
        for table in self._networks:
            region = table.regions.get(number >> table.host_bits)
            if region is not None and table.ip_version == parsed.version:
                return region
        return UNKNOWN_REGION

    def verdict(self, database: str, address: str) -> Verdict:
        """What the list says of a caller at an address who wants a database."""
        return self.verdict_for_region(database, self.region(address))

    def verdict_for_region(self, database: str, region: str) -> Verdict:
        """What the list says of a caller in a region.

        >>> AccessList(b'{"default": "allow"}').verdict_for_region("books", "north").rule
        'default'
        """
        key = (database, region)
        if key not in self._verdicts:
            if len(self._verdicts) >= MAX_CACHED_VERDICTS:
                self._verdicts.clear()
            self._verdicts[key] = self._evaluate(database, region)
        return self._verdicts[key]

    def _evaluate(self, database: str, region: str) -> Verdict:
        for rule in self.rules:
            if rule.matches(database, region):
                return Verdict(rule.name, rule.action == ALLOW, region)
        return Verdict(DEFAULT_RULE, self.default == ALLOW, region)


def _covers(names: list[str], name: str) -> bool:
    return name in names or ANY in names
