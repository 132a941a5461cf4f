"""The tree by which updates spread: a pooler takes them from a parent, and passes them on to its children."""

from collections.abc import Awaitable, Callable
from typing import Any

import curio

from sumacloom.pooler.controller_discovery import open_link
from sumacloom.settings import Settings
from sumacloom.transport.link import Link, accept_forever, configure_socket, listen
from sumacloom.transport.messages import Follow, Hello, Update
from sumacloom.transport.update_cache import UpdateCache

REDIAL_S = 0.5  # after a parent that could not be reached
REOPEN_S = 0.2  # after a link to the parent that ended


def relay_port(settings: Settings) -> int:
    """Where a pooler takes the links of its children."""
    return settings.port_range[0] + 1


class RelayTree:
    """One pooler's place in the tree.

    Attributes:
        parent: the link to the parent; None while there is none.
        parent_address: the parent that the controller names; "" for the controller itself.
        children: the links of those that take their updates from us.
    """

    def __init__(
        self,
        cache: UpdateCache,
        hello: Callable[[], Hello],
        apply_update: Callable[[Update], Awaitable[None]],
    ) -> None:
        self._cache, self._hello, self._apply_update = cache, hello, apply_update
        self.parent: Link | None = None
        self.parent_address = ""
        self.children: list[Link] = []
        self._generation = 0  # of parents: a task of an earlier one ends

    def send_to_children(self) -> None:
        """Sends each child what it lacks; one whose link is still full gets the newest once that is through."""
        digest = self._cache.digest()
        for child in self.children:
            child.send_buffer.flush()
            self._cache.send_newer(child, digest)

    async def follow(self, address: str) -> None:
        """Takes updates from the parent that the controller names; nothing means from itself."""
        if address == self.parent_address:
            if self.parent:
                self.parent.send(Follow(self._cache.digest()))
            return
        self.parent_address = address
        if self.parent:
            old, self.parent = self.parent, None
            old.abort()
        self._generation += 1
        if address:
            await curio.spawn(self._follow_parent, address, self._generation, daemon=True)

    async def _follow_parent(self, address: str, generation: int) -> None:
        """Listens to one parent while it is ours."""
        while self._generation == generation:
            try:
                link = await open_link(address, self._hello())
            except OSError:
                await curio.sleep(REDIAL_S)
                continue
            if (
                self._generation != generation
            ):  # another parent was named while this one was dialled
                await link.close()
                return
            self.parent = link
            link.send(Follow(self._cache.digest()))
            async for message in link.messages():
                if isinstance(message, Update):
                    await self._apply_update(message)
            if self.parent is link:
                self.parent = None
            await link.close()
            await curio.sleep(REOPEN_S)

    async def _serve_child(self, sock: Any) -> None:
        """Another pooler takes its updates from us."""
        configure_socket(sock._socket)
        link = Link(sock)
        self.children.append(link)
        async for message in link.messages():
            if isinstance(message, Follow):
                link.digest = message.digest
                self.send_to_children()
        self.children.remove(link)
        await link.close()

    async def serve_children(self, settings: Settings) -> None:
        """Takes links of children for ever."""
        await accept_forever(listen(settings.ip, relay_port(settings)), self._serve_child)
