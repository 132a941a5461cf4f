"""State machines as tables in JSON files, and the small interpreter that runs them.

A file is {"start": STATE, "states": {STATE: {EVENT: [NEXT, ACTION, ...]}}}. The state "*" holds the events
that every state takes.
"""

import json
import os
from functools import cache
from typing import NamedTuple

ANY_STATE = "*"


class Transition(NamedTuple):
    """The next state, and the actions to carry out."""

    state: str
    actions: list[str]


class StateMachine(NamedTuple):
    """A state machine as read from its file."""

    name: str
    start: str
    states: dict[str, dict[str, list[str]]]

    def step(self, state: str, event: str) -> Transition:
        """The transition that an event makes; one that the state doesn't know changes nothing.

        >>> load_state_machine("replica_health").step("inside", "hard").state
        'outside'
        """
        line = self.states[state].get(event) or self.states.get(ANY_STATE, {}).get(event)
        return Transition(line[0], line[1:]) if line else Transition(state, [])


@cache
def load_state_machine(name: str) -> StateMachine:
    """Reads and checks the file of that name.

    >>> load_state_machine("graceful_shutdown").start
    'serving'

    Raises:
        ValueError: a transition leads to a state that isn't there.
    """
    path = os.path.join(os.path.dirname(__file__), name + ".json")
    with open(path, encoding="utf-8") as file:
        data = json.load(file)
    states = data["states"]
    targets = {line[0] for events in states.values() for line in events.values()}
    unknown = sorted((targets | {data["start"]}) - set(states))
    if unknown:
        raise ValueError(f"state machine {name}: unknown states {unknown}")
    return StateMachine(name, data["start"], states)
