"""Sockets under curio: connections in bounded time, send buffers that never block, links of messages."""

import contextlib
import logging
import socket
from collections import deque
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import curio

from sumacloom.transport.messages import FrameDecoder, Hello, Message, encode_frame
from sumacloom.transport.updates import UpdateDigest

USER_TIMEOUT_MS = 1500  # within which the kernel gives a dead peer up
DIAL_TIMEOUT_S = 0.8
MAX_PENDING_BYTES = 4 << 20
RECEIVE_BYTES = 65536
RESTART_S = 0.1
ACCEPT_RETRY_S = 0.05
LISTEN_BACKLOG = 256


def configure_socket(raw: socket.socket, user_timeout_ms: int = USER_TIMEOUT_MS) -> None:
    """Sends small messages at once, and notices a dead peer soon."""
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    if user_timeout_ms:
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms)


async def dial(
    host: str,
    port: int,
    timeout_s: float = DIAL_TIMEOUT_S,
    user_timeout_ms: int = USER_TIMEOUT_MS,
) -> Any:
    """Opens a connection in bounded time.

    Raises:
        OSError: it can't be opened, or not in time.
    """
    sock = curio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        configure_socket(sock._socket, user_timeout_ms)
        async with curio.timeout_after(timeout_s):
            await sock.connect((host, port))
    except curio.TaskTimeout:
        await sock.close()
        raise OSError("the connection took too long") from None
    except BaseException:
        await sock.close()
        raise
    return sock


async def run_forever(
    logger: logging.Logger, function: Callable[..., Awaitable[Any]], *arguments: Any
) -> None:
    """Runs a task to its end; an unexpected error in it is logged, and it starts again."""
    while True:
        try:
            await function(*arguments)
        except Exception:
            logger.warning("%s failed; it starts again", function.__name__, exc_info=True)
            await curio.sleep(RESTART_S)
        else:
            return


def listen(host: str, port: int, backlog: int = LISTEN_BACKLOG) -> Any:
    """A listening socket."""
    sock = curio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock._socket.bind((host, port))
    sock._socket.listen(backlog)
    return sock


async def accept_forever(sock: Any, serve: Callable[[Any], Awaitable[Any]]) -> None:
    """Accepts connections, each served by a task of its own."""
    while True:
        try:
            client, _address = await sock.accept()
        except OSError:
            await curio.sleep(ACCEPT_RETRY_S)
            continue
        await curio.spawn(serve, client, daemon=True)


class SendBuffer:
    """The sending side of a socket: sends at once what fits, keeps the rest for `flush`."""

    __slots__ = ("chunks", "closed", "pending_bytes", "sock")

    def __init__(self, sock: Any):
        self.sock = sock
        self.chunks: deque[bytes] = deque()
        self.pending_bytes = 0
        self.closed = False

    def send(self, data: bytes) -> bool:
        """Sends, or keeps what does not fit; False once the peer is gone or does not read."""
        if self.closed:
            return False
        if not self.chunks:
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
        self.chunks.append(data)
        self.pending_bytes += len(data)
        if self.pending_bytes > MAX_PENDING_BYTES:
            self.closed = True
            return False
        return True

    def flush(self) -> bool:
        """Sends more of what is kept; True once nothing is."""
        while self.chunks and not self.closed:
            data = self.chunks[0]
            try:
                sent = self.sock._socket.send(data)
            except (BlockingIOError, InterruptedError):
                return False
            except OSError:
                self.closed = True
                break
            self.pending_bytes -= sent
            if sent == len(data):
                self.chunks.popleft()
            else:
                self.chunks[0] = data[sent:]
        return True


class Link:
    """A connection between two daemons.

    Attributes:
        peer: the Hello of the far end, once it came.
        last_heartbeat_at: when the far end was last heard, by whoever keeps account of it.
        digest: what the far end holds, as it last said.
    """

    def __init__(self, sock: Any):
        self.sock = sock
        self.send_buffer = SendBuffer(sock)
        self.peer: Hello | None = None
        self.last_heartbeat_at = 0.0
        self.aborted = False
        self.digest: UpdateDigest | None = None
        self._decoder = FrameDecoder()
        self._arrived: deque[Any] = deque()

    def send(self, message: Message) -> bool:
        """Sends a message, or drops it if the link is gone."""
        self.send_buffer.flush()
        return self.send_buffer.send(encode_frame(message))

    async def receive(self) -> Any | None:
        """The next message; None once the link has ended: what still lies unread then is not taken."""
        while not self._arrived and not self.aborted:
            try:
                data = await self.sock.recv(RECEIVE_BYTES)
                if not data:
                    return None
                self._arrived.extend(self._decoder.feed(data))
            except (OSError, ValueError):
                return None
        return None if self.aborted else self._arrived.popleft()

    async def messages(self) -> AsyncIterator[Any]:
        """The messages that arrive, until the link ends."""
        while (message := await self.receive()) is not None:
            yield message

    def abort(self) -> None:
        """Ends the link at once, from any task; its reader then sees the end."""
        self.aborted = self.send_buffer.closed = True
        with contextlib.suppress(OSError):
            self.sock._socket.shutdown(socket.SHUT_RDWR)

    async def close(self) -> None:
        """Closes the link's socket."""
        self.send_buffer.closed = True
        with contextlib.suppress(OSError):
            await self.sock.close()
