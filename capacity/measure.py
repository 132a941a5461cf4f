"""Measures the control plane's slopes, and one real pooler; writes the figures that docs/CAPACITY.md cites.

python3 -m capacity.measure                      the whole, some four minutes
python3 -m capacity.measure --small              a small run, as the tests play it
"""

import json
import os
import resource
import sys
import time

from . import fleet as fleets
from .fleet import Fleet

MAX_POOLERS, MOST_BACKENDS, MOST_ROUTES, MOST_SESSIONS = 1000, 3000, 10_000, 4000
SHARE_OF_MEMORY, MB_EACH = 0.5, 2.0
USAGE = 2


def check(poolers: list[int], backends: list[int], routes: list[int], sessions: list[int]) -> str:
    """Why these counts can't be measured here; nothing if they can.

    >>> check([50], [10], [10], [10])
    ''
    >>> check([0], [10], [10], [10])
    'poolers must be from 1 to 1000, not 0'
    """
    for name, values, least, most in (
        ("poolers", poolers, 1, MAX_POOLERS),
        ("backends", backends, 1, MOST_BACKENDS),
        ("routes", routes, 1, MOST_ROUTES),
        ("sessions", sessions, 1, MOST_SESSIONS),
    ):
        wrong = [value for value in values if not least <= value <= most]
        if wrong or not values:
            return f"{name} must be from {least} to {most}, not {wrong[0] if wrong else 'nothing'}"
    have = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") / 2**20
    need = max(poolers) * MB_EACH + 400
    if need > have * SHARE_OF_MEMORY:
        return f"{max(poolers)} poolers need some {need:.0f} MB, more than half of this machine's {have:.0f} MB"
    return ""


def delta(before: list[dict], after: list[dict], seconds: float) -> dict:
    """What a kind of process used a second, over all of its processes.

    >>> delta([{"cpu_s": 1.0, "rss_kb": 5}], [{"cpu_s": 2.0, "rss_kb": 9}], 2.0)
    {'cpu_s': 0.5, 'rss_kb': 9}
    """
    names = [
        name
        for name in after[0]
        if name in ("cpu_s", "messages_in", "messages_out", "bytes_in", "bytes_out")
    ]
    return {
        **{
            name: round(
                sum(new[name] - old[name] for old, new in zip(before, after, strict=True))
                / seconds,
                4,
            )
            for name in names
        },
        "rss_kb": sum(one["rss_kb"] for one in after),
    }


def one(poolers: int, backends: int, routes: int, seconds: float) -> dict:
    """A fleet of one size: a quiet while, then a change of the configuration."""
    began = time.monotonic()
    with Fleet(poolers, backends, routes) as fleet:
        ready = time.monotonic() - began
        time.sleep(2.0)
        controllers, hollows, at = fleet.registrar_state(), fleet.states(), time.monotonic()
        time.sleep(seconds)
        quiet_s = time.monotonic() - at
        later, hollow_later = fleet.registrar_state(), fleet.states()
        quiet = {
            "controllers": delta(controllers, later, quiet_s),
            "poolers": delta(hollows, hollow_later, quiet_s),
        }
        acked = fleet.put()
        fleet.until(
            "all hold the change",
            lambda: all(
                one["blueprint"] == fleet.ver and one["holding"] == one["attached"]
                for one in fleet.states()
            ),
            30.0,
        )
        changed = fleet.states()
        rest = time.monotonic() - at - quiet_s
        update = delta(hollow_later, changed, 1.0)
        return {
            "poolers": poolers,
            "backends": backends,
            "routes": routes,
            "ready_s": round(ready, 2),
            "direct": sum(one["direct"] for one in changed),
            "quiet": quiet,
            "change": {
                "last_s": round(max(one["last_at"] for one in changed) - acked, 3),
                "bytes_in": max(0, round(update["bytes_in"] - rest * quiet["poolers"]["bytes_in"])),
            },
            "processes": len(fleet.hollows),
        }


def slope(points: list[tuple[float, float]]) -> dict:
    """The least squares line through points, and the farthest point from it as a share of the largest.

    >>> slope([(1, 3.0), (2, 5.0), (3, 7.0)])
    {'intercept': 1.0, 'slope': 2.0, 'off': 0.0, 'from': 1, 'to': 3}
    """
    count, mean_x = len(points), sum(x for x, _y in points) / len(points)
    mean_y = sum(y for _x, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _y in points)
    rise = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread if spread else 0.0
    start = mean_y - rise * mean_x
    top = max(abs(y) for _x, y in points) or 1.0
    off = max(abs(start + rise * x - y) for x, y in points) / top
    return {
        "intercept": float(f"{start:.4g}"),
        "slope": float(f"{rise:.4g}"),
        "off": round(off, 3),
        "from": min(x for x, _y in points),
        "to": max(x for x, _y in points),
    }


def fits(runs: list[dict], base: tuple[int, int, int]) -> dict:
    """The slope of each figure along each count, the other two at their base."""
    found = {}
    for place, name in enumerate(("poolers", "backends", "routes")):
        along = [
            run
            for run in runs
            if all(
                (run["poolers"], run["backends"], run["routes"])[other] == base[other]
                for other in range(3)
                if other != place
            )
        ]
        found[name] = {
            f"{role} {figure}": slope([(run[name], run["quiet"][role][figure]) for run in along])
            for role in ("controllers", "poolers")
            for figure in (
                "cpu_s",
                "messages_in",
                "messages_out",
                "bytes_in",
                "bytes_out",
                "rss_kb",
            )
        }
        found[name]["news last_s"] = slope([(run[name], run["change"]["last_s"]) for run in along])
        found[name]["news bytes_in"] = slope(
            [(run[name], run["change"]["bytes_in"]) for run in along]
        )
    return found


def main(
    *,
    poolers: list[int] = [50, 100, 200, 400],
    backends: list[int] = [60, 300, 900],
    routes: list[int] = [90, 900, 2700],
    sessions: list[int] = [100, 500, 1000, 2000],
    seconds: float = 6.0,
    out: str = "docs/capacity.json",
    small: bool = False,
) -> int:
    """Measures slopes over real controllers and hollow poolers on loopback; ends all that it starts.

    :param poolers: how many poolers, one fleet after the other; the first is the base of the other counts
    :param backends: how many backends
    :param routes: how many routes
    :param sessions: how many sessions on one real pooler
    :param seconds: how long each fleet is watched
    :param out: the file for the figures
    :param small: a small run, whatever the counts
    """
    if small:
        poolers, backends, routes, sessions, seconds = [6, 12], [6, 12], [6, 12], [5, 10], 1.0
    wrong = check(poolers, backends, routes, sessions) or (
        "" if 0 < seconds <= 60 else "seconds must be above 0, 60 at most"
    )
    if wrong:
        print(f"capacity: {wrong} (code 1500)", file=sys.stderr)
        return USAGE
    from . import load

    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 20_000), hard))
    base = (poolers[0], backends[0], routes[0])
    sizes = dict.fromkeys(
        [
            *((count, *base[1:]) for count in poolers),
            *((base[0], count, base[2]) for count in backends),
            *((*base[:2], count) for count in routes),
        ]
    )
    runs = []
    for size in sizes:
        runs.append(one(*size, seconds))
        print(json.dumps(runs[-1]), flush=True)
    real = load.run([(count, 0.05 if count < 200 else count / 4000) for count in sessions], seconds)
    result = {
        "controllers": fleets.CONTROLLERS,
        "seconds": seconds,
        "runs": runs,
        "slopes": fits(runs, base),
        "pooler": {
            "runs": real,
            "cpu_s a statement": slope([(one["statements"], one["cpu_s"]) for one in real]),
            "rss_kb a session": slope([(one["sessions"], one["rss_kb"]) for one in real]),
        },
    }
    with open(out, "w", encoding="utf-8") as file:
        json.dump(result, file, indent=1)
    print(f"capacity: {len(runs)} fleets and {len(real)} loads measured, figures in {out}")
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    return 0


if __name__ == "__main__":
    import defopt

    sys.exit(defopt.run(main, no_negated_flags=True))
