"""Routes of the HTTP interface: a decorator registers the handler of a method at paths of a pattern."""

import json
import re
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple, TypeVar

from sumacloom.http import RETRY_AFTER_S, Reply, Request

Handler = Callable[..., Awaitable[Reply]]
"""Takes the process, the request and the pattern's groups; refuses by raising a `SumacloomError`."""

HandlerType = TypeVar("HandlerType", bound=Handler)
MAX_VERSION_DIGITS = 20  # of a version in If-Match


class Route(NamedTuple):
    """A method at paths of a pattern; `retry_after_s` tells callers when to come back after a 503."""

    method: str
    pattern: re.Pattern[str]
    handler: Handler
    retry_after_s: str


ROUTES: list[Route] = []


def route(
    method: str, pattern: str, retry_after_s: str = RETRY_AFTER_S
) -> Callable[[HandlerType], HandlerType]:
    """Registers a handler."""

    def register(handler: HandlerType) -> HandlerType:
        ROUTES.append(Route(method, re.compile(pattern + "$"), handler, retry_after_s))
        return handler

    return register


class Match(NamedTuple):
    """A route that fits a path, and what its pattern's groups hold."""

    route: Route
    groups: tuple[Any, ...]


def find_matches(path: str) -> list[Match]:
    """The routes that fit a path, whatever their method."""
    found = [(one, one.pattern.match(path)) for one in ROUTES]
    return [Match(one, match.groups()) for one, match in found if match]


def split_path(request: Request) -> tuple[str, str]:
    """A request's path and its query."""
    path, _mark, query = request.path.partition("?")
    return path, query


def json_field(request: Request, name: str) -> Any:
    """A field of the request's JSON object; None if there is no such object or field.

    >>> [json_field(Request("PUT", "/", {}, body), "a") for body in (b'{"a": 1}', b'{}', b'[]', b'?')]
    [1, None, None, None]
    """
    try:
        return json.loads(request.body)[name]
    except (ValueError, KeyError, TypeError):
        return None


def parse_if_match(request: Request) -> int | None:
    """The version in If-Match; None if it holds none.

    >>> [parse_if_match(Request("PUT", "/", {"if-match": text}, b"")) for text in ('"7"', "7", "", "x")]
    [7, 7, None, None]
    """
    text = request.headers.get("if-match", "").strip().strip('"')
    digits = text.isascii() and text.isdigit()
    return int(text) if digits and len(text) < MAX_VERSION_DIGITS else None
