"""Calls over HTTP: only a whole answer counts."""

import curio
import pytest

from sumacloom.http import call


class Socket:
    """A connection that yields these chunks, then its end."""

    def __init__(self, chunks):
        self.chunks, self.closed = list(chunks), False

    async def __aenter__(self):
        return self

    async def __aexit__(self, *_error):
        self.closed = True

    async def sendall(self, data):
        """Takes everything."""

    async def recv(self, _size):
        return self.chunks.pop(0) if self.chunks else b""


OK_REPLY = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
ANSWERS = [
    ([OK_REPLY], 200),
    ([OK_REPLY[:9], OK_REPLY[9:]], 200),
    ([OK_REPLY + OK_REPLY.replace(b"200", b"409")], 200),  # doubled: only the first is this call's
    ([b"HTTP/1.1 100 Continue\r\n\r\n" + OK_REPLY], 200),
    ([OK_REPLY[:20]], 0),
    ([OK_REPLY[:-1]], 0),
    ([], 0),  # cut short
    ([OK_REPLY.replace(b"200", b"2000")], 0),
    ([OK_REPLY.replace(b"200", b"020")], 0),
    ([OK_REPLY.replace(b"200", b"-20")], 0),
    ([OK_REPLY.replace(b"200", b"101")], 0),
    ([b"\0\0\r\n\r\n"], 0),
    ([OK_REPLY.replace(b"200", b"999")], 999),
    ([b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\nok"], 0),
    ([b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok"], 0),
    ([b"HTTP/1.1 200 OK\r\n" + b"a: b\r\n" * 9000], 0),
]


@pytest.mark.parametrize(("chunks", "status"), ANSWERS)
def test_only_a_whole_answer_counts_and_each_call_has_a_connection_of_its_own(chunks, status):
    sockets = []

    async def dial(_host, _port):
        sockets.append(Socket(chunks))
        return sockets[-1]

    async def twice():
        return [
            (await call(dial, ("10.9.9.9", 80), "POST", "/promote", b"{}", (), 1.0)).status
            for _call in range(2)
        ]

    assert curio.run(twice()) == [status, status]
    assert len(sockets) == 2 and all(sock.closed for sock in sockets)
