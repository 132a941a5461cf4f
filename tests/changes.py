"""Applies changes of registers, and names what each came to."""

from typing import NamedTuple

from sumacloom.controller.admin.routing import ROUTES
from sumacloom.errors import SumacloomError
from sumacloom.http import error_reply


class Applied(NamedTuple):
    """What a change came to: "ok", "same" or an error's name, and the value after it."""

    name: str
    value: bytes | None


def apply_change(change, current) -> Applied:
    """One change of a value."""
    try:
        changed = change(current)
    except SumacloomError as error:
        return Applied(error.name, current)
    return Applied("same", current) if changed is None else Applied("ok", changed)


def error_name(function, *arguments) -> str:
    """The name of the error that a call raises; "" if it raises none."""
    try:
        function(*arguments)
    except SumacloomError as error:
        return error.name
    return ""


async def reply_of(handler, process, request, *groups):
    """What a handler of the HTTP interface replies, an error as its route turns it into a reply."""
    route = next(route for route in ROUTES if route.handler is handler)
    try:
        return await handler(process, request, *groups)
    except SumacloomError as error:
        return error_reply(error, route.retry_after_s)
