"""Typed errors, each with a fixed number, an HTTP status and an exit code, as in `docs/results.md`.

An error is raised where it is found and caught at the border that answers: the HTTP handler of a
controller, a command of the command line, the start of a daemon. Numbers and names are part of the
admin API and never change.
"""

from typing import Any, ClassVar


class SumacloomError(Exception):
    """Base of all errors of the project.

    Attributes:
        code: the number that operators look up.
        name: the identifier in replies of the admin API.
        http_status: the status of a reply; 0 where the error never becomes one.
        exit_code: what a program ends with.
        default_message: the sentence used when none is given: the first of the class's own comment.
    """

    code: ClassVar[int] = 0
    name: ClassVar[str] = ""
    http_status: ClassVar[int] = 0
    exit_code: ClassVar[int] = 1
    default_message: ClassVar[str] = ""

    def __init_subclass__(cls, *, code: int, name: str, http_status: int = 0, exit_code: int):
        super().__init_subclass__()
        cls.code, cls.name, cls.http_status, cls.exit_code = code, name, http_status, exit_code
        sentence = (cls.__doc__ or "").removesuffix(".")
        cls.default_message = sentence[:1].lower() + sentence[1:]

    def __init__(self, message: str = ""):
        super().__init__(message or self.default_message)

    @property
    def message(self) -> str:
        """One sentence for people."""
        return str(self.args[0])

    def to_json(self) -> dict[str, Any]:
        """The form that the admin API replies with.

        >>> NotFoundError().to_json()["code"]
        1404
        """
        return {"code": self.code, "error": self.name, "sentence": self.message}


class SettingsMissingError(SumacloomError, code=1001, name="settings_missing", exit_code=2):
    """The settings file can't be read."""


class SettingsInvalidError(SumacloomError, code=1002, name="settings_invalid", exit_code=2):
    """The settings file is invalid."""


class DeploymentInvalidError(SumacloomError, code=1003, name="deploy_invalid", exit_code=2):
    """This role can't run on this machine."""


class AddressUnusableError(SumacloomError, code=1005, name="address_unusable", exit_code=3):
    """An address of the settings can't be served."""


class DiskUnusableError(SumacloomError, code=1004, name="disk_unusable", exit_code=3):
    """The data folder can't be used."""


class ForeignLogError(SumacloomError, code=1006, name="ledger_foreign", exit_code=3):
    """The write-ahead log holds records of another program."""


class DamagedLogError(SumacloomError, code=1007, name="ledger_damaged", exit_code=3):
    """The write-ahead log has lost synced records."""


class UnreadableConfigurationError(
    SumacloomError, code=1101, name="unreadable", http_status=400, exit_code=4
):
    """The body can't be read as a configuration."""


class UnknownServiceError(
    SumacloomError, code=1102, name="unknown_service", http_status=400, exit_code=4
):
    """A route names an unknown service."""


class DuplicateRouteError(
    SumacloomError, code=1103, name="same_place", http_status=400, exit_code=4
):
    """Two routes share a host and a prefix."""


class ZeroTimeoutError(
    SumacloomError, code=1104, name="zero_timeout", http_status=400, exit_code=4
):
    """A tmoMs must be above 0."""


class OldVersionError(
    SumacloomError, code=1105, name="old_generation", http_status=400, exit_code=4
):
    """Ver is not above the current one."""


class InvalidFieldError(
    SumacloomError, code=1106, name="invalid_field", http_status=400, exit_code=4
):
    """A field of the configuration is invalid."""


class MatchMissingError(
    SumacloomError, code=1201, name="match_missing", http_status=428, exit_code=4
):
    """The header If-Match must carry the version built on."""


class StaleVersionError(
    SumacloomError, code=1202, name="stale_match", http_status=412, exit_code=5
):
    """Another version is current."""


class NothingToUndoError(
    SumacloomError, code=1203, name="nothing_to_undo", http_status=409, exit_code=5
):
    """No earlier configuration is kept."""


class NoQuorumError(SumacloomError, code=1301, name="no_majority", http_status=503, exit_code=6):
    """No quorum of the controllers answered in time."""


class NotInQuorumError(
    SumacloomError, code=1310, name="out_of_touch", http_status=503, exit_code=6
):
    """This controller has no quorum: another may."""


class LocalViewError(SumacloomError, code=1311, name="own_view", exit_code=7):
    """What is shown is one controller's own view."""


class RecoveringError(SumacloomError, code=1302, name="rejoining", http_status=503, exit_code=6):
    """This controller is still recovering its state."""


class OrderForgottenError(
    SumacloomError, code=1312, name="forgotten", http_status=503, exit_code=6
):
    """It is no longer known whether this order was taken."""


class CallerGoneError(SumacloomError, code=1313, name="caller_gone", http_status=503, exit_code=6):
    """The caller had closed its connection before its order was proposed."""


class ProcessStalledError(
    SumacloomError, code=1314, name="stood_still", http_status=503, exit_code=6
):
    """This process was stalled a moment ago, and can't tell how old the order is."""


class ControllersUnreachableError(SumacloomError, code=1303, name="unreachable", exit_code=6):
    """No controller could be reached."""


class GarbledReplyError(SumacloomError, code=1304, name="garbled", exit_code=6):
    """A daemon answered with an unreadable body."""


class BadRequestError(SumacloomError, code=1400, name="bad_request", http_status=400, exit_code=4):
    """The request can't be read."""


class NotFoundError(SumacloomError, code=1404, name="no_route", http_status=404, exit_code=4):
    """There is nothing at this path."""


class MethodNotAllowedError(
    SumacloomError, code=1405, name="wrong_method", http_status=405, exit_code=4
):
    """This path does not take this method."""


class BodyTooLargeError(SumacloomError, code=1413, name="too_large", http_status=413, exit_code=4):
    """The body is too large."""


class UnknownZoneError(
    SumacloomError, code=1422, name="unknown_zone", http_status=422, exit_code=4
):
    """There is no such zone."""


class UnknownDatabaseError(
    SumacloomError, code=1425, name="unknown_database", http_status=422, exit_code=4
):
    """The configuration has no such database."""


class PriorityPendingError(SumacloomError, code=1305, name="lanes_waiting", exit_code=6):
    """A pooler does not hold the priority databases yet."""


class UndoPendingError(SumacloomError, code=1306, name="undo_waiting", exit_code=6):
    """A node does not hold the restored configuration yet."""


class SubscribersPendingError(SumacloomError, code=1307, name="listeners_waiting", exit_code=6):
    """A node does not hold the list of subscribers yet."""


class SubscriberExistsError(
    SumacloomError, code=1426, name="listener_exists", http_status=409, exit_code=5
):
    """Another subscriber has this name."""


class SubscriberNotFoundError(
    SumacloomError, code=1427, name="no_listener", http_status=404, exit_code=4
):
    """There is no such subscriber."""


class TooManySubscribersError(
    SumacloomError, code=1428, name="too_many_listeners", http_status=422, exit_code=4
):
    """There are too many subscribers."""


class OffsetAheadError(
    SumacloomError, code=1429, name="cursor_ahead", http_status=422, exit_code=4
):
    """The offset is ahead of the feed."""


class OffsetBehindError(
    SumacloomError, code=1430, name="cursor_behind", http_status=410, exit_code=5
):
    """The offset is below what is kept."""


class SubscriberLapsedError(SumacloomError, code=1431, name="lapsed", http_status=410, exit_code=5):
    """The subscriber was too slow and has missed items."""


class OutputUnwritableError(SumacloomError, code=1432, name="effect_unwritable", exit_code=3):
    """The items can't be written where they should go."""


class InvalidAccessListError(
    SumacloomError, code=1433, name="invalid_access", http_status=400, exit_code=4
):
    """The access list is invalid."""


class UnknownRegionError(
    SumacloomError, code=1434, name="unknown_region", http_status=422, exit_code=4
):
    """There is no such region."""


class NoAccessListError(SumacloomError, code=1435, name="no_access", http_status=404, exit_code=4):
    """No access list is in force."""


class UnknownPoolModeError(
    SumacloomError, code=1436, name="unknown_mode", http_status=422, exit_code=4
):
    """There is no such pool mode."""


class VotersDisputedError(SumacloomError, code=1315, name="voters_disputed", exit_code=6):
    """The first start's voters differ between registrars."""


class PoolModesPendingError(SumacloomError, code=1309, name="pooling_waiting", exit_code=6):
    """A node does not hold the pool modes yet."""


class AccessListPendingError(SumacloomError, code=1308, name="access_waiting", exit_code=6):
    """A node does not hold the access list yet."""


class InvalidHeartbeatError(
    SumacloomError, code=1423, name="invalid_beat", http_status=422, exit_code=4
):
    """The heartbeat lacks a field or has a wrong one."""


class InvalidQueryError(SumacloomError, code=1424, name="bad_query", http_status=400, exit_code=4):
    """The query can't be run."""


class UsageError(SumacloomError, code=1500, name="usage", exit_code=2):
    """The command line can't be understood."""


ERRORS_BY_NAME: dict[str, type[SumacloomError]] = {
    error.name: error for error in SumacloomError.__subclasses__()
}
