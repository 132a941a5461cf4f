"""Second losses: who goes and who comes, planned, unplanned and midway, by tables and seeded schedules."""

import pytest

from sumacloom.consensus.codec import decode
from sumacloom.consensus.contact import PeerState
from sumacloom.consensus.quorum import QuorumConfiguration
from sumacloom.controller.registers.configuration import ConfigurationValue, put_configuration
from sumacloom.transport.messages import PeerHeartbeat

from .test_voters import ControllerCluster

A, B, C, D, E = (f"10.0.0.{number}" for number in range(1, 6))
NEW, OTHER = "10.0.0.8", "10.0.0.9"
CATCHUP_S = 4.0


class Fleet(ControllerCluster):
    """A land whose controllers also freeze and thaw, leave in order, and are asked to decide."""

    ver = 1

    def __init__(self, *rest, **named):
        self.frozen, self.backlog = {}, []
        super().__init__(*rest, **named)

    def mail(self, ip, node, message):
        if node in self.frozen:
            self.backlog.append((ip, node, message))

    def freeze(self, ip):
        self.frozen[ip] = self.cores.pop(ip)

    def thaw(self, ip):
        self.cores[ip] = self.frozen.pop(ip)
        late = [entry for entry in self.backlog if entry[1] == ip]
        self.backlog = [entry for entry in self.backlog if entry[1] != ip]
        for sender, _ip, message in late:
            self.cores[ip].receive(sender, message, self.now)

    def join(self, ip):
        self.seeds = sorted(self.cores)[:3]
        self.start(ip)

    def leave(self, ip, most_s=4.0):
        """SIGTERM: says that it leaves, and ends once it may; gives how long that took."""
        one, since = self.cores[ip], self.now
        one.settings.voting = False
        one.heartbeat_sent_at = one.full_heartbeat_at = -1e9
        while self.now - since < most_s:
            self.step()
            if one.reconfiguration.may_leave(self.now):
                break
        self.kill(ip)
        return self.now - since

    def until(self, voters, most_s):
        """How long until all know these voters as settled."""
        since, voters = self.now, tuple(sorted(voters))
        while any(found.new != voters or found.old for found in self.quorums().values()):
            assert self.now - since < most_s, self.quorums()
            self.step()
        return self.now - since

    def decides(self, most_s=2.5):
        """Whether a change is decided within the bound, at whichever controller the caller asks next."""
        since = self.now
        while self.now - since < most_s:
            for ip in sorted(self.cores):
                base = max(
                    decode(ConfigurationValue, one.committed["blueprint"][1]).ver
                    if "blueprint" in one.committed
                    else 0
                    for one in self.cores.values()
                )
                self.ver = max(self.ver, base) + 1
                proposal = self.cores[ip].propose(
                    "blueprint",
                    put_configuration(self.ver, b'{"ver": %d}' % self.ver, base),
                    self.now,
                )
                while proposal.outcome is None:
                    self.step()
                if proposal.outcome.succeeded:
                    return True
        return False


# ---------------------------------------------------------------- who is to vote
WANTED = [
    # (voters, silent: voter to seconds, leaving, newcomers, tolerated, who is wanted)
    (
        (A, B, C),
        {A: 2.0, C: 8.0},
        (),
        (NEW,),
        1,
        (A, B, NEW),
    ),  # the longest dead goes, not the first by name
    ((A, B, C), {A: 8.0, C: 2.0}, (), (NEW,), 1, (B, C, NEW)),
    ((A, B, C), {A: 1.5}, (), (NEW,), 1, (A, B, C, NEW)),  # a short freeze takes nobody out
    ((A, B, C), {A: 3.0}, (C,), (NEW,), 1, (A, B, NEW)),  # who leaves goes before who may come back
    ((A, B, C), {A: 8.0}, (), (), 1, (A, B, C)),  # never fewer than must be
    ((A, B, C), {}, (C,), (), 1, (A, B, C)),
    ((A, B, C, D), {C: 8.0}, (), (), 1, (A, B, D)),  # an even number with one gone
    ((A, B, C, D), {A: 1.5, C: 8.0}, (), (), 1, (A, B, D)),
    ((A, B, C, D, E), {A: 3.0, E: 9.0}, (), (NEW,), 2, (A, B, C, D, NEW)),
    ((A, B, C, D, E), {A: 3.0, E: 9.0}, (), (NEW, OTHER), 2, (B, C, D, NEW, OTHER)),
    ((A, B, C, D, E), {D: 9.0, E: 9.0}, (), (), 2, (A, B, C, D, E)),
]


def placed(voters, silent, leaving, fresh, nodes):
    """The controller B in a fleet that stands so, at 100 s."""
    cluster = ControllerCluster(1, nodes=nodes)
    one = cluster.cores[B]
    one.acceptor.quorum = QuorumConfiguration(7, (), voters)
    for ip in {*voters, *fresh} - {B}:
        heartbeat = PeerHeartbeat(
            None,
            None,
            {},
            {},
            [peer for peer in voters if peer not in silent],
            None,
            0,
            True,
            voting=ip not in leaving,
        )
        one.peers[ip] = PeerState(100.0 - silent.get(ip, 0.0), heartbeat)
    one.reconfiguration.unheard_since = {
        ip: 100.0 - since + 1.1 for ip, since in silent.items() if since > 1.1
    }
    return one


@pytest.mark.parametrize(("voters", "silent", "leaving", "fresh", "nodes", "expected"), WANTED)
def test_who_is_wanted(voters, silent, leaving, fresh, nodes, expected):
    """Found: the unheard went in the order of their names."""
    assert placed(voters, silent, leaving, fresh, nodes).reconfiguration.wanted_voters(
        100.0
    ) == tuple(sorted(expected))


def test_one_that_has_only_just_started_goes_by_when_it_heard_them():
    one = placed((A, B, C), {A: 2.0, C: 8.0}, (), (NEW,), 1)
    one.reconfiguration.unheard_since = {A: 99.0, C: 99.0}  # it began to watch both at once
    assert one.reconfiguration.wanted_voters(100.0) == (A, B, NEW)


BETTERS = [
    # (voters, silent, leaving, newcomers, tolerated, target, whether it is for the better)
    (
        (A, B, C),
        {C: 1.5},
        (),
        (NEW,),
        1,
        (A, B, C, NEW),
        False,
    ),  # beside a silent one a vote more is a vote that's missed
    ((A, B, C), {C: 3.0}, (), (NEW,), 1, (A, B, NEW), True),
    ((A, B, C), {}, (), (NEW,), 1, (A, B, C, NEW), True),
    ((A, B, C, D), {}, (C,), (), 1, (A, B, D), True),
    ((A, B, C, D, E), {E: 1.5}, (), (NEW,), 2, (A, B, C, D, E, NEW), False),
    ((A, B, C, D, E), {E: 3.0}, (D,), (NEW,), 2, (A, B, C, E, NEW), True),
    ((A, B, C), {}, (), (D, E), 2, (A, B, C, D, E), True),
]


@pytest.mark.parametrize(
    ("voters", "silent", "leaving", "fresh", "nodes", "target", "expected"), BETTERS
)
def test_what_is_for_the_better(voters, silent, leaving, fresh, nodes, target, expected):
    assert (
        placed(voters, silent, leaving, fresh, nodes).reconfiguration.is_improvement(target, 100.0)
        is expected
    )


# ---------------------------------------------------------------- schedules
@pytest.mark.parametrize("lost", [A, B, NEW])
@pytest.mark.parametrize("after_s", [0.0, 0.7, 2.0])
def test_a_second_loss_right_after_the_newcomers_time(after_s, lost):
    """Unplanned: C is dead, its successor comes; its time over, any one of the rest is lost."""
    cluster = Fleet(int(after_s * 10), loss=0.03)
    cluster.run(3.0)
    cluster.kill(C, disk=False)
    cluster.run(after_s)
    cluster.join(NEW)
    cluster.run(CATCHUP_S)
    cluster.kill(lost, disk=False)
    assert cluster.decides()


@pytest.mark.parametrize("lost", [A, B, NEW])
@pytest.mark.parametrize("midway_s", [0.1, 0.4, 0.8])
def test_a_loss_midway_of_a_planned_replacement(midway_s, lost):
    """The newcomer has had its time; the old one says that it leaves, and another is lost before it has gone."""
    cluster = Fleet(int(midway_s * 10), loss=0.03)
    cluster.run(3.0)
    cluster.join(NEW)
    cluster.run(CATCHUP_S)
    step, left, since = cluster.step, [], cluster.now

    def strike():
        step()
        if not left and cluster.now - since >= midway_s:
            left.append(lost)
            cluster.kill(lost, disk=False)

    cluster.step = strike
    assert cluster.leave(C) <= 4.0
    cluster.run(0.2)
    assert left and cluster.decides()


@pytest.mark.parametrize("seed", range(6))
def test_one_that_leaves_goes_only_when_a_majority_knows_that_it_does_not_vote(seed):
    """Found: the last word of the one that moved itself out may be lost with the next voter, and nobody can settle."""
    cluster = Fleet(seed, loss=0.05)
    cluster.run(3.0)
    cluster.join(NEW)
    cluster.run(CATCHUP_S)
    cluster.leave(A)
    cluster.kill([B, C, NEW][seed % 3])
    assert cluster.decides()


@pytest.mark.parametrize("learning_s", [0.3, 1.0])
def test_one_that_leaves_waits_for_a_newcomer_that_is_still_learning(learning_s):
    cluster = Fleet(3)
    cluster.run(3.0)
    cluster.deaf = {(ip, NEW) for ip in (A, B, C)}  # it is heard, and can't learn yet
    cluster.join(NEW)
    cluster.run(0.6)
    step, until = cluster.step, cluster.now + learning_s

    def hear_again():
        step()
        if cluster.now >= until:
            cluster.deaf = set()

    cluster.step = hear_again
    assert cluster.leave(A) >= learning_s
    cluster.run(1.0)
    assert cluster.quorums()[B] == cluster.quorums()[C] and cluster.quorums()[B].new == (B, C, NEW)
    assert not cluster.quorums()[B].old


@pytest.mark.parametrize("seed", [12, 25, 27])
def test_a_joint_configuration_is_settled_soon_though_its_mover_is_dead(seed):
    """Found: three movers at once outbid one another, and after 9 s the old set still had its say."""
    cluster = Fleet(seed)
    cluster.run(3.0)
    cluster.decides()
    cluster.join(NEW)
    cluster.run(1.5)
    cluster.kill(A, disk=False)
    assert cluster.until((B, C, NEW), 6.0) <= 6.0


@pytest.mark.parametrize("lost_at", [0.1, 0.3, 0.5, 0.7, 0.9, 1.1, 1.4])
def test_the_mover_is_frozen_at_any_step(lost_at):
    """A newcomer is on its way in; the one that moves it freezes and thaws with a backlog."""
    cluster = Fleet(int(lost_at * 10))
    cluster.run(3.0)
    cluster.join(NEW)
    while not cluster.cores[NEW].acceptor.recovered:
        cluster.step()
    cluster.run(lost_at)
    cluster.freeze(A)
    cluster.run(2.6)
    assert cluster.decides()
    cluster.thaw(A)
    cluster.run(CATCHUP_S)
    assert all(one.is_voter and not one.acceptor.quorum.old for one in cluster.cores.values())
    cluster.kill(B, disk=False)
    assert cluster.decides()


@pytest.mark.parametrize("seed", range(3))
def test_one_cut_off_and_replaced_comes_back(seed):
    cluster = Fleet(seed)
    cluster.run(3.0)
    assert cluster.decides()
    cluster.partitioned = {frozenset((C, ip)) for ip in (A, B, NEW)}
    cluster.run(0.5)
    cluster.seeds = [A, B, C]
    cluster.start(NEW)
    cluster.run(CATCHUP_S)
    assert cluster.quorums()[A].new == (A, B, NEW) and cluster.quorums()[C].new == (A, B, C)
    cluster.partitioned = set()
    cluster.until((A, B, C, NEW), CATCHUP_S)
    cluster.kill(A)
    assert cluster.decides()


@pytest.mark.parametrize(("nodes", "seeds", "others"), [(1, 3, 1), (1, 3, 0), (2, 3, 2), (2, 3, 3)])
def test_after_their_time_any_further_loss_that_is_tolerated_leaves_a_majority(
    nodes, seeds, others
):
    """Every choice of the next loss, after each of a row of strikes."""
    rows = [f"10.0.0.{number}" for number in range(1, seeds + others + 1)]
    strikes = ["none", "dead", "disk", "freeze", "deaf"]
    for number, strike in enumerate(strikes):
        for shift in range(0, len(rows), 2):
            cluster = Fleet(number, seeds=seeds, others=others, nodes=nodes)
            cluster.run(CATCHUP_S)
            first = rows[(number + shift) % len(rows)]
            spared = set()
            if strike == "dead":  # for good: what comes next is one of those that are left to lose
                cluster.kill(first, disk=False)
                spared = {first}
                if len(rows) == 2 * nodes + 1:
                    cluster.join(NEW)
            elif strike == "disk":
                cluster.kill(first, disk=False)
                cluster.start(first)
            elif strike == "freeze":
                cluster.freeze(first)
                cluster.run(3.0)
                cluster.thaw(first)
            elif strike == "deaf":
                cluster.deaf = {(first, ip) for ip in rows if ip != first}
                cluster.run(3.0)
                cluster.deaf = set()
            cluster.run(CATCHUP_S)
            living = [ip for ip in cluster.cores if ip not in spared]
            for lost in range(nodes):
                cluster.kill(living[(shift + lost) % len(living)], disk=False)
            assert cluster.decides(), (strike, first, cluster.quorums())
