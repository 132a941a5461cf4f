"""Runs a real daemon and counts the messages and bytes of its links; SIGUSR1 writes the counts to a file.

python3 -m capacity.counted controller COUNTS_FILE
"""

import json
import os
import signal
import sys

import sumacloom.__main__  # noqa: F401  (finds the libraries)
from sumacloom.daemon import run_daemon
from sumacloom.transport import link

COUNTS = {"messages_out": 0, "bytes_out": 0, "messages_in": 0, "bytes_in": 0}


def count_links() -> None:
    """Puts the counting around the links' own code."""
    encode_frame, feed = link.encode_frame, link.FrameDecoder.feed

    def counted_frame(message):
        data = encode_frame(message)
        COUNTS["messages_out"] += 1
        COUNTS["bytes_out"] += len(data)
        return data

    def counted_feed(unframer, data):
        found = feed(unframer, data)
        COUNTS["messages_in"] += len(found)
        COUNTS["bytes_in"] += len(data)
        return found

    link.encode_frame, link.FrameDecoder.feed = counted_frame, counted_feed


def main(role: str, path: str) -> int:
    """Runs the role."""
    count_links()

    def write(_number, _frame):
        with open(path + ".new", "w", encoding="utf-8") as file:
            json.dump(COUNTS, file)
        os.replace(path + ".new", path)

    signal.signal(signal.SIGUSR1, write)
    return run_daemon(role)


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
