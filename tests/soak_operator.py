"""The operator of the soak: changes and their undoing, one after the other, at any controller."""

import itertools
import json

import curio

from sumacloom import http
from sumacloom.transport.link import dial

from .loopback_fleet import CONFIGURATION, CTL, NUMBERS, Network

CONFIGURATION_PATH = "/api/config"
UNDO_PATH = "/api/admin/undo"
CONTROLLERS_PATH = "/api/admin/registrars"
CALL_S = 3.0
ATTEMPTS = 30
PAUSE_S = 0.2
TIMEOUTS_MS = (1000, 3000, 400, 2000)
OK, STALE_MATCH = 200, 412


class SoakOperator:
    """Sends each order to one controller after the other until one answers clearly.

    Attributes:
        newest: the newest version that was acknowledged, or read.
    """

    def __init__(self, network: Network):
        self._network = network
        self._lock = curio.Lock()
        self._turns = itertools.cycle(NUMBERS)
        self._timeouts_ms = itertools.cycle(TIMEOUTS_MS)
        self.newest = 0

    async def _call(
        self,
        number: int,
        method: str,
        path: str,
        document: dict | None = None,
        base: int | None = None,
    ) -> http.Response:
        address = (self._network.controller(number), CTL)
        body = b"" if document is None else json.dumps(document).encode()
        headers = () if base is None else (("If-Match", str(base)),)
        return await http.call(dial, address, method, path, body, headers, CALL_S)

    async def _order(self, method: str, path: str, document: dict, base: int | None) -> int:
        """Sends an order until 200 or 412 is answered; returns the status, 0 where none was."""
        for _attempt in range(ATTEMPTS):
            reply = await self._call(next(self._turns), method, path, document, base)
            if reply.status in (OK, STALE_MATCH):
                return reply.status
            await curio.sleep(PAUSE_S)
        return 0

    async def read(self) -> dict:
        """The newest configuration, as any controller that is sure of it answers; empty where none is."""
        for _attempt in range(ATTEMPTS):
            reply = await self._call(next(self._turns), "GET", CONFIGURATION_PATH)
            if reply.status == OK:
                return json.loads(reply.body)
            await curio.sleep(PAUSE_S)
        return {}

    async def change(self) -> bool:
        """Changes a limit and the time-outs; whether that was acknowledged."""
        async with self._lock:
            version = self.newest + 1
            timeout_ms = next(self._timeouts_ms)
            routes = [{**route, "tmoMs": timeout_ms} for route in CONFIGURATION["routes"]]
            limits = {"txIdleMs": 3000 + version}
            changed = {**CONFIGURATION, "ver": version, "routes": routes, "limits": limits}
            status = await self._order("PUT", CONFIGURATION_PATH, changed, self.newest)
            self.newest = version if status == OK else await self._read_version()
            return status == OK

    async def undo(self) -> bool:
        """Undoes the newest change; whether that was acknowledged."""
        async with self._lock:
            status = await self._order("POST", UNDO_PATH, {"generation": self.newest}, None)
            self.newest = await self._read_version()
            return status == OK

    async def _read_version(self) -> int:
        return max(self.newest, (await self.read()).get("ver", 0))

    async def votes(self, number: int) -> bool:
        """Whether a controller votes and lacks nothing, as it says itself."""
        reply = await self._call(number, "GET", CONTROLLERS_PATH)
        if reply.status != OK:
            return False
        rows = [row for row in json.loads(reply.body) if row["node"] == f"controller-{number}"]
        return any(row["votes"] and row["learned"] for row in rows)
