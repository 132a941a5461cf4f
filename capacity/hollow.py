"""Hollow poolers: the real membership and updates code of many poolers in one process, without clients or connections.

python3 -m capacity.hollow FIRST COUNT SEEDS    one line of JSON for each line on standard input
"""

import json
import os
import resource
import sys
import time
from functools import partial

from sumacloom.daemon import run_to_end
from sumacloom.logs import configure_logging
from sumacloom.pooler.controller_session import ControllerSession
from sumacloom.pooler.server_pools import ServerPools
from sumacloom.settings import Settings

from .counted import COUNTS, count_links

PORTS = (17210, 17225)
ZONES = ("zone-a", "zone-b", "zone-c")


def address(number: int, seed: str) -> str:
    """The loopback address of a hollow pooler, in a net that goes with its controllers'.

    >>> address(0, "127.40.3.1:17200"), address(300, "127.40.3.1:17200")
    ('127.104.0.1', '127.104.1.51')
    """
    return f"127.{64 + int(seed.split('.')[1])}.{number // 250}.{number % 250 + 1}"


class Hollow:
    """One pooler's membership and board."""

    def __init__(self, number: int, seeds: list[str]):
        ip = address(number, seeds[0])
        self.settings = Settings(
            f"edge-{number:05d}", "pooler", ip, ZONES[number % 3], seeds=seeds, port_range=PORTS
        )
        self.took = {}  # configuration: when it came
        self.controller_session = ControllerSession(
            self.settings,
            time.monotonic,
            self.apply_update,
            ServerPools(self.settings),
            [],
            dict,
            number + 1,
        )

    async def apply_update(self, _news) -> None:
        """Notes when a configuration came."""
        found = self.controller_session.cache.configuration
        if found:
            self.took.setdefault(found.ver, time.monotonic())


def state(hollows: list[Hollow]) -> dict:
    """What this process has used and holds.

    >>> state([])["attached"]
    0
    """
    used = resource.getrusage(resource.RUSAGE_SELF)
    with open("/proc/self/status", encoding="ascii") as file:
        resident = next(int(line.split()[1]) for line in file if line.startswith("VmRSS"))
    newest = max((max(one.took, default=0) for one in hollows), default=0)
    return {
        **COUNTS,
        "cpu_s": used.ru_utime + used.ru_stime,
        "rss_kb": resident,
        "pid": os.getpid(),
        "attached": sum(one.controller_session.session is not None for one in hollows),
        "direct": sum(not one.controller_session.relays.parent_address for one in hollows),
        "blueprint": newest,
        "holding": sum(newest in one.took for one in hollows),
        "last_at": max((one.took[newest] for one in hollows if newest in one.took), default=0.0),
        "records": min((len(one.controller_session.cache.records) for one in hollows), default=0),
    }


async def main(first: int, count: int, seeds: list[str]) -> None:
    """Runs hollow poolers, and answers each line on standard input with the state."""
    import curio

    hollows = [Hollow(number, seeds) for number in range(first, first + count)]
    for one in hollows:
        await curio.spawn(
            one.controller_session.relays.serve_children,
            one.controller_session.settings,
            daemon=True,
        )
        await curio.spawn(one.controller_session.attach, daemon=True)

    async def feed():
        while True:
            await curio.sleep(0.05)
            for one in hollows:
                one.controller_session.relays.send_to_children()

    await curio.spawn(feed, daemon=True)
    while await curio.run_in_thread(sys.stdin.readline):
        print(json.dumps(state(hollows)), flush=True)


if __name__ == "__main__":
    configure_logging("ERROR", "hollow")
    count_links()
    run_to_end(partial(main, int(sys.argv[1]), int(sys.argv[2]), sys.argv[3].split(",")))
