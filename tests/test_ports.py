"""Garbage on every port, through the real HTTP code and cores, over socket pairs; others don't notice."""

import random
import socket

import curio
import pytest

from sumacloom import http
from sumacloom.controller.registry.backends import BackendRegistry
from sumacloom.transport.update_cache import UpdateCache

from .stage import Stage


def exchange(data: bytes, handler=None, most_body=64) -> bytes:
    """What the HTTP server says to some bytes."""

    async def plain(request):
        return handler(request) if handler else http.Reply(404)

    async def run():
        ours, theirs = socket.socketpair()
        theirs.sendall(data)
        theirs.shutdown(socket.SHUT_WR)
        await http.serve_connection(curio.io.Socket(ours), plain, most_body)
        theirs.setblocking(True)
        return b"".join(iter(lambda: theirs.recv(65536), b""))

    return curio.run(run)


HTTP = [
    (b"GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n", b"404"),
    (b"\x00\xff\x00\xff\r\n\r\n", b"400"),
    (b"PUT /x HTTP/1.1\r\nHost: x\r\nContent-Length: 99999\r\n\r\n" + b"y" * 99, b"413"),
    (b"GET / HTTP/1.1\r\nHost: x\r\n" + b"a: b\r\n" * 20000 + b"\r\n", b"431"),
    (b"GET / HTTP/1.1\r\n\r\n", b"400"),
    (b"PUT /x HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhalf", b"400"),
    (b"", b""),
]


@pytest.mark.parametrize(("data", "status"), HTTP)
def test_bad_http_gets_its_status_and_ends_only_its_connection(data, status):
    reply = exchange(data)
    assert reply.split(b" ")[1:2] == ([status] if status else [])


def test_garbage_at_the_client_port_leaves_other_sessions_alone():
    stage = Stage()
    lead, *_others = stage.warm()
    source = random.Random(7)
    stage.client(1, "books")
    for key in range(100, 160):
        stage.core.session_opened(key, stage.now)
        noise = source.randbytes(source.randrange(1, 400))
        stage.core.session_data(
            key, noise if key % 2 else b"LOGIN books x\r\nQUERY " + noise + b"\r\n", stage.now
        )
        stage.act()
    assert not [line for line in stage.take(lead.key) if not line.startswith("QUERY")]
    stage.say(1, "QUERY 1 PUT a b")
    busy = [
        connection
        for connection in stage.core.connections.values()
        if "QUERY 1 PUT a b" in stage.sent.get(connection.key, [])
    ]
    assert busy == [lead]
    stage.answer(lead, "DONE 7.1", "READY I 1.12")
    assert stage.take(1) == ["DONE 7.1", "READY I 1.12"]


def test_a_client_that_never_logs_in_is_let_go():
    stage = Stage()
    stage.core.session_opened(1, stage.now)
    stage.tick(5.1)
    assert stage.shut == [1]


def test_a_new_id_at_an_address_ends_the_old_record():
    registry = BackendRegistry(UpdateCache())
    heartbeat = b'{"svc":"s","addr":"10.0.1.1:80","az":"a","seq":%d,"dbrole":"primary"}'
    registry.receive("old", heartbeat % 5, 0.0)
    changed = registry.receive("new", heartbeat % 1, 2.0)
    assert {record.name: record.phase for record in changed} == {"new": "up", "old": "gone"}
    assert registry.receive("old", heartbeat % 6, 2.1) == []


def test_caps_assume_a_fleet_until_members_are_counted():
    stage = Stage()
    backend = stage.core.pools.backends["p"]
    pools, now = stage.core.pools, stage.now
    pools.record_connection_limit(backend, now)
    assert pools.connection_limit(backend, now) == 3
    pools.count_members(2, 0.0)
    assert pools.connection_limit(backend, now) == 14
    pools.count_members(4, 1.0)
    pools.count_members(2, 2.0)  # connections of the two outlive them for a while
    assert pools.connection_limit(backend, now) == 7
    pools.members = 100  # a fleet larger than the backend's connections
    assert (
        pools.connection_limit(backend, now) == 1
        and pools.connection_limit(backend, now + 6) == 4
        and pools.fair_share(backend) < 1
    )


def test_a_crowded_backend_is_not_taken_for_a_dark_one():
    stage = Stage()
    lead, *_others = stage.warm()
    backend = stage.core.pools.backends["p"]
    stage.core.scheduler.dial(backend, stage.now)
    stage.act()
    stage.lose(next(connection for connection in stage.connections("p") if connection is not lead))
    assert (
        backend.unreachable_since is None
        and not stage.core.failed_backends
        and backend.connection_limit_until > stage.now
    )
    stage.lose(lead)
    stage.now += 1.0
    stage.core.scheduler.dial(backend, stage.now)
    stage.act()
    stage.lose(stage.connections("p")[0])
    assert backend.unreachable_since is not None and stage.core.failed_backends


def test_where_connections_are_scarce_no_idle_connection_is_kept():
    stage = Stage()
    stage.warm()
    stage.core.pools.count_members(100, stage.now)
    stage.tick(1.1)
    assert not stage.core.connections


def test_an_extra_connection_refused_does_not_bar_the_connections_that_stand():
    stage = Stage()
    lead, *_others = stage.warm()
    backend = stage.core.pools.backends["p"]
    stage.core.scheduler.dial(backend, stage.now)
    stage.act()
    stage.lose(next(connection for connection in stage.connections("p") if connection is not lead))
    stage.client(1, "books")
    stage.say(1, "QUERY 1 PUT a b")
    assert stage.take(lead.key) == ["QUERY 1 PUT a b"]
