"""The settings file: read, checked, unknown fields ignored."""

import os
import tomllib

import msgspec

from sumacloom.errors import Err, Ok, Result, mishap

VARIABLE = "SUMACLOOM_NODE_FILE"


class Listen(msgspec.Struct):
    fe: str = ""
    readyz: str = ""
    ctl: str = ""


class Limits(msgspec.Struct, rename="camel"):
    cpu: float = 1.0
    ncpu: int = 1
    mem_mb: int = 300
    nofile: int = 1024
    net_mbps: float = 1000.0
    disk_mb: int = 0


class Tolerate(msgspec.Struct):
    nodes: int = 1
    azs: int = 0
    rgns: int = 0


class Bounds(msgspec.Struct, rename="camel"):
    seed_lag_s: float = 3
    reuse_s: float = 2
    contact_ms: float = 5000
    ack_ms: float = 6000
    catchup_s: float = 4
    drain_ms: float = 7000
    grace_s: float = 6
    slack_ms: float = 200
    apply_ms: float = 4000
    downgrade_ms: float = 250
    stretch_ms: float = 15000
    cold_excess: float = 1.5
    cold_slack: float = 5
    evac_ms: float = 5000
    heal_s: float = 12
    fencing: bool = True
    lease_ms: float = 0  # the pages name no figure; taken where one is given
    thaw_ms: float = 300


class Cloud(msgspec.Struct, rename="camel"):
    addr: str = ""
    rate_per_s: float = 50.0
    jobs: list[str] = []
    duty_per_s: float = 50.0


class Health(msgspec.Struct, rename="camel"):
    """The paper's band, in milliseconds of log; ours, and open to change."""

    soft_lag_ms: float = 400
    hard_lag_ms: float = 1500
    grace_s: float = 3
    readmit_s: float = 1
    floor: int = 1
    sweep_s: float = 1.0
    sweep_cutoff_s: float = 2.0


class PoolSettings(msgspec.Struct, rename="camel"):
    """How pool modes are judged from what sessions do; ours, and open to change."""

    on: bool = True
    relax_requests: int = 50  # seen here before a database is judged `statement`
    relax_s: float = 10.0  # and over so long; doubled each time that the judgement was taken back
    relax_share: float = (
        0.15  # at most so many of them with a transaction, a value or a prepared name
    )
    tighten_share: float = 0.3  # from so many on it is judged `transaction` again
    session_requests: int = (
        8  # a session that was tightened is packed again after so many plain requests
    )
    session_s: float = 5.0  # and so long


class Settings(msgspec.Struct, rename="camel"):
    node: str
    role: str
    ip: str
    zone: str = msgspec.field(name="az")
    region: str = msgspec.field(name="rgn", default="")
    machine_class: str = msgspec.field(name="mclass", default="")
    serves: list[str] = []
    port_range: tuple[int, int] = (7440, 7455)
    seeds: list[str] = []
    bootstrap: bool = False
    voting: bool = False
    datadir: str = ""
    beat_ms: float = 1200
    clauses: list[str] = []
    zones: dict[str, str] = msgspec.field(name="azs", default_factory=dict)
    listen: Listen = msgspec.field(default_factory=Listen)
    limits: Limits = msgspec.field(default_factory=Limits)
    tolerate: Tolerate = msgspec.field(default_factory=Tolerate)
    bounds: Bounds = msgspec.field(default_factory=Bounds)
    cloud: Cloud = msgspec.field(default_factory=Cloud)
    health: Health = msgspec.field(default_factory=Health)
    pooling: PoolSettings = msgspec.field(default_factory=PoolSettings)
    log_level: str = "INFO"


def split_address(text: str) -> tuple[str, int] | None:
    """Parts IP:PORT; None if it is not one.

    >>> split_address("10.0.0.1:80")
    ('10.0.0.1', 80)
    >>> split_address("nonsense") is None
    True
    """
    host, colon, port = text.rpartition(":")
    if not (colon and host and port.isdigit() and 0 < int(port) < 65536):
        return None
    return host, int(port)


def parse_settings(text: str, role: str) -> Result:
    """Reads the settings of a role from TOML text.

    >>> parse_settings("node = 1", "counter").err().name
    'settings_invalid'
    """
    try:
        found = tomllib.loads(text)
        if (
            isinstance(found.get("bounds"), dict) and "lease_ms" in found["bounds"]
        ):  # as the rules spell it
            found["bounds"].setdefault("leaseMs", found["bounds"]["lease_ms"])
        settings = msgspec.convert(found, Settings)
    except tomllib.TOMLDecodeError as error:
        return Err(mishap("settings_invalid", f"the settings file is not TOML: {error}"))
    except msgspec.ValidationError as error:
        return Err(mishap("settings_invalid", f"the settings file is invalid: {error}"))
    needed = {"counter": ["fe", "readyz"], "registrar": ["ctl"]}[role]
    wrong = [name for name in needed if split_address(getattr(settings.listen, name)) is None]
    if wrong:
        return Err(mishap("settings_invalid", f"listen.{wrong[0]} must be IP:PORT for a {role}"))
    bad_seeds = [seed for seed in settings.seeds if split_address(seed) is None]
    if bad_seeds:
        return Err(mishap("settings_invalid", f"the seed '{bad_seeds[0]}' is not IP:PORT"))
    low, high = settings.port_range
    if not 0 < low < high < 65536:
        return Err(mishap("settings_invalid", "portRange must hold two rising ports"))
    if role == "registrar" and not settings.datadir:
        return Err(mishap("deploy_invalid", "a registrar needs a datadir"))
    if role == "registrar" and settings.bootstrap and not settings.seeds:
        return Err(
            mishap(
                "deploy_invalid",
                "a registrar's first start (bootstrap) needs seeds: they are the first voters",
            )
        )
    if settings.log_level not in ("DEBUG", "INFO", "WARNING", "ERROR"):
        return Err(mishap("settings_invalid", "logLevel must be DEBUG, INFO, WARNING or ERROR"))
    if not 0 < settings.health.soft_lag_ms <= settings.health.hard_lag_ms:
        return Err(mishap("settings_invalid", "health: 0 < softLagMs <= hardLagMs must hold"))
    pooling = settings.pooling
    if not 0 <= pooling.relax_share < pooling.tighten_share <= 1:
        return Err(
            mishap("settings_invalid", "pooling: 0 <= relaxShare < tightenShare <= 1 must hold")
        )
    if (
        min(pooling.relax_requests, pooling.session_requests) < 1
        or min(pooling.relax_s, pooling.session_s) < 0
    ):
        return Err(mishap("settings_invalid", "pooling: requests must be above 0, times not below"))
    return Ok(settings)


class FileWatch:
    """Notices that the settings file changed, with or without a signal.

    >>> FileWatch("/nowhere").changed(1.0)
    False
    """

    EVERY_S = 1.0

    def __init__(self, path: str = ""):
        self.path = path or os.environ.get(VARIABLE, "")
        self.looked_at = 0.0
        self.seen = self.look()

    def look(self):
        """What tells one state of the file from another.

        >>> FileWatch("/nowhere").look() is None
        True
        """
        try:
            found = os.stat(self.path)
        except OSError:
            return None
        return found.st_mtime_ns, found.st_size, found.st_ino

    def changed(self, now: float) -> bool:
        """Whether the file is another than at the last look; looks once a second.

        >>> FileWatch("/nowhere").changed(0.5)
        False
        """
        if now - self.looked_at < self.EVERY_S:
            return False
        self.looked_at = now
        seen, self.seen = self.seen, self.look()
        return self.seen is not None and self.seen != seen


def read_settings(role: str, path: str = "") -> Result:
    """Reads the file that the variable names, or the path given.

    >>> read_settings("counter", "/nowhere").err().code
    1001
    """
    path = path or os.environ.get(VARIABLE, "")
    if not path:
        return Err(mishap("settings_missing", f"{VARIABLE} must name the settings file"))
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        return Err(mishap("settings_missing", f"the settings file can't be read: {error}"))
    return parse_settings(text, role)
