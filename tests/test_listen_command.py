"""The subscribers' commands."""

import json

import pytest

from sumacloom.cli import feed_reader, subscriptions

from .test_fleet import Stub, refusal, reply


# ---------------------------------------------------------------- the command line
def item(number):
    return {"number": number, "text": f"PUT a {number}", "doubtful": False}


def test_the_file_is_the_cursor_a_torn_line_is_cut_and_nothing_is_written_twice(tmp_path):
    path = tmp_path / "items"
    path.write_bytes(json.dumps(item(4)).encode() + b"\n" + b'{"number": 5, "te')
    stub = Stub(reply(200, {"items": [item(4), item(5), item(6)], "cursor": 7}))
    assert feed_reader.take_items([stub.address], "d", "books", str(path), 2, 5.0) == 2
    assert [json.loads(line)["number"] for line in path.read_text().splitlines()] == [4, 5, 6]
    assert "cursor=5" in stub.asked[0][1] and "cursor=7" in stub.asked[-1][1]


LISTENING = reply(200, [{"name": "d", "database": "books", "state": "listening"}])
JOINING = reply(
    200, [{"name": "d", "database": "books", "state": "joining", "waits_for": "edge-3"}]
)
COMMANDS = [
    (
        [reply(200, {}), LISTENING, reply(200, {"items": [item(1)]})],
        lambda at, path: subscriptions.subscribe("d", "books", into=path, count=1, at=at),
        0,
        "",
    ),
    (
        [reply(200, {}), JOINING],
        lambda at, path: subscriptions.subscribe("d", "books", into=path, count=1, at=at, wait=0.0),
        6,
        "edge-3",
    ),
    (
        [refusal("listener_exists")],
        lambda at, path: subscriptions.subscribe("d", "books", into=path, count=1, at=at),
        5,
        "1426",
    ),
    (
        [reply(200, {}), LISTENING, refusal("lapsed")],
        lambda at, path: subscriptions.subscribe("d", "books", into=path, count=1, at=at),
        5,
        "1431",
    ),
    (
        [reply(200, {}), LISTENING, reply(200, {"items": [item(1)]})],
        lambda at, path: subscriptions.subscribe(
            "d", "books", into=path + "/no/where", count=1, at=at
        ),
        3,
        "1432",
    ),
    (
        [refusal("no_listener")],
        lambda at, path: subscriptions.unsubscribe("d", "books", at=at),
        4,
        "1427",
    ),
    (
        [reply(200, [{"node": "a", "generation": 2, "digest": "x"}])],
        lambda at, path: subscriptions.subscribers(at=at, nodes=True),
        0,
        "",
    ),
    (
        [
            reply(
                200,
                [
                    {"node": "a", "generation": 2, "digest": "x"},
                    {"node": "b", "generation": 1, "digest": "y"},
                ],
            )
        ],
        lambda at, path: subscriptions.subscribers(at=at, nodes=True),
        6,
        "b (1)",
    ),
    (
        [
            reply(
                200,
                [
                    {"node": "a", "generation": 2, "digest": "x"},
                    {"node": "b", "generation": 2, "digest": "y"},
                ],
            )
        ],
        lambda at, path: subscriptions.subscribers(at=at, nodes=True),
        6,
        "differ",
    ),
]


@pytest.mark.parametrize(("replies", "command", "code", "said"), COMMANDS)
def test_commands(replies, command, code, said, tmp_path, capsys):
    assert command(Stub(*replies).address, str(tmp_path / "items")) == code
    assert said in capsys.readouterr().err
