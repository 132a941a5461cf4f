"""Where the controllers are: how near each is, and which of them answers."""

import curio

from sumacloom.settings import split_address
from sumacloom.transport.link import Link, dial


class ControllerDiscovery:
    """The part of a pooler's membership that dials controllers and other poolers."""

    async def measure(self) -> None:
        """Learns which controller is nearest by the time that a connection takes."""

        async def time_one(address):
            started = self.clock()
            try:
                sock = await dial(*split_address(address), 0.4)
                self.latency[address] = self.clock() - started
                await sock.close()
            except OSError:
                pass

        tasks = [await curio.spawn(time_one, address) for address in self.controllers]
        for task in tasks:
            await task.join()

    async def open(self, address: str) -> Link:
        """Dials a daemon and says hello."""
        started = self.clock()
        sock = await dial(*split_address(address), 0.5)
        self.latency[address] = self.clock() - started
        link = Link(sock)
        link.send(self.hello())
        return link

    async def nearer_controller_answers(self) -> bool:
        """Whether a clearly nearer controller takes links again."""
        mine = self.latency.get(self.controller_address, 1.0)
        nearer = [
            address for address in self.controllers if self.latency.get(address, 0.0) < mine / 4
        ]
        for address in nearer:
            started = self.clock()
            try:
                sock = await dial(*split_address(address), 0.3)
            except OSError:
                continue
            self.latency[address] = self.clock() - started
            await sock.close()
            if self.latency[address] < mine / 4:
                return True
        return False

    async def other_controller_answers(self) -> bool:
        """Whether some other controller takes links."""
        for address in self.controllers:
            if address != self.controller_address:
                try:
                    sock = await dial(*split_address(address), 0.3)
                except OSError:
                    continue
                await sock.close()
                return True
        return False
