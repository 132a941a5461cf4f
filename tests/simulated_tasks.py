"""Coroutines run by hand, in place of a kernel: a test decides when each goes on."""


class Trap:
    """What a coroutine waits for."""

    def __init__(self, ready):
        self.ready = ready

    def __await__(self):
        yield self


class Task:
    """A coroutine of one process."""

    def __init__(self, coroutine):
        self.coroutine, self.terminated, self.result, self.trap = coroutine, False, None, None

    def run(self):
        while not self.terminated and (self.trap is None or self.trap.ready()):
            try:
                self.trap = self.coroutine.send(None)
            except StopIteration as end:
                self.terminated, self.result = True, end.value

    async def join(self):
        await Trap(lambda: self.terminated)
        return self.result

    async def cancel(self):
        self.terminated = True
        self.coroutine.close()
