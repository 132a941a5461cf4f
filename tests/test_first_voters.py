"""Settings that disagree on who votes: one clear line, a numbered result or a safe behaviour, never two majorities."""

import pytest

from sumacloom.consensus.quorum import QuorumConfiguration
from sumacloom.errors import SumacloomError
from sumacloom.settings import parse_settings

from .test_membership import CATCHUP_S, NEW, A, B, C, D, E, Fleet


def started(seeds, silent=(), nodes=None):
    """Controllers that start for the first time, each with its own settings."""
    cluster = Fleet(3, seeds=0)
    for ip, named in seeds.items():
        cluster.seeds, cluster.nodes = list(named), (nodes or {}).get(ip, 1)
        cluster.start(ip, bootstrap=True)
        cluster.cores[ip].settings.voting = ip not in silent
    return cluster


def put_at(cluster, ip, ver):
    proposal = cluster.put(ip, ver, 0)
    while proposal.outcome is None:
        cluster.step()
    return proposal.outcome


FIRST_VOTERS = [
    # (seeds of each at the first start, where a put is tried at once, at how many of them it may be taken)
    ({A: (A, B, C), B: (A, B, C), C: (A, B, C)}, (A, B), 1),
    ({A: (A, B, C), B: (C, A, B), C: (B, C, A)}, (A, B), 1),  # another order is the same set
    ({A: (A, B, C), B: (A, B, C), C: (C, D, E)}, (A,), 1),
    ({A: (A, B, C), B: (B, C, D), C: (C, D, A), D: (D, A, B)}, (A, B, C, D), 0),  # no two agree
    (
        {A: (A, B, C), B: (A, B, C), C: (B, C, D), D: (B, C, D)},
        (A, D),
        2,
    ),  # two whole fleets, as their settings say
    ({A: (B, C), B: (B, C), C: (B, C)}, (A,), 1),  # its own address is not among them
    ({A: (A, A, A), B: (A, A, A)}, (B,), 1),
]


@pytest.mark.parametrize(("seeds", "tried", "most"), FIRST_VOTERS)
def test_a_vote_counts_only_for_who_counts_by_the_same_first_voters(seeds, tried, most):
    """Found: two sets of one version were one to the acceptors, and who was in both voted in both."""
    cluster = started(seeds)
    for ip, one in cluster.cores.items():

        def vote(peer, message, ip=ip, one=one, original=one._vote):
            count = len(one.outbox)
            original(peer, message)
            if one.outbox[count:] and type(one.outbox[-1][1]).__name__ in ("Promise", "Accepted"):
                assert set(cluster.cores[peer].seeds) == set(one.seeds)

        one._vote = vote
    cluster.run(0.1)
    outcomes = [put_at(cluster, ip, 10 + place) for place, ip in enumerate(tried)]
    assert sum(outcome.succeeded for outcome in outcomes) <= most
    assert most == 0 or any(outcome.succeeded for outcome in outcomes)


def test_disputed_first_voters_are_told_in_one_line_with_their_number(caplog, capsys):
    cluster = started({A: (A, B, C), B: (A, B, C), C: (C, D, A)})
    cluster.run(3.0)
    assert {ip: one.reconfiguration.disputed_peers for ip, one in cluster.cores.items()} == {
        A: {C},
        B: {C},
        C: {A, B},
    }
    said = caplog.text + "".join(capsys.readouterr())
    assert said.count("1315 ") == 4


def test_a_seed_that_does_not_vote_by_its_settings_goes_once_another_can_take_its_place():
    cluster = started({A: (A, B, C), B: (A, B, C), C: (A, B, C)}, silent=(C,))
    cluster.run(3.0)
    assert cluster.cores[A].acceptor.quorum.new == (A, B, C) and cluster.decides()
    cluster.join(NEW)
    cluster.until((A, B, NEW), CATCHUP_S)
    assert cluster.decides()


def test_where_what_is_borne_differs_the_most_that_a_voter_says_is_kept_to(caplog, capsys):
    """One that tolerates one loss would take the dead out of five; the next that tolerates two must not lose it."""
    everyone = (A, B, C, D, E)
    cluster = started(dict.fromkeys(everyone, everyone), nodes={A: 1, B: 2, C: 2, D: 2, E: 2})
    cluster.run(3.0)
    assert {one.reconfiguration.required_voters() for one in cluster.cores.values()} == {5}
    cluster.kill(E)
    cluster.run(CATCHUP_S)
    assert cluster.cores[A].acceptor.quorum.new == everyone
    said = caplog.text + "".join(capsys.readouterr())
    assert said.count("tolerate.nodes is 2 at 10.0.0.2 and 1 here") == 1


def test_a_seed_named_twice_has_one_vote():
    cluster = started({A: (A, A, B)})
    assert put_at(cluster, A, 4).error.name == "no_majority"
    assert cluster.cores[A].acceptor.quorum.new == (A, B)


def test_no_voters_are_no_majority():
    assert not QuorumConfiguration(0, (), ()).has_quorum([A]) and not QuorumConfiguration(
        0, (), ()
    ).intersects_every_quorum([A])
    cluster = started({A: ()})
    cluster.run(1.0)
    one = cluster.cores[A]
    assert (
        not one.has_quorum_contact(cluster.now)
        and not one.in_quorum(cluster.now)
        and not one.is_voter
    )
    assert put_at(cluster, A, 4).error.name == "no_majority"


SETTINGS = """
node = "core-1"
role = "registrar"
ip = "10.0.0.1"
az = "a"
datadir = "/tmp/nowhere"
voting = true
listen = { ctl = "10.0.0.1:80" }
"""


@pytest.mark.parametrize(
    ("more", "expected"),
    [
        ("seeds = []\nbootstrap = true", "deploy_invalid"),
        ("bootstrap = true", "deploy_invalid"),
        ("seeds = []\nbootstrap = false", ""),  # it waits for somebody to dial it
        (
            "seeds = ['10.0.0.2:80']\nbootstrap = true",
            "",
        ),  # voters beyond the seeds start with the seeds' list too
        ("seeds = ['10.0.0.2']\nbootstrap = true", "settings_invalid"),
    ],
)
def test_settings_that_name_no_first_voters(more, expected):
    try:
        parse_settings(more + SETTINGS, "controller")
        name = ""
    except SumacloomError as error:
        name = error.name
    assert name == expected
