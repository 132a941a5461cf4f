"""A disk in memory, for the log: what a loss of power may leave of it, in every mix."""

import errno
import itertools
import os


class Node:
    """A file: its bytes, those that a sync covered, and each change since."""

    def __init__(self, data=b""):
        self.data, self.synced, self.changes = data, data, []

    def change(self, apply):
        self.data = apply(self.data)
        self.changes.append(apply)


def write_at(offset, data):
    return lambda old: old[:offset].ljust(offset, b"\0") + data + old[offset + len(data) :]


def torn(offset, data):
    half = len(data) // 2
    return lambda old: (
        old[:offset].ljust(offset, b"\0")
        + data[:half]
        + (old[offset + half : offset + len(data)]).ljust(len(data) - half, b"\0")
        + old[offset + len(data) :]
    )


class MemoryDisk:
    """Stands for `os` and `open` in the log; one flat folder. `fail_at` is the step that is refused."""

    O_RDONLY, O_RDWR, O_CREAT, O_TRUNC, O_APPEND = (
        os.O_RDONLY,
        os.O_RDWR,
        os.O_CREAT,
        os.O_TRUNC,
        os.O_APPEND,
    )
    path, fspath = os.path, staticmethod(os.fspath)

    def __init__(self, files=None, watch=None, fail_at=None):
        self.names = {name: Node(data) for name, data in (files or {}).items()}
        self.lasting = dict(self.names)
        self.name_changes, self.handles, self.steps = [], {}, 0
        self.watch, self.fail_at = watch, fail_at

    def step(self):
        if self.watch:
            self.watch(self)
        self.steps += 1
        if self.steps == self.fail_at:
            raise OSError(errno.EIO, "refused")

    def makedirs(self, folder, exist_ok=False):
        pass

    def listdir(self, folder):
        return list(self.names)

    def open(self, path, flags, mode=0o644):
        name = os.path.basename(path)
        if not name or name == "disk":
            node = None
        else:
            if name not in self.names:
                if not flags & os.O_CREAT:
                    raise FileNotFoundError(path)
                self.step()
                self.names[name] = Node()
                self.name_changes.append(("create", name, self.names[name]))
            node = self.names[name]
            if flags & os.O_TRUNC and node.data:
                self.step()
                node.change(lambda old: b"")
        handle = len(self.handles) + 100
        self.handles[handle] = node
        return handle

    def read_file(self, path, mode):
        import io

        return io.BytesIO(self.names[os.path.basename(path)].data)

    def write(self, handle, data):
        node, data = self.handles[handle], bytes(data)
        offset = len(node.data)
        try:
            self.step()
        except OSError:
            node.change(write_at(offset, data[: len(data) // 3]))  # part of it had gone out
            raise
        node.change(write_at(offset, data))
        node.changes[-1].torn = torn(offset, data)  # a write may also stay in part
        return len(data)

    def ftruncate(self, handle, size):
        self.step()
        self.handles[handle].change(lambda old: old[:size].ljust(size, b"\0"))

    def fsync(self, handle):
        self.step()
        node = self.handles[handle]
        if node is None:
            self.lasting, self.name_changes = dict(self.names), []
            return
        node.synced, node.changes = node.data, []
        for change in [
            change for change in self.name_changes if change[0] == "create" and change[2] is node
        ]:
            self.name_changes.remove(change)
            self.lasting[change[1]] = node

    fdatasync = fsync

    def fstat(self, handle):
        class Stat:
            st_size = len(self.handles[handle].data)

        return Stat

    def close(self, handle):
        self.handles[handle] = None

    def rename(self, old, new):
        self.step()
        old, new = os.path.basename(old), os.path.basename(new)
        self.names[new] = self.names.pop(old)
        self.name_changes.append(("rename", old, new))

    def unlink(self, path):
        name = os.path.basename(path)
        if name not in self.names:
            raise FileNotFoundError(path)
        self.step()
        del self.names[name]
        self.name_changes.append(("unlink", name))

    def images(self):
        """Every content that may be found after a loss of power now: {name: bytes}."""
        for kept in itertools.product((True, False), repeat=len(self.name_changes)):
            names = dict(self.lasting)
            for (kind, name, *rest), stays in zip(self.name_changes, kept, strict=True):
                if not stays:
                    continue
                if kind == "create":
                    names[name] = rest[0]
                elif kind == "unlink":
                    names.pop(name, None)
                elif name in names:
                    names[rest[0]] = names.pop(name)
            choices = [list(self.contents(node)) for node in names.values()]
            for contents in itertools.product(*choices):
                yield dict(zip(names, contents, strict=True))

    @staticmethod
    def contents(node):
        """Each unsynced change present, missing or torn."""
        seen = set()
        kinds = [
            (change, None, *([change.torn] if hasattr(change, "torn") else []))
            for change in node.changes
        ]
        for chosen in itertools.product(*kinds):
            data = node.synced
            for change in chosen:
                data = change(data) if change else data
            if data not in seen:
                seen.add(data)
                yield data
