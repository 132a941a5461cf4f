"""The settings file: read, checked, unknown fields ignored.

Names and forms are those of the operators' pages; `Health` and `PoolSettings` are our own. Fields end in
their unit: `_s` seconds, `_ms` milliseconds, `_mb` megabytes.
"""

import os
import tomllib
from typing import Any

import msgspec

from sumacloom.errors import (
    DeploymentInvalidError,
    SettingsInvalidError,
    SettingsMissingError,
    SumacloomError,
)
from sumacloom.logs import DEFAULT_LEVEL, LEVELS

SETTINGS_VARIABLE = "SUMACLOOM_NODE_FILE"
POOLER, CONTROLLER = "pooler", "controller"
REQUIRED_LISTEN = {POOLER: ("fe", "readyz"), CONTROLLER: ("ctl",)}
MAX_PORT = 65535
DEFAULT_METRICS_PORT = 9464


class Listen(msgspec.Struct):
    """Where the role serves: clients, the readiness probe, operators and backends."""

    fe: str = ""
    readyz: str = ""
    ctl: str = ""


class Limits(msgspec.Struct, rename="camel"):
    """What this machine gives a process."""

    cpu: float = 1.0
    ncpu: int = 1
    mem_mb: int = 300
    nofile: int = 1024
    net_mbps: float = 1000.0
    disk_mb: int = 0


class Tolerate(msgspec.Struct):
    """What may be lost at once with all rules kept."""

    nodes: int = 1
    azs: int = 0
    rgns: int = 0


class Bounds(msgspec.Struct, rename="camel"):
    """The figures of the operators' rules."""

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
    """The platform: its address, and the calls that it takes."""

    addr: str = ""
    rate_per_s: float = 50.0
    jobs: list[str] = []
    duty_per_s: float = 50.0


class Health(msgspec.Struct, rename="camel"):
    """The lag limits of replica health, in milliseconds of log; our own, and open to change."""

    soft_lag_ms: float = 400
    hard_lag_ms: float = 1500
    grace_s: float = 3
    readmit_s: float = 1
    floor: int = 1
    sweep_s: float = 1.0
    sweep_cutoff_s: float = 2.0


class Failover(msgspec.Struct, rename="camel"):
    """How primaries are replaced; our own, and open to change.

    Attributes:
        left_behind_s: seconds that a service waits for a log that no promotion left behind, before one
            that was may lead: longer than a backend's outage with its start.
    """

    left_behind_s: float = 15.0


class PoolSettings(msgspec.Struct, rename="camel"):
    """How pool modes are judged from what sessions do; our own, and open to change.

    Attributes:
        on: whether modes are judged at all.
        relax_requests: requests seen before a database is judged `statement`.
        relax_s: seconds over which they were seen; doubled each time that a judgement was taken back.
        relax_share: at most this share of them with a transaction, a session value or a prepared name.
        tighten_share: from this share on a database is judged `transaction` again.
        session_requests: plain requests after which a tightened session is in `statement` mode again.
        session_s: seconds after which it may be.
    """

    on: bool = True
    relax_requests: int = 50
    relax_s: float = 10.0
    relax_share: float = 0.15
    tighten_share: float = 0.3
    session_requests: int = 8
    session_s: float = 5.0


class Settings(msgspec.Struct, rename="camel"):
    """A whole settings file."""

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
    failover: Failover = msgspec.field(default_factory=Failover)
    pooling: PoolSettings = msgspec.field(default_factory=PoolSettings)
    log_level: str = DEFAULT_LEVEL
    metrics_port: int = DEFAULT_METRICS_PORT  # on this machine's own address; 0: none are served


def split_address(text: str) -> tuple[str, int]:
    """Splits IP:PORT.

    >>> split_address("10.0.0.1:80")
    ('10.0.0.1', 80)

    Raises:
        ValueError: it is not one.
    """
    host, colon, port = text.rpartition(":")
    if not (colon and host and port.isdigit() and 0 < int(port) <= MAX_PORT):
        raise ValueError(f"'{text}' is not IP:PORT")
    return host, int(port)


def is_address(text: str) -> bool:
    """Whether a text is IP:PORT.

    >>> is_address("10.0.0.1:80"), is_address("nonsense")
    (True, False)
    """
    try:
        split_address(text)
    except ValueError:
        return False
    return True


def parse_settings(text: str, role: str) -> Settings:
    """Reads the settings of a role from TOML text.

    Raises:
        SettingsInvalidError: the text is not TOML, or a field is missing or wrong.
        DeploymentInvalidError: the role can't run on this machine.
    """
    try:
        found = tomllib.loads(text)
        _accept_rules_spelling(found)
        settings = msgspec.convert(found, Settings)
    except tomllib.TOMLDecodeError as error:
        raise SettingsInvalidError(f"the settings file is not TOML: {error}") from error
    except msgspec.ValidationError as error:
        raise SettingsInvalidError(f"the settings file is invalid: {error}") from error
    found_error = _find_error(settings, role)
    if found_error is not None:
        raise found_error
    return settings


def _accept_rules_spelling(found: dict[str, Any]) -> None:
    """The rules spell one bound `lease_ms`, unlike all others: both spellings are read."""
    bounds = found.get("bounds")
    if isinstance(bounds, dict) and "lease_ms" in bounds:
        bounds.setdefault("leaseMs", bounds["lease_ms"])


def _find_error(settings: Settings, role: str) -> SumacloomError | None:
    return (
        _find_address_error(settings, role)
        or _find_deployment_error(settings, role)
        or _find_tuning_error(settings)
    )


def _find_address_error(settings: Settings, role: str) -> SumacloomError | None:
    for name in REQUIRED_LISTEN[role]:
        if not is_address(getattr(settings.listen, name)):
            return SettingsInvalidError(f"listen.{name} must be IP:PORT for a {role}")
    for seed in settings.seeds:
        if not is_address(seed):
            return SettingsInvalidError(f"the seed '{seed}' is not IP:PORT")
    if not 0 <= settings.metrics_port <= MAX_PORT:
        return SettingsInvalidError("metricsPort must be a port, or 0 for none")
    low, high = settings.port_range
    if not 0 < low < high <= MAX_PORT:
        return SettingsInvalidError("portRange must hold two rising ports")
    return None


def _find_deployment_error(settings: Settings, role: str) -> SumacloomError | None:
    if role != CONTROLLER:
        return None
    if not settings.datadir:
        return DeploymentInvalidError("a controller needs a datadir")
    if settings.bootstrap and not settings.seeds:
        return DeploymentInvalidError(
            "a controller's first start (bootstrap) needs seeds: they are the first voters"
        )
    return None


def _find_tuning_error(settings: Settings) -> SumacloomError | None:
    if settings.log_level not in LEVELS:
        return SettingsInvalidError(f"logLevel must be {', '.join(LEVELS[:-1])} or {LEVELS[-1]}")
    if not 0 < settings.health.soft_lag_ms <= settings.health.hard_lag_ms:
        return SettingsInvalidError("health: 0 < softLagMs <= hardLagMs must hold")
    if settings.failover.left_behind_s < 0:
        return SettingsInvalidError("failover: leftBehindS must not be below 0")
    pooling = settings.pooling
    if not 0 <= pooling.relax_share < pooling.tighten_share <= 1:
        return SettingsInvalidError("pooling: 0 <= relaxShare < tightenShare <= 1 must hold")
    if min(pooling.relax_requests, pooling.session_requests) < 1:
        return SettingsInvalidError("pooling: requests must be above 0, times not below")
    if min(pooling.relax_s, pooling.session_s) < 0:
        return SettingsInvalidError("pooling: requests must be above 0, times not below")
    return None


def read_settings(role: str, path: str = "") -> Settings:
    """Reads the file at `path`, or the one that the variable names.

    Raises:
        SettingsMissingError: there is no such file, or it can't be read.
        SettingsInvalidError: its content is wrong.
        DeploymentInvalidError: the role can't run on this machine.
    """
    path = path or os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        raise SettingsMissingError(f"{SETTINGS_VARIABLE} must name the settings file")
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsMissingError(f"the settings file can't be read: {error}") from error
    return parse_settings(text, role)


class FileWatch:
    """Notices that the settings file changed, with or without a signal.

    >>> FileWatch("/nowhere").has_changed(1.0)
    False
    """

    EVERY_S = 1.0

    def __init__(self, path: str = ""):
        self.path = path or os.environ.get(SETTINGS_VARIABLE, "")
        self.checked_at = 0.0
        self.identity = self._read_identity()

    def _read_identity(self) -> tuple[int, int, int] | None:
        """What tells one state of the file from another; None while there is no file."""
        try:
            found = os.stat(self.path)
        except OSError:
            return None
        return found.st_mtime_ns, found.st_size, found.st_ino

    def has_changed(self, now: float) -> bool:
        """Whether the file is another than at the last check; checks once a second."""
        if now - self.checked_at < self.EVERY_S:
            return False
        self.checked_at = now
        before, self.identity = self.identity, self._read_identity()
        return self.identity is not None and self.identity != before


def seed_hosts(seeds: list[str]) -> list[str]:
    """The hosts of seed addresses, each once.

    >>> seed_hosts(["10.0.0.1:80", "10.0.0.1:81", "10.0.0.2:80"])
    ['10.0.0.1', '10.0.0.2']
    """
    return list(dict.fromkeys(seed.rpartition(":")[0] for seed in seeds))
