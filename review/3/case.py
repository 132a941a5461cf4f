"""A pooler that is stopped in order closes sessions before their answers are out."""

import asyncio
import os
import random
import signal
import socket
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import standins as s  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1")
ROWS, ROW_BYTES = 16, 32 << 10  # 512 KiB an answer, in rows of 32 KiB
CLIENTS, TMO_S, WORK_S = 30, 2.0, 0.2
RATE = 2_500_000  # bytes a second that a client takes from its link: 20 Mbit/s
SEGMENT, WINDOW = 1460, 65536  # as on an Ethernet; on loopback the kernel would take megabytes at once


class Large(s.Service):
    """Its servers answer reads with many rows."""

    def work_s(self, verb, rest):
        return WORK_S if verb == "FETCH" else 0.0045

    def rows(self, server, thing, state):
        return [f"ROW {number:06d}{'x' * (ROW_BYTES - 6)}" for number in range(ROWS)]


class Session:
    """A client's session: opened long before, it asks one read."""

    def __init__(self, fleet):
        self.address = (fleet.ip("pooler", 1), fleet.fe)
        self.sock = socket.socket()
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT)

    async def open(self):
        loop = asyncio.get_running_loop()
        await loop.sock_connect(self.sock, self.address)
        await loop.sock_sendall(self.sock, b"LOGIN tiles someone\r\n")
        return (await loop.sock_recv(self.sock, 1000)).startswith(b"READY")

    async def read(self, text, record):
        """One read: its id, bytes taken, how it ended (whole, cut, silent), seconds."""
        loop, began, taken, tail = asyncio.get_running_loop(), record.now(), 0, b""
        statement, first_at = f"{random.getrandbits(64):016x}", None
        try:
            await loop.sock_sendall(self.sock, f"QUERY {statement} {text}\r\n".encode())
            async with asyncio.timeout(8.0):
                while data := await loop.sock_recv(self.sock, 16384):
                    first_at = first_at or record.now()
                    taken += len(data)
                    tail = (tail + data)[-200:]
                    if tail.endswith(b"\r\n") and tail[:-2].rpartition(b"\r\n")[2].startswith(b"READY "):
                        return statement, taken, "whole", record.now() - began
                    await asyncio.sleep(max(0.0, taken / RATE - (record.now() - first_at)))
        except TimeoutError:
            return statement, taken, "silent", record.now() - began
        except OSError:
            pass
        return statement, taken, "cut", record.now() - began


async def case(record, make_fleet):
    zones = {"cairo-abb": "cairo", "alex-nzh": "alex", "aswan-sd": "aswan"}
    fleet = make_fleet(zones)
    service = Large(fleet, record)
    service.servers = [
        s.Server(service, number, zone, "primary" if number == 1 else "replica", 9)
        for number, zone in enumerate(zones, 1)
    ]
    await service.platform()
    fleet.start_all()
    for server in service.servers:
        await server.start()
    configuration = {
        "ver": 1,
        "routes": [s.route("r1", "tiles", service.name, tmo=TMO_S * 1000, goal=800)],
        "svcs": [s.service_entry(service.name)],
        "limits": s.LIMITS,
    }
    assert await s.put_configuration(fleet, record, configuration), "no configuration"
    assert await s.until_ready(fleet, record), "not ready"
    await asyncio.sleep(2.0)
    sessions = [Session(fleet) for _ in range(CLIENTS)]
    opened = await asyncio.gather(*(one.open() for one in sessions))
    assert all(opened), "not all sessions were opened"
    await asyncio.sleep(fleet.bounds["contactMs"] / 1000 + 0.5)
    stopped_at, grace = record.now(), fleet.bounds["graceS"]
    found = []

    async def client(number):
        await asyncio.sleep(1.05 + number * 0.04)  # one after the other, from 1.05 s to 2.21 s after the SIGTERM
        asked_at = record.now()
        statement, taken, how, took = await sessions[number].read(f"FETCH t{number}", record)
        record.note(f"client {number}: sent {statement} FETCH t{number} at {asked_at:.3f}, {taken} bytes, {how} after {took:.3f} s")
        found.append((number, statement, asked_at, taken, how, took))
        sessions[number].sock.close()

    if TROUBLE != "0":
        record.note("platform: SIGTERM to pooler-1", True)
        fleet.processes["pooler-1"].send_signal(signal.SIGTERM)
    await asyncio.gather(*(client(number) for number in range(CLIENTS)))
    if TROUBLE != "0":
        while fleet.processes["pooler-1"].poll() is None and record.now() < stopped_at + grace:
            await asyncio.sleep(0.05)
        record.note(f"pooler-1 has ended by itself: {fleet.processes['pooler-1'].poll() is not None}", True)
    whole = sum(one[4] == "whole" for one in found)
    record.note(f"whole answers: {whole} of {len(found)}", True)
    broken = 0
    for number, statement, asked_at, taken, how, took in found:
        if how == "whole":
            continue
        handed = service.answered.get(statement)  # when the server had handed over its whole answer
        ended_at = asked_at + took
        counts = (
            handed is not None
            and handed < stopped_at + grace / 2  # else the server was at work in the second half
            and took < TMO_S
            and ended_at <= stopped_at + grace + 1.0
        )
        text = f"{handed - stopped_at:+.3f}" if handed else "never"
        record.note(
            f"{how.upper()}: client {number}, sent {asked_at - stopped_at:+.3f} s from the SIGTERM, the server's answer "
            f"was whole at {text}, the connection ended at {ended_at - stopped_at:+.3f} after {taken} bytes", True
        )  # fmt: skip
        broken += counts
    if whole < 3:
        return 2
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(s.play(FOLDER, case))
