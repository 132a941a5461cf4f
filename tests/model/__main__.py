"""Runs the model for as long as asked: `python3 -m tests.model --seconds 60 --seed 7 --world nodes`."""

import argparse
import logging
import sys
import time

from ..libraries import install

install()
from .acceptors import WORLDS
from .explore import explore
from .faults import WITHOUT, taken_out
from .walk import walk


def main() -> int:
    parser = argparse.ArgumentParser(
        prog="tests.model", description="Searches the agreement for schedules that break it."
    )
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--world", choices=["nodes", *WORLDS], default="nodes")
    parser.add_argument("--without", choices=[*WITHOUT], help="a mechanism to take out, as a trial")
    parser.add_argument(
        "--once", action="store_true", help="only this seed, as to replay a violation"
    )
    asked = parser.parse_args()
    logging.getLogger("sumacloom").setLevel(logging.CRITICAL)
    with taken_out(asked.without):
        return nodes(asked) if asked.world == "nodes" else small(asked)


def small(asked) -> int:
    """One search of a small world, with one message doubled."""
    found = explore(
        WORLDS[asked.world](1 if asked.world == "loss" else 0, doubles=1),
        seconds=asked.seconds,
        seed=asked.seed,
    )
    print(
        f"world {asked.world}, seed {asked.seed}: {found.states} states, {found.steps} steps, "
        f"{'all that there are' if found.complete else 'not all that there are'}"
    )
    return export_state(found.violation, found.schedule)


def nodes(asked) -> int:
    """Walks with one seed after another until the time is up."""
    end, states, steps, acknowledged, seed = (
        time.monotonic() + asked.seconds,
        set(),
        0,
        0,
        asked.seed,
    )
    while True:
        walked = walk(seed)
        states |= walked.states
        steps, acknowledged, seed = (
            steps + walked.steps,
            acknowledged + walked.acknowledged,
            seed + 1,
        )
        if walked.violation or asked.once or time.monotonic() > end:
            break
    print(
        f"world nodes, seeds {asked.seed} to {seed - 1}: {len(states)} states, {steps} ticks, {acknowledged} orders acknowledged"
    )
    if walked.violation:
        print(f"again with: python3 -m tests.model --once --seed {seed - 1}")
    return export_state(walked.violation, walked.schedule)


def export_state(violation: str, schedule) -> int:
    if not violation:
        print("no violation")
        return 0
    print(f"violation: {violation}")
    for number, step in enumerate(schedule, 1):
        print(f"  {number}. {' '.join(map(str, step))}")
    return 1


if __name__ == "__main__":
    sys.exit(main())
