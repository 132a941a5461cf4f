"""Opens links to controllers: several attempts overlap, so that one without an answer holds up no other."""

from collections.abc import Callable, Sequence

import curio

from sumacloom.pooler.controller_candidates import ControllerCandidates
from sumacloom.pooler.session_log import SessionLog
from sumacloom.settings import split_address
from sumacloom.transport.link import Link, dial
from sumacloom.transport.messages import Hello

OPEN_TIMEOUT_S = 0.5  # for the connection and the far end's Hello together
ATTEMPT_DELAY_S = 0.1  # between two attempts while none has failed, as RFC 8305 has it


async def open_link(address: str, hello: Hello) -> Link:
    """Dials a daemon and says hello.

    Raises:
        OSError: it can't be reached in time.
    """
    link = Link(await dial(*split_address(address), OPEN_TIMEOUT_S))
    link.send(hello)
    return link


class ControllerDiscovery:
    """Finds a controller that answers."""

    def __init__(
        self,
        candidates: ControllerCandidates,
        hello: Callable[[], Hello],
        clock: Callable[[], float],
        log: SessionLog,
    ) -> None:
        self._candidates, self._hello, self._clock, self._log = candidates, hello, clock, log

    async def open_controller(self, address: str) -> Link:
        """Dials a controller and waits for its Hello: a process that stands still doesn't answer.

        Raises:
            OSError: it doesn't answer in time.
        """
        started_at = self._clock()
        try:
            async with curio.timeout_after(OPEN_TIMEOUT_S):
                link = await open_link(address, self._hello())
                self._candidates.record_latency(address, self._clock() - started_at)
                await self._await_hello(link)
        except curio.TaskTimeout:
            raise OSError("no answer in time") from None
        return link

    @staticmethod
    async def _await_hello(link: Link) -> None:
        try:
            link.peer = await link.receive()
        except BaseException:
            await link.close()
            raise
        if not isinstance(link.peer, Hello):
            await link.close()
            raise OSError("the connection was closed without a Hello")

    async def open_first(self, addresses: Sequence[str]) -> tuple[str, Link] | None:
        """A link to whoever answers first; attempts begin in the given order, each a little later.

        An attempt that fails is recorded, and lets the next begin at once. Addresses never measured are
        all tried at the same time: the nearest then answers first.

        Returns:
            The address and the link, or None if nobody answered.
        """
        attempts = _Attempts(self)
        try:
            for address in addresses:
                await attempts.begin(address)
                if not self._candidates.is_measured(address):
                    continue
                if opened := await attempts.wait(ATTEMPT_DELAY_S):
                    return opened
            while attempts.unfinished:
                if opened := await attempts.wait(OPEN_TIMEOUT_S):
                    return opened
            return None
        finally:
            await attempts.end()

    async def attempt(self, address: str) -> Link | None:
        """One attempt; a failure is recorded."""
        try:
            return await self.open_controller(address)
        except OSError as error:
            now = self._clock()
            self._candidates.record_failure(address, now)
            self._log.dial_failed(address, error, now)
            return None


class _Attempts:
    """The attempts of one search, which run beside each other."""

    def __init__(self, discovery: ControllerDiscovery) -> None:
        self._discovery = discovery
        self._tasks: list[curio.Task] = []
        self._outcomes = curio.Queue()
        self.unfinished = 0

    async def begin(self, address: str) -> None:
        """Begins one more."""
        self.unfinished += 1
        self._tasks.append(await curio.spawn(self._run, address))

    async def _run(self, address: str) -> None:
        link = await self._discovery.attempt(address)
        await self._outcomes.put((address, link))

    async def wait(self, timeout_s: float) -> tuple[str, Link] | None:
        """Waits for the next outcome; None if it is a failure, or if none comes in time."""
        async with curio.ignore_after(timeout_s):
            address, link = await self._outcomes.get()
            self.unfinished -= 1
            return (address, link) if link else None
        return None

    async def end(self) -> None:
        """Ends what is still under way, and closes what was opened besides."""
        async with curio.disable_cancellation():
            for task in self._tasks:
                await task.cancel()
            while not self._outcomes.empty():
                _address, link = await self._outcomes.get()
                if link:
                    await link.close()
