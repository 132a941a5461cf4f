"""The world of nodes as a state machine: the steps are drawn, and shrunk to the fewest that break an invariant."""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from .walk import STEPS
from .world import NodeWorld

BOUNDED = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=25,
    stateful_step_count=25,
    suppress_health_check=list(HealthCheck),
)
NUMBERS = st.integers(0, 10**4)
QUICK = ["deliver", "double", "drop", "sync", "tick"]
ORDERS = ["put", "race", "put_again", "claim", "read"]
LOSSES = ["crash", "wipe", "replace", "cut", "frozen"]


class Agreement(RuleBasedStateMachine):
    """Three real nodes; the world itself raises a violation as soon as one is decided."""

    @initialize(seed=st.integers(0, 100))
    def begin(self, seed):
        self.world = NodeWorld(seed)
        self.world.busy(60)

    @rule(name=st.sampled_from(QUICK), number=NUMBERS)
    def quick(self, name, number):
        STEPS[name](self.world, number)

    @rule(name=st.sampled_from(ORDERS), number=NUMBERS)
    def order(self, name, number):
        STEPS[name](self.world, number)

    @rule(name=st.sampled_from(LOSSES), number=NUMBERS)
    def lose(self, name, number):
        STEPS[name](self.world, number)

    @rule(ticks=st.sampled_from([1, 5, 20, 60]))
    def busy(self, ticks):
        self.world.busy(ticks)

    @invariant()
    def one_chain(self):
        """What every node holds for decided is what was decided."""
        if hasattr(self, "world"):
            for node in self.world.nodes.values():
                for key, (proposal_number, value) in node.committed.items():
                    assert self.world.committed[(key, tuple(proposal_number))] == value

    def teardown(self):
        if hasattr(self, "world"):
            self.world.heal()
