"""HTTP/1.1 over curio with h11: a small server and a small client, both bounded."""

import json
import socket
import struct
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

import curio
import h11

MOST_BODY = 4 << 20
MOST_HEAD = 16 << 10
IDLE_S = 30.0
AGAIN_S = "1"  # when a refusal for now may be tried again at the same place; at another, at once
READ_S = 8.0
LINGER_S, MOST_LINGER = 0.5, 1 << 20


class Request(NamedTuple):
    """A whole request.

    >>> Request("GET", "/a?b=1", {}, b"").path
    '/a?b=1'
    """

    method: str
    path: str
    headers: dict
    body: bytes
    gone: Callable[[], bool] = bool  # whether the caller has ended its connection meanwhile


class Reply(NamedTuple):
    """What a handler gives back.

    >>> Reply(200).status
    200
    """

    status: int
    body: bytes = b""
    headers: tuple = ()


def json_reply(status: int, data, headers: tuple = ()) -> Reply:
    """A reply with a JSON body.

    >>> json_reply(200, {"a": 1}).body
    b'{"a": 1}'
    """
    return Reply(status, json.dumps(data).encode(), headers)


def mishap_reply(found) -> Reply:
    """A mishap as a reply.

    >>> from sumacloom.errors import mishap
    >>> mishap_reply(mishap("no_route")).status
    404
    """
    return json_reply(
        found.status, found.body(), (("Retry-After", AGAIN_S),) if found.status == 503 else ()
    )


async def serve_wire(sock, handler, most_body: int = MOST_BODY) -> None:
    """Serves one connection until it ends; `handler` is async and takes a Request."""
    machine = h11.Connection(h11.SERVER, max_incomplete_event_size=MOST_HEAD)
    try:
        async with sock:
            while True:
                reply = await one_exchange(sock, machine, handler, most_body)
                if reply is None:
                    return
                await send_reply(sock, machine, reply)
                if (
                    machine.our_state is h11.MUST_CLOSE
                    or machine.states[h11.CLIENT] is not h11.DONE
                ):
                    await read_out(sock)
                    return
                machine.start_next_cycle()
    except (OSError, h11.LocalProtocolError, curio.TaskTimeout):
        return


async def read_out(sock) -> None:
    """Reads a little of what still comes, so that closing doesn't reset the reply on its way."""
    sock._socket.shutdown(socket.SHUT_WR)
    async with curio.ignore_after(LINGER_S):
        for _chunk in range(MOST_LINGER >> 16):
            if not await sock.recv(65536):
                return


async def one_exchange(sock, machine, handler, most_body: int) -> Reply | None:
    """Reads one request and has it handled; None at the end of the connection."""
    request, body = None, []
    size = 0
    while True:
        try:
            event = machine.next_event()
        except h11.RemoteProtocolError as error:
            return json_reply(
                error.error_status_hint,
                {"code": 1400, "error": "bad_request", "sentence": str(error)},
            )
        if event is h11.NEED_DATA:
            async with curio.timeout_after(IDLE_S if request is None else READ_S):
                data = await sock.recv(65536)
            machine.receive_data(data)
        elif isinstance(event, h11.Request):
            request = event
            if machine.they_are_waiting_for_100_continue:
                await sock.sendall(
                    machine.send(h11.InformationalResponse(status_code=100, headers=[]))
                )
        elif isinstance(event, h11.Data):
            size += len(event.data)
            if size > most_body:
                return json_reply(
                    413, {"code": 1413, "error": "too_large", "sentence": "the body is too large"}
                )
            body.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            headers = {
                name.decode("latin-1"): value.decode("latin-1") for name, value in request.headers
            }
            return await handler(
                Request(
                    request.method.decode(),
                    request.target.decode("latin-1"),
                    headers,
                    b"".join(body),
                    partial(hung_up, sock._socket),
                )
            )
        else:
            return None


def hung_up(sock: socket.socket) -> bool:
    """Whether the other end has closed or reset a connection; what it sent before and nobody read hides a close.

    >>> one, other = socket.socketpair(); before = hung_up(one); other.close(); before, hung_up(one)
    (False, True)
    """
    try:
        return sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True


async def send_reply(sock, machine, reply: Reply) -> None:
    """Sends a whole reply."""
    headers = [("Content-Length", str(len(reply.body))), *reply.headers]
    if reply.body:
        headers.append(("Content-Type", "application/json"))
    data = machine.send(h11.Response(status_code=reply.status, headers=headers))
    data += machine.send(h11.Data(data=reply.body)) + machine.send(h11.EndOfMessage())
    async with curio.timeout_after(READ_S):
        await sock.sendall(data)


async def call(
    dial,
    address: tuple[str, int],
    method: str,
    path: str,
    body: bytes = b"",
    headers: tuple = (),
    cutoff_s: float = 1.0,
) -> tuple[int, dict, bytes]:
    """One call; (0, {}, b"") when no clear reply comes in time."""
    machine = h11.Connection(h11.CLIENT)
    try:
        async with curio.timeout_after(cutoff_s):
            sock = await dial(*address)
            async with sock:
                lines = [
                    ("Host", f"{address[0]}:{address[1]}"),
                    ("Content-Length", str(len(body))),
                    ("Connection", "close"),
                    *headers,
                ]
                if body:
                    lines.append(("Content-Type", "application/json"))
                data = machine.send(h11.Request(method=method, target=path, headers=lines))
                if body:
                    data += machine.send(h11.Data(data=body))
                try:
                    await sock.sendall(data + machine.send(h11.EndOfMessage()))
                    return await read_reply(sock, machine)
                except curio.CancelledError:
                    # given up: a reset takes back what a cut still holds up, so that it can't land late
                    sock._socket.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                    )
                    raise
    except (OSError, curio.TaskTimeout, h11.ProtocolError):
        return 0, {}, b""


async def read_reply(sock, machine) -> tuple[int, dict, bytes]:
    """Reads one whole reply."""
    response, body, size = None, [], 0
    while True:
        event = machine.next_event()
        if event is h11.NEED_DATA:
            machine.receive_data(await sock.recv(65536))
        elif isinstance(event, h11.Response):
            response = event
        elif isinstance(event, h11.Data):
            size += len(event.data)
            if size > MOST_BODY:
                raise OSError("the reply is too large")
            body.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            headers = {
                name.decode("latin-1"): value.decode("latin-1") for name, value in response.headers
            }
            return response.status_code, headers, b"".join(body)
        elif isinstance(event, h11.ConnectionClosed):
            return 0, {}, b""
