"""What the pooler's core wants done; the process does it, in order."""

from typing import NamedTuple

from sumacloom.transport.messages import Message


class Send(NamedTuple):
    """Bytes for a session or a server connection."""

    key: int
    data: bytes


class Close(NamedTuple):
    """A session or a server connection is to be closed."""

    key: int


class Dial(NamedTuple):
    """A server connection is to be opened; `key` names it from then on."""

    key: int
    host: str
    port: int


class SendToController(NamedTuple):
    """A message for the controller in session; without one it is dropped."""

    message: Message


class Exit(NamedTuple):
    """Nothing is left to do: the process may end."""


Effect = Send | Close | Dial | SendToController | Exit
