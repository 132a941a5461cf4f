"""HTTP/1.1 over curio with h11: a small server and a small client, both bounded."""

import json
import socket
import struct
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any, NamedTuple

import curio
import h11

from sumacloom.errors import BadRequestError, BodyTooLargeError, SumacloomError

MAX_BODY_BYTES = 4 << 20
MAX_HEAD_BYTES = 16 << 10
RECEIVE_BYTES = 65536
IDLE_S = 30.0
READ_S = 8.0
RETRY_AFTER_S = (
    "1"  # when a refusal for now may be tried again at the same place; elsewhere, at once
)
LINGER_S, MAX_LINGER_BYTES = 0.5, 1 << 20
UNAVAILABLE = 503
NO_REPLY = 0  # stands for a status where no clear reply came


class Request(NamedTuple):
    """A whole request; header names are in lower case."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    is_abandoned: Callable[[], bool] = (
        bool  # whether the caller has closed its connection meanwhile
    )


class Reply(NamedTuple):
    """What a handler returns."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


class Response(NamedTuple):
    """What a call got back; the status is `NO_REPLY` where no clear reply came in time."""

    status: int
    headers: dict[str, str]
    body: bytes


Handler = Callable[[Request], Awaitable[Reply]]


def json_reply(status: int, data: Any, headers: tuple[tuple[str, str], ...] = ()) -> Reply:
    """A reply with a JSON body.

    >>> json_reply(200, {"a": 1}).body
    b'{"a": 1}'
    """
    return Reply(status, json.dumps(data).encode(), headers)


def error_reply(error: SumacloomError, retry_after_s: str = RETRY_AFTER_S) -> Reply:
    """An error as a reply.

    >>> from sumacloom.errors import NotFoundError
    >>> error_reply(NotFoundError()).status
    404
    """
    unavailable = error.http_status == UNAVAILABLE
    headers = (("Retry-After", retry_after_s),) if unavailable else ()
    return json_reply(error.http_status, error.to_json(), headers)


class RequestsUnderWay:
    """The requests that were read whole and whose replies are not out yet.

    Attributes:
        count: how many there are.
    """

    def __init__(self) -> None:
        self.count = 0

    def __enter__(self) -> None:
        self.count += 1

    def __exit__(self, *_error: object) -> None:
        self.count -= 1


async def serve_connection(
    sock: Any,
    handler: Handler,
    max_body: int = MAX_BODY_BYTES,
    under_way: RequestsUnderWay | None = None,
) -> None:
    """Serves one connection until it ends.

    Args:
        sock: the connection.
        handler: makes the reply to a request.
        max_body: bytes of a request's body at most.
        under_way: counts the requests whose replies are not out.
    """
    under_way = under_way or RequestsUnderWay()
    machine = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
    try:
        async with sock:
            while True:
                request = await _read_request(sock, machine, max_body)
                if request is None:
                    return
                with under_way:
                    reply = request if isinstance(request, Reply) else await handler(request)
                    await _send_reply(sock, machine, reply)
                client_done = machine.states[h11.CLIENT] is h11.DONE
                if machine.our_state is h11.MUST_CLOSE or not client_done:
                    await _drain(sock)
                    return
                machine.start_next_cycle()
    except (OSError, h11.LocalProtocolError, curio.TaskTimeout):
        return


async def _drain(sock: Any) -> None:
    """Reads a little of what still comes, so that closing doesn't reset the reply on its way."""
    sock._socket.shutdown(socket.SHUT_WR)
    async with curio.ignore_after(LINGER_S):
        for _chunk in range(MAX_LINGER_BYTES // RECEIVE_BYTES):
            if not await sock.recv(RECEIVE_BYTES):
                return


async def _read_request(
    sock: Any, machine: h11.Connection, max_body: int
) -> Request | Reply | None:
    """Reads one request; a reply that refuses it, or None at the end of the connection."""
    request: h11.Request | None = None
    chunks: list[bytes] = []
    size = 0
    while True:
        try:
            event = machine.next_event()
        except h11.RemoteProtocolError as error:
            refusal = BadRequestError(str(error))
            return json_reply(error.error_status_hint, refusal.to_json())
        if event is h11.NEED_DATA:
            async with curio.timeout_after(IDLE_S if request is None else READ_S):
                data = await sock.recv(RECEIVE_BYTES)
            machine.receive_data(data)
        elif isinstance(event, h11.Request):
            request = event
            if machine.they_are_waiting_for_100_continue:
                go_on = h11.InformationalResponse(status_code=100, headers=[])
                await sock.sendall(machine.send(go_on))
        elif isinstance(event, h11.Data):
            size += len(event.data)
            if size > max_body:
                return error_reply(BodyTooLargeError())
            chunks.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage) and request is not None:
            return _request_of(request, b"".join(chunks), sock)
        else:
            return None


def _headers_of(event: h11.Request | h11.Response) -> dict[str, str]:
    return {name.decode("latin-1"): value.decode("latin-1") for name, value in event.headers}


def _request_of(event: h11.Request, body: bytes, sock: Any) -> Request:
    return Request(
        event.method.decode(),
        event.target.decode("latin-1"),
        _headers_of(event),
        body,
        partial(has_hung_up, sock._socket),
    )


def has_hung_up(sock: socket.socket) -> bool:
    """Whether the other end has closed or reset a connection; bytes that nobody has read hide a close.

    >>> one, other = socket.socketpair(); before = has_hung_up(one); other.close()
    >>> before, has_hung_up(one)
    (False, True)
    """
    try:
        return sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True


async def _send_reply(sock: Any, machine: h11.Connection, reply: Reply) -> None:
    headers = [("Content-Length", str(len(reply.body))), *reply.headers]
    if reply.body and not any(name == "Content-Type" for name, _value in reply.headers):
        headers.append(("Content-Type", "application/json"))
    data = machine.send(h11.Response(status_code=reply.status, headers=headers)) or b""
    data += machine.send(h11.Data(data=reply.body)) or b""
    data += machine.send(h11.EndOfMessage()) or b""
    async with curio.timeout_after(READ_S):
        await sock.sendall(data)


async def call(
    dial: Callable[..., Awaitable[Any]],
    address: tuple[str, int],
    method: str,
    path: str,
    body: bytes = b"",
    headers: tuple[tuple[str, str], ...] = (),
    timeout_s: float = 1.0,
) -> Response:
    """One call; the status is `NO_REPLY` when no clear reply comes in time.

    Args:
        dial: opens the connection, given host and port.
        address: host and port.
        method: the HTTP method.
        path: the target.
        body: JSON, if any.
        headers: besides Host, Content-Length, Content-Type and Connection.
        timeout_s: for connection and reply together.
    """
    try:
        async with curio.timeout_after(timeout_s):
            sock = await dial(*address)
            async with sock:
                return await _exchange(sock, address, method, path, body, headers)
    except (OSError, curio.TaskTimeout, h11.ProtocolError):
        return Response(NO_REPLY, {}, b"")


async def _exchange(
    sock: Any,
    address: tuple[str, int],
    method: str,
    path: str,
    body: bytes,
    headers: tuple[tuple[str, str], ...],
) -> Response:
    machine = h11.Connection(h11.CLIENT)
    lines = [
        ("Host", f"{address[0]}:{address[1]}"),
        ("Content-Length", str(len(body))),
        ("Connection", "close"),
        *headers,
    ]
    if body:
        lines.append(("Content-Type", "application/json"))
    data = machine.send(h11.Request(method=method, target=path, headers=lines)) or b""
    if body:
        data += machine.send(h11.Data(data=body)) or b""
    data += machine.send(h11.EndOfMessage()) or b""
    try:
        await sock.sendall(data)
        return await _read_response(sock, machine)
    except curio.CancelledError:
        # given up: a reset takes back what a partition still holds up, so that it can't land late
        linger_none = struct.pack("ii", 1, 0)
        sock._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger_none)
        raise


async def _read_response(sock: Any, machine: h11.Connection) -> Response:
    response: h11.Response | None = None
    chunks: list[bytes] = []
    size = 0
    while True:
        event = machine.next_event()
        if event is h11.NEED_DATA:
            machine.receive_data(await sock.recv(RECEIVE_BYTES))
        elif isinstance(event, h11.Response):
            response = event
        elif isinstance(event, h11.Data):
            size += len(event.data)
            if size > MAX_BODY_BYTES:
                raise OSError("the reply is too large")
            chunks.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage) and response is not None:
            return Response(response.status_code, _headers_of(response), b"".join(chunks))
        elif isinstance(event, h11.ConnectionClosed):
            return Response(NO_REPLY, {}, b"")
