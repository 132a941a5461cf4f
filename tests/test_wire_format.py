"""Messages between daemons keep the bytes of the release 3d4f92a, so that both can run in one fleet.

Tags and the order of fields are pinned; names of classes and fields are not.
"""

import json
import pathlib

import msgspec
import pytest

from sumacloom.transport.messages import ENCODER, KINDS, FrameDecoder, encode_frame

ROWS = json.loads((pathlib.Path(__file__).parent / "data" / "messages.json").read_text())


@pytest.mark.parametrize("row", ROWS, ids=lambda row: row["tag"])
def test_a_message_is_read_and_written_as_by_the_earlier_release(row):
    data = bytes.fromhex(row["frame"])
    (message,) = FrameDecoder().feed(data)
    assert json.loads(msgspec.json.encode(message)) == [row["tag"], *row["fields"]]
    assert encode_frame(message) == data
    assert len(ENCODER.encode(message)) + 4 == len(data)


def test_every_kind_of_message_is_pinned():
    assert sorted(kind.__struct_config__.tag for kind in KINDS) == sorted(
        row["tag"] for row in ROWS
    )
