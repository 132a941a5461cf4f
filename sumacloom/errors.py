"""Numbered result codes; docs/results.md holds the same table."""

from typing import NamedTuple

from result import Err, Ok, Result  # noqa: F401  (the one place that names the library)


class Mishap(NamedTuple):
    """A numbered refusal with one sentence for people.

    >>> mishap("stale_match", "the current generation is 7").code
    1202
    """

    code: int
    name: str
    status: int
    sentence: str

    def body(self) -> dict:
        """The JSON form that the admin API gives.

        >>> mishap("no_route").body()["code"]
        1404
        """
        return {"code": self.code, "error": self.name, "sentence": self.sentence}


TABLE = {
    # name: (code, HTTP status, exit code, sentence)
    "settings_missing": (1001, 0, 2, "the settings file can't be read"),
    "settings_invalid": (1002, 0, 2, "the settings file is invalid"),
    "deploy_invalid": (1003, 0, 2, "this role can't run on this machine"),
    "address_unusable": (1005, 0, 3, "an address of the settings can't be served"),
    "disk_unusable": (1004, 0, 3, "the data folder can't be used"),
    "ledger_foreign": (1006, 0, 3, "the ledger holds what is not ours"),
    "ledger_damaged": (1007, 0, 3, "the ledger has lost part of its memory"),
    "unreadable": (1101, 400, 4, "the body can't be read as a blueprint"),
    "unknown_service": (1102, 400, 4, "a route names an unknown service"),
    "same_place": (1103, 400, 4, "two routes share a host and a prefix"),
    "zero_timeout": (1104, 400, 4, "a tmoMs must be above 0"),
    "old_generation": (1105, 400, 4, "ver is not above the current one"),
    "invalid_field": (1106, 400, 4, "a field of the blueprint is invalid"),
    "match_missing": (1201, 428, 4, "If-Match must carry the generation built on"),
    "stale_match": (1202, 412, 5, "another generation is current"),
    "nothing_to_undo": (1203, 409, 5, "nothing is kept to go back to"),
    "no_majority": (1301, 503, 6, "no majority of the registrars answered in time"),
    "out_of_touch": (
        1310,
        503,
        6,
        "this registrar hears no majority of the registrars: another may",
    ),
    "own_view": (1311, 0, 7, "what is shown is one registrar's own view"),
    "rejoining": (1302, 503, 6, "this registrar is still learning its state"),
    "forgotten": (1312, 503, 6, "it is not known any more whether this order was taken"),
    "caller_gone": (1313, 503, 6, "the caller had gone before its order was proposed"),
    "stood_still": (
        1314,
        503,
        6,
        "this registrar has just stood still, and can't tell how old the order is",
    ),
    "unreachable": (1303, 0, 6, "no registrar could be reached"),
    "garbled": (1304, 0, 6, "a daemon answered garbage"),
    "bad_request": (1400, 400, 4, "the request can't be read"),
    "no_route": (1404, 404, 4, "there is nothing at this path"),
    "wrong_method": (1405, 405, 4, "this path does not take this method"),
    "too_large": (1413, 413, 4, "the body is too large"),
    "unknown_zone": (1422, 422, 4, "there is no such zone"),
    "unknown_database": (1425, 422, 4, "the blueprint has no such database"),
    "lanes_waiting": (1305, 0, 6, "a counter does not hold the lanes yet"),
    "undo_waiting": (1306, 0, 6, "a node does not hold the restored blueprint yet"),
    "listeners_waiting": (1307, 0, 6, "a node does not hold the list of listeners yet"),
    "listener_exists": (1426, 409, 5, "another listens under this name"),
    "no_listener": (1427, 404, 4, "there is no such listener"),
    "too_many_listeners": (1428, 422, 4, "there are too many listeners"),
    "cursor_ahead": (1429, 422, 4, "the cursor is ahead of the feed"),
    "cursor_behind": (1430, 410, 5, "the cursor is below what is kept"),
    "lapsed": (1431, 410, 5, "the listener was too slow and has missed items"),
    "effect_unwritable": (1432, 0, 3, "the items can't be written where they should go"),
    "invalid_access": (1433, 400, 4, "the access list is invalid"),
    "unknown_region": (1434, 422, 4, "there is no such region"),
    "no_access": (1435, 404, 4, "no access list is in force"),
    "unknown_mode": (1436, 422, 4, "there is no such pool mode"),
    "voters_disputed": (1315, 0, 6, "the first start's voters differ between registrars"),
    "pooling_waiting": (1309, 0, 6, "a node does not hold the pool modes yet"),
    "access_waiting": (1308, 0, 6, "a node does not hold the access list yet"),
    "invalid_beat": (1423, 422, 4, "the beat lacks a field or has a wrong one"),
    "bad_query": (1424, 400, 4, "the query can't be run"),
    "usage": (1500, 0, 2, "the command line can't be understood"),
}


def mishap(name: str, sentence: str = "") -> Mishap:
    """Makes the mishap of that name, with its own sentence or the table's.

    >>> mishap("unknown_zone", "there is no zone 'x'").sentence
    "there is no zone 'x'"
    """
    code, status, _exit_code, text = TABLE[name]
    return Mishap(code, name, status, sentence or text)


def exit_code(name: str) -> int:
    """The exit code a program ends with after that mishap.

    >>> exit_code("settings_invalid")
    2
    """
    return TABLE[name][2]
