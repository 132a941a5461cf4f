"""Sockets under curio: links that carry messages, outlets that never wait."""

import socket
from collections import deque

import curio

from sumacloom.transport.messages import Unframer, frame

USER_TIMEOUT_MS = 1500
MOST_PENDING = 4 << 20


def tune(raw: socket.socket, user_timeout_ms: int = USER_TIMEOUT_MS) -> None:
    """Small messages at once, and a dead peer known soon.

    >>> tune(socket.socket())
    """
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    if user_timeout_ms:
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms)


async def dial(host: str, port: int, cutoff_s: float = 0.8, user_timeout_ms: int = USER_TIMEOUT_MS):
    """Opens a connection in bounded time; raises OSError if it can't."""
    sock = curio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        tune(sock._socket, user_timeout_ms)
        async with curio.timeout_after(cutoff_s):
            await sock.connect((host, port))
    except curio.TaskTimeout:
        await sock.close()
        raise OSError("the connection took too long") from None
    except BaseException:
        await sock.close()
        raise
    return sock


async def kept(scribe, function, *values) -> None:
    """Runs a task for good: a mishap in it is logged, and it begins again."""
    while True:
        try:
            await function(*values)
            return
        except Exception as error:
            scribe.warn(
                "%s ended with %s: %s; it begins again",
                function.__name__,
                type(error).__name__,
                error,
            )
            await curio.sleep(0.1)


def listen(host: str, port: int, backlog: int = 256):
    """A listening socket."""
    sock = curio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock._socket.bind((host, port))
    sock._socket.listen(backlog)
    return sock


async def accept_all(sock, serve) -> None:
    """Takes connections for ever, each served by a task of its own."""
    while True:
        try:
            client, _address = await sock.accept()
        except OSError:
            await curio.sleep(0.05)
            continue
        await curio.spawn(serve, client, daemon=True)


class Outlet:
    """The sending side of a socket: writes at once what fits, keeps the rest for `flush`.

    >>> Outlet(None).pending
    0
    """

    __slots__ = ("closed", "pending", "sock", "waiting")

    def __init__(self, sock):
        self.sock = sock
        self.waiting = deque()
        self.pending = 0
        self.closed = False

    def send(self, data: bytes) -> bool:
        """Sends, or keeps what does not fit; False once the peer is gone or never reads.

        >>> outlet = Outlet(None); outlet.closed = True; outlet.send(b"x")
        False
        """
        if self.closed:
            return False
        if not self.waiting:
            try:
                sent = self.sock._socket.send(data)
            except (BlockingIOError, InterruptedError):
                sent = 0
            except OSError:
                self.closed = True
                return False
            if sent == len(data):
                return True
            data = data[sent:]
        self.waiting.append(data)
        self.pending += len(data)
        if self.pending > MOST_PENDING:
            self.closed = True
            return False
        return True

    def flush(self) -> bool:
        """Sends more of what waits; True once nothing does.

        >>> Outlet(None).flush()
        True
        """
        while self.waiting and not self.closed:
            data = self.waiting[0]
            try:
                sent = self.sock._socket.send(data)
            except (BlockingIOError, InterruptedError):
                return False
            except OSError:
                self.closed = True
                break
            self.pending -= sent
            if sent == len(data):
                self.waiting.popleft()
            else:
                self.waiting[0] = data[sent:]
        return True


class Link:
    """A connection between two daemons."""

    def __init__(self, sock):
        self.sock = sock
        self.outlet = Outlet(sock)
        self.unframer = Unframer()
        self.peer = None  # the Hello of the far end
        self.heard_at = 0.0
        self.ended = False
        self.digest = None  # what the far end holds, as it last said

    def send(self, message) -> bool:
        """Sends a message, or drops it if the link is gone.

        >>> Link(None).outlet.pending
        0
        """
        self.outlet.flush()
        return self.outlet.send(frame(message))

    async def messages(self):
        """The messages that arrive, until the link ends."""
        while True:
            try:
                data = await self.sock.recv(65536)
                if not data:
                    return
                arrived = self.unframer.feed(data)
            except (OSError, ValueError):
                return
            for message in arrived:
                if self.ended:  # by us: what still lies unread is not taken
                    return
                yield message

    def end(self) -> None:
        """Ends the link at once, from any task; its reader then sees the end."""
        self.ended = self.outlet.closed = True
        try:
            self.sock._socket.shutdown(2)
        except OSError:
            pass

    async def close(self) -> None:
        """Ends the link."""
        self.outlet.closed = True
        try:
            await self.sock.close()
        except OSError:
            pass
