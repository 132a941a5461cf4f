"""The operator's command line against controllers that are well, down, half down, or answer garbage."""

import http.server
import json
import os
import pathlib
import re
import threading

import pytest

from sumacloom.cli import client, commands, configuration
from sumacloom.cli.tables import query
from sumacloom.errors import ERRORS_BY_NAME, InvalidQueryError

from .paths import ROOT

# as the first release numbered its results: (code, HTTP status, exit code) by name
RESULTS = {
    row["error"]: (row["code"], row["status"], row["exit_code"])
    for row in json.loads(pathlib.Path(ROOT, "tests/data/result_codes.json").read_text())
}


def exit_code(name):
    return RESULTS[name][2]


FLEET = {
    "registrars": [
        {"node": "core-1", "votes": True, "blueprint": 4},
        {"node": "", "ip": "10.0.0.2"},
    ],
    "counters": [
        {
            "node": "edge-1",
            "ready": True,
            "blueprint": 3,
            "sessions": 2,
            "waiting": 0,
            "lanes_held": 3,
        }
    ],
    "backends": [
        {"service": "s", "backend": "i-1", "role": "primary", "dark": True, "phase": "up"}
    ],
    "duties": [{"holder": "10.0.0.1", "fence": 2}],
    "zones": [{"zone": "a", "evacuated": True}],
}


class Stub:
    """A controller that answers from a list of (status, body, headers), the last one for ever."""

    def __init__(self, *replies):
        self.replies, self.asked = list(replies), []
        stub = self

        class Handler(http.server.BaseHTTPRequestHandler):
            def answer(self):
                length = int(self.headers.get("Content-Length") or 0)
                stub.asked.append(
                    (self.command, self.path, self.rfile.read(length), dict(self.headers))
                )
                status, body, headers = (
                    stub.replies.pop(0) if len(stub.replies) > 1 else stub.replies[0]
                )
                self.send_response(status)
                for name, value in {"Content-Length": str(len(body)), **headers}.items():
                    self.send_header(name, value)
                self.end_headers()
                self.wfile.write(body)

            do_GET = do_PUT = do_POST = do_DELETE = answer

            def log_message(self, *_values):
                pass

        self.server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self.server.server_port}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()


def reply(status, data, **headers):
    return status, json.dumps(data).encode(), headers


def refusal(name):
    code, status, _exit_code = RESULTS[name]
    return reply(status, {"code": code, "error": name, "sentence": "no"})


@pytest.fixture(autouse=True)
def hurried(monkeypatch):
    """Patience and rests cost no time here."""
    monkeypatch.setattr(
        client.call, "__defaults__", (b"", None, 0.0, client.time.monotonic, lambda _seconds: None)
    )


DOWN = "127.0.0.1:1"
CASES = [
    # (replies of a controller, command, exit code)
    ([reply(200, FLEET)], lambda at: commands.status(at=at), 0),
    ([reply(200, [])], lambda at: commands.COMMANDS["poolers"](at=at), 0),
    (
        [reply(200, {"an": "object"})],
        lambda at: commands.COMMANDS["poolers"](at=at),
        exit_code("garbled"),
    ),
    ([(200, b"<html>", {})], lambda at: commands.status(at=at), exit_code("garbled")),
    ([(404, b"\xff", {})], lambda at: commands.COMMANDS["backends"](at=at), exit_code("garbled")),
    (
        [refusal("unknown_zone")],
        lambda at: commands.drain("nowhere", at=at),
        exit_code("unknown_zone"),
    ),
    ([refusal("no_majority")], lambda at: commands.undrain("a", at=at), exit_code("no_majority")),
    (
        [refusal("bad_request")],
        lambda at: commands.log_level("loud", at=at),
        exit_code("bad_request"),
    ),
    (
        [reply(200, FLEET)],
        lambda at: commands.query("SELECT * FROM nothing", at=at),
        exit_code("bad_query"),
    ),
    (
        [reply(200, FLEET)],
        lambda at: commands.query("DELETE FROM zones", at=at),
        exit_code("bad_query"),
    ),
    ([reply(200, FLEET)], lambda at: commands.query("SELECT zone FROM zones", at=at), 0),
    (
        [reply(200, {"generation": 1}), reply(200, FLEET["counters"])],
        lambda at: commands.set_priority("a", at=at, wait=0.0),
        0,
    ),
    (
        [reply(200, {"generation": 2}), reply(200, FLEET["counters"])],
        lambda at: commands.set_priority("a", at=at, wait=0.0),
        exit_code("lanes_waiting"),
    ),
    (
        [(307, b"", {"Location": "http://garbage"})],
        lambda at: commands.status(at=at),
        exit_code("unreachable"),
    ),
]


@pytest.mark.parametrize(("replies", "command", "code"), CASES)
def test_commands(replies, command, code, capsys):
    assert command(Stub(*replies).address) == code
    shown = capsys.readouterr()
    if code:
        assert re.fullmatch(r"sumacloom fleet: [^\n]+ \(code \d+\)\n", shown.err) and not shown.out


def test_half_a_fleet_is_enough_and_none_is_told_in_one_sentence(capsys):
    assert commands.status(at=f"{DOWN},{Stub(reply(200, FLEET)).address}") == 0
    assert commands.status(at=DOWN) == exit_code("unreachable")
    assert "code 1303" in capsys.readouterr().err
    assert commands.status(at="nonsense") == exit_code("usage")


def test_307_is_followed_twice_and_no_further():
    last = Stub(reply(200, FLEET))
    second = Stub((307, b"", {"Location": f"http://{last.address}/api/admin/fleet"}))
    first = Stub((307, b"", {"Location": f"http://{second.address}/api/admin/fleet"}))
    before = Stub((307, b"", {"Location": f"http://{first.address}/api/admin/fleet"}))
    assert commands.status(at=first.address) == 0
    assert commands.status(at=before.address) == exit_code("unreachable")


GOOD = {
    "ver": 7,
    "routes": [{"name": "r", "host": "h", "svc": "s", "tmoMs": 5}],
    "svcs": [{"name": "s"}],
}


def test_put_finds_its_base_and_sends_unclear_ends_again_unchanged(tmp_path, monkeypatch):
    monkeypatch.setattr(
        client.call, "__defaults__", (b"", None, 5.0, client.time.monotonic, lambda _seconds: None)
    )
    path = tmp_path / "blueprint.json"
    path.write_text(json.dumps(GOOD))
    stub = Stub(reply(200, {"ver": 5}), (503, b"", {}), reply(200, {"ver": 7}))
    assert configuration.put(str(path), at=stub.address) == 0
    puts = [
        (body, headers["If-Match"])
        for method, _path, body, headers in stub.asked
        if method == "PUT"
    ]
    assert puts == [(json.dumps(GOOD).encode(), "5")] * 2
    assert configuration.put(
        str(path), base=3, at=Stub(refusal("stale_match")).address
    ) == exit_code("stale_match")


def test_check_names_every_error(tmp_path, capsys):
    path = tmp_path / "blueprint.json"
    bad = {**GOOD, "routes": [{**GOOD["routes"][0], "tmoMs": 0, "kind": "odd"}]}
    path.write_text(json.dumps(bad))
    assert configuration.check(str(path)) == exit_code("zero_timeout")
    assert len(capsys.readouterr().err.splitlines()) == 2
    path.write_text(json.dumps(GOOD))
    assert configuration.check(str(path)) == 0
    assert configuration.check(str(tmp_path / "none")) == exit_code("usage")


def test_endless_queries_end():
    endless = (
        "WITH RECURSIVE n(x) AS (SELECT 1 UNION ALL SELECT x + 1 FROM n) SELECT count(*) FROM n"
    )
    with pytest.raises(InvalidQueryError):
        query({}, endless)


def test_the_table_in_the_docs_is_the_code_s():
    with open(os.path.join(ROOT, "docs", "results.md"), encoding="utf-8") as file:
        rows = re.findall(r"^\| (\d+) \| `(\w+)` \| (\S+) \| (\d+) \|", file.read(), re.M)
    assert rows == [
        (str(error.code), name, str(error.http_status or "-"), str(error.exit_code))
        for name, error in ERRORS_BY_NAME.items()
    ]


def test_every_error_keeps_the_number_status_and_exit_code_of_the_first_release():
    found = {
        name: (error.code, error.http_status, error.exit_code)
        for name, error in ERRORS_BY_NAME.items()
    }
    assert found == RESULTS


def test_each_result_has_a_number_of_its_own():
    """Found when three changes met: 1310 meant three things."""
    numbers = [error.code for error in ERRORS_BY_NAME.values()]
    assert len(numbers) == len(set(numbers))
