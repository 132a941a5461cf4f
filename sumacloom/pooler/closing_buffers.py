"""Sessions that have ended on our side while their last answers are still on their way to the client."""

import contextlib
from collections.abc import Hashable
from dataclasses import dataclass

from sumacloom.transport.link import SendBuffer

STUCK_S = 10.0  # a client that takes nothing for so long is given up


@dataclass
class ClosingBuffer:
    """One such session.

    Attributes:
        send_buffer: what is still to go out.
        pending_bytes: how much that was when something went out last.
        progress_at: when that was, in seconds on the steady clock.
    """

    send_buffer: SendBuffer
    pending_bytes: int
    progress_at: float


def end_connection(send_buffer: SendBuffer) -> None:
    """Ends a connection in both directions; its reader then sees the end."""
    send_buffer.closed = True
    with contextlib.suppress(OSError):
        send_buffer.sock._socket.shutdown(2)


class ClosingBuffers:
    """Keeps connections open until what they were to carry is out."""

    def __init__(self) -> None:
        self._closing: dict[Hashable, ClosingBuffer] = {}

    def __len__(self) -> int:
        return len(self._closing)

    def __contains__(self, key: Hashable) -> bool:
        return key in self._closing

    def close(self, key: Hashable, send_buffer: SendBuffer, now: float) -> None:
        """Ends a connection, at once if nothing is left to go out."""
        if send_buffer.closed or send_buffer.flush():
            end_connection(send_buffer)
        else:
            self._closing[key] = ClosingBuffer(send_buffer, send_buffer.pending_bytes, now)

    def flush(self, now: float) -> None:
        """Sends on; ends what is out, and what nobody takes."""
        for key, closing in list(self._closing.items()):
            is_out = closing.send_buffer.flush()
            if closing.send_buffer.pending_bytes < closing.pending_bytes:
                closing.pending_bytes, closing.progress_at = closing.send_buffer.pending_bytes, now
            if is_out or now - closing.progress_at >= STUCK_S:
                self.drop(key)

    def drop(self, key: Hashable) -> None:
        """Ends a connection whatever is left."""
        closing = self._closing.pop(key, None)
        if closing:
            end_connection(closing.send_buffer)
