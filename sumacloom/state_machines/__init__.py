"""State charts as data files, and the small interpreter that runs them.

A chart file is JSON: {"start": STATE, "states": {STATE: {EVENT: [NEXT, ACTION, ...]}}}.
The state "*" holds the events that every state takes.
"""

import json
import os
from functools import cache
from typing import NamedTuple


class Chart(NamedTuple):
    """A chart as read from its file.

    >>> load_chart("replica_health").start
    'outside'
    """

    name: str
    start: str
    states: dict

    def step(self, state: str, event: str) -> tuple[str, list[str]]:
        """The next state and the actions to do; an event the state doesn't know changes nothing.

        >>> load_chart("replica_health").step("inside", "hard")[0]
        'outside'
        """
        line = self.states[state].get(event) or self.states.get("*", {}).get(event)
        return (line[0], line[1:]) if line else (state, [])


@cache
def load_chart(name: str) -> Chart:
    """Reads and checks the chart file of that name.

    >>> load_chart("graceful_shutdown").start
    'serving'
    """
    path = os.path.join(os.path.dirname(__file__), name + ".json")
    with open(path, encoding="utf-8") as file:
        data = json.load(file)
    states = data["states"]
    unknown = [
        line[0] for events in states.values() for line in events.values() if line[0] not in states
    ]
    if unknown or data["start"] not in states:
        raise ValueError(f"chart {name}: unknown states {unknown}")
    return Chart(name, data["start"], states)
