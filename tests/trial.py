"""A short day with the real programs and the stand-ins, as a person would try them."""

import json
import os
import subprocess
import sys
import time
from collections import Counter

import curio

from sumacloom.line_protocol import LineSplitter, encode
from sumacloom.transport.link import dial

from .standins import CONFIGURATION, CTL, FE, ROOT, ZONES, Service, start

SENT: Counter = Counter()  # statements by what became of them


async def talk(number: int, database: str, *texts: str) -> list[str]:
    """A client's session with a pooler: every line of its replies."""
    lines, answers = [], []
    try:
        async with curio.timeout_after(5.0):
            sock = await dial(f"127.0.0.{10 + number}", FE)
            async with sock:
                splitter = LineSplitter()
                for place, text in enumerate([f"LOGIN {database} someone", *texts]):
                    await sock.sendall(encode(text if place == 0 else f"QUERY q{place} {text}"))
                    got = []
                    while not any(line.startswith("READY") for line in got):
                        data = await sock.recv(65536)
                        if not data:
                            return lines + got + ["(closed)"]
                        got += splitter.feed(data)
                    lines += got
                    answers += (
                        ["refused" if got[0].startswith("ERR") else "served"] if place else []
                    )
    except (OSError, curio.TaskTimeout) as error:
        lines.append(f"({type(error).__name__})")
    finally:
        SENT.update(answers + ["not answered"] * (len(texts) - len(answers)))
    return lines


async def show(number: int, database: str, *texts: str) -> None:
    """A session as a person would see it."""
    print(f"trial: a client of pooler {number}, database {database}: {'; '.join(texts)}")
    for line in await talk(number, database, *texts):
        print(f"    {line}")


async def until(what: str, check, seconds: float = 20.0):
    """Waits for something to be so."""
    started = time.monotonic()
    while not await check():
        if time.monotonic() - started > seconds:
            raise SystemExit(f"trial: {what} did not come about in {seconds:.0f} s")
        await curio.sleep(0.1)
    print(f"trial: {what} after {time.monotonic() - started:.1f} s", flush=True)


async def fleet(*arguments: str) -> int:
    """Runs `sumacloom fleet` as a person would."""
    process = await curio.run_in_thread(
        lambda: subprocess.run(
            [sys.executable, "-m", "sumacloom", "fleet", *arguments],
            cwd=ROOT,
            timeout=60,
            env={**os.environ, "SUMACLOOM_CONTROLLERS": f"127.0.0.1:{CTL},127.0.0.2:{CTL}"},
        )
    )
    return process.returncode


async def shown(*arguments: str) -> list:
    """What `sumacloom fleet` prints as JSON."""
    process = await curio.run_in_thread(
        lambda: subprocess.run(
            [sys.executable, "-m", "sumacloom", "fleet", *arguments, "--json"],
            cwd=ROOT,
            capture_output=True,
            timeout=60,
            env={**os.environ, "SUMACLOOM_CONTROLLERS": f"127.0.0.1:{CTL},127.0.0.2:{CTL}"},
        )
    )
    return json.loads(process.stdout)


async def try_access(folder: str):
    """Sets access lists, and compares the counts with what was sent."""
    path, region = os.path.join(folder, "access.json"), sorted(set(ZONES.values()))[0]

    async def put(**fields):
        with open(path, "w", encoding="utf-8") as file:
            json.dump({"default": "deny", "networks": {"127.0.0.0/8": region}, **fields}, file)
        return await fleet("access", "set", path)

    rules = [
        {"name": "desk", "action": "allow", "databases": ["books"], "regions": [region]},
        {"name": "others", "action": "deny", "databases": ["*"], "regions": ["*"]},
    ]
    if await put(rules=rules):
        raise SystemExit("trial: the access list did not come into force")
    for number in (1, 2, 3):
        allowed = await talk(number, "books", "PUT a allowed", "BEGIN", "PUT a more", "COMMIT")
        denied = await talk(number, "search", "FETCH a")
        if "ERR" in str(allowed) or not denied[0].startswith("ERR DENIED by the rule others"):
            raise SystemExit(f"trial: the access list was not enforced: {allowed} {denied}")
    counted = {
        (row["node"], row["rule"]): (
            row["logins_allowed"],
            row["logins_denied"],
            row["requests_allowed"],
        )
        for row in await shown("access", "counts", "--nodes")
        if row["generation"] == 1
    }
    if any(
        counted[f"pooler-{number}", "desk"] != (1, 0, 2)
        or counted[f"pooler-{number}", "others"] != (0, 1, 0)
        for number in (1, 2, 3)
    ):
        raise SystemExit(f"trial: the counts don't agree with what was sent: {counted}")
    await fleet("access", "show"), await fleet("access", "counts")
    codes = [
        await fleet("access", "check", "--database", database, "--address", "127.0.0.1")
        for database in ("books", "search")
    ]
    wrong = [
        await put(networks={"10.0.0.0/8": "mars"}),
        await fleet("access", "set", path, "--base", "0"),
    ]
    if codes != [0, 7] or 0 in wrong or await put(default="allow"):
        raise SystemExit(f"trial: access commands ended with {codes} and {wrong}")


async def try_pooling():
    """Pins a database's mode, and looks whether all nodes hold it; wrong orders end badly and change nothing."""
    if await fleet("pool-modes", "set", "search", "statement"):
        raise SystemExit("trial: the mode was not pinned")

    async def agreed():
        return await fleet("pool-modes", "show", "--nodes") == 0

    await until("all nodes hold the pinned mode", agreed)
    await talk(1, "search", "FETCH a", "BEGIN", "FETCH a", "COMMIT")
    rows = await shown("pool-modes", "show")
    if [(row["database"], row["mode"], row["judged"]) for row in rows] != [
        ("search", "statement", False)
    ]:
        raise SystemExit(f"trial: the modes are {rows}")
    wrong = [
        await fleet("pool-modes", "set", "search", "session"),
        await fleet("pool-modes", "set", "nowhere", "auto"),
        await fleet("pool-modes", "set", "search", "auto", "--base", "0"),
    ]
    if (
        0 in wrong
        or await fleet("pool-modes", "show", "--sessions")
        or await fleet("pool-modes", "set", "search", "auto")
    ):
        raise SystemExit(f"trial: pooling commands ended with {wrong}")


async def trial(service: Service, processes: dict, folder: str):
    """A short day."""
    path = os.path.join(folder, "configuration.json")
    with open(path, "w", encoding="utf-8") as file:
        json.dump(CONFIGURATION, file)

    async def served():
        return (await talk(1, "books", "PUT a one"))[-2:-1] != [] and "DONE" in str(
            await talk(2, "books", "PUT a two")
        )

    async def put():
        return await fleet("config", "put", path) == 0

    await until("the configuration is taken", put)
    await until("writes are served", served)
    await show(1, "books", "BEGIN", "PUT a three", "FETCH a", "COMMIT")
    await show(3, "search", "FETCH a")
    for command in (
        ["status"],
        ["backends"],
        ["poolers"],
        ["replicas"],
        ["lease"],
        ["query", "SELECT zone, count(*) AS backends FROM backends GROUP BY zone"],
    ):
        print(f"$ sumacloom fleet {' '.join(command)}", flush=True)
        if await fleet(*command):
            raise SystemExit("trial: a command failed")
    if (
        await fleet("priority", "set", "books")
        or await fleet("priority", "show")
        or await fleet("priority", "clear")
    ):
        raise SystemExit("trial: the priority did not come into force")
    await try_access(folder)
    await try_pooling()
    wrong_way = {
        **CONFIGURATION,
        "ver": 5,
        "svcs": [*CONFIGURATION["svcs"], {"name": "elsewhere"}],
        "routes": [{**CONFIGURATION["routes"][0], "svc": "elsewhere"}, CONFIGURATION["routes"][1]],
    }
    with open(path, "w", encoding="utf-8") as file:
        json.dump(wrong_way, file)
    if await fleet("config", "put", path) or "BUSY" not in str(
        await talk(1, "books", "PUT a lost")
    ):
        raise SystemExit("trial: the edit did not misdirect writes")
    if await fleet("undo", "--version", "5") or await fleet("versions") or not await served():
        raise SystemExit("trial: the edit was not undone")
    items = os.path.join(folder, "items")
    listening = await curio.spawn(
        fleet, "subscribe", "desk", "books", "--into", items, "--count", "2", "--seconds", "30"
    )

    async def listens():
        return "listening" in str(
            await curio.run_in_thread(
                lambda: (
                    subprocess.run(
                        [
                            sys.executable,
                            "-m",
                            "sumacloom",
                            "fleet",
                            "subscribers",
                            "--at",
                            f"127.0.0.2:{CTL}",
                        ],
                        cwd=ROOT,
                        capture_output=True,
                        timeout=60,
                    ).stdout
                )
            )
        )

    await until("the desk listens", listens)
    await talk(3, "books", "PUT a seven", "BEGIN", "PUT a eight", "PUT b nine", "COMMIT")
    if await listening.join() or await fleet("subscribers", "--nodes"):
        raise SystemExit("trial: the listener did not get its items, or the lists differ")
    with open(items, encoding="utf-8") as file:
        taken = [json.loads(line)["text"] for line in file]
    if taken != ["PUT a seven", "PUT a eight\nPUT b nine"]:
        raise SystemExit(f"trial: the listener took {taken}")
    await service.backends[0].die()
    await until("writes are served after the primary died", served)
    await show(2, "books", "FETCH a", "PUT a after", "FETCH a")
    processes["controller-1"].kill()
    processes["controller-1"].wait()
    await fleet("drain", "zone-b")
    await fleet("status")
    await fleet("undrain", "zone-b")
    wrong = (
        await fleet("drain", "zone-x"),
        await fleet("query", "DROP TABLE members"),
        await fleet("log-level", "loud"),
    )
    if 0 in wrong:
        raise SystemExit("trial: a wrong command ended well")
    processes["controller-1"] = start(folder, "controller", 1)

    async def complete():
        process = await curio.run_in_thread(
            lambda: subprocess.run(
                [
                    sys.executable,
                    "-m",
                    "sumacloom",
                    "fleet",
                    "query",
                    "SELECT count(*) AS n FROM registrars WHERE votes",
                    "--json",
                    "--at",
                    f"127.0.0.2:{CTL}",
                ],
                cwd=ROOT,
                capture_output=True,
                timeout=60,
            )
        )
        return b'"n": 3' in process.stdout

    await until("the killed controller votes again", complete)
    print(
        "trial: statements",
        ", ".join(f"{count} {what}" for what, count in SENT.most_common()),
        flush=True,
    )
