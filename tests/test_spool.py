"""The only copy: an intent is on two disks before its counter hears of it, and a registrar that leaves hands it over."""

import msgspec
import pytest

from sumacloom.controller.delivery.log import may_leave, take_intent, unhanded
from sumacloom.transport.messages import Held, Intent

from .test_membership import NEW, A, B, C, Fleet


class Post(Fleet):
    """A fleet that notes what its counters hear, and on how many disks each intent was then."""

    def __init__(self, *rest, **named):
        self.held, self.numbers = [], 0
        super().__init__(*rest, **named)

    def mail(self, ip, node, message):
        super().mail(ip, node, message)
        if isinstance(message, Held):
            self.held.append((message.number, self.now, self.holders(message.number)))

    def holders(self, number):
        return [
            ip
            for ip, disk in self.disks.items()
            if any(
                found[0] == "spooled" and found[3] == number
                for found in map(msgspec.msgpack.decode, disk.kept)
            )
        ]

    def intend(self, ip):
        self.numbers += 1
        take_intent(
            self.offices[ip],
            "edge-1",
            Intent(7, self.numbers, "books", "PUT a b", "edge-1"),
            self.now,
        )
        return self.numbers

    def spare_of(self, ip):
        """Who is asked first for a copy."""
        return self.offices[ip].spool.entries[(7, "books", self.numbers)].place


@pytest.mark.parametrize("home", [A, B, C])
@pytest.mark.parametrize("trouble", ["none", "stuck", "dead", "deaf"])
def test_a_counter_hears_of_its_intent_only_once_two_disks_hold_it(trouble, home):
    """Found: one disk was enough after 0.2 s of silence, though a third registrar was there."""
    land = Post(4, loss=0.0)
    land.run(3.0)
    land.intend(home)
    spare = land.spare_of(home)
    land.offices[home].outbox.clear()  # it is lost on its way, whoever it was for
    if trouble == "stuck":
        land.stuck.add(spare)
    elif trouble == "dead":
        land.kill(spare)
    elif trouble == "deaf":
        land.deaf = {(home, spare)}
    asked = land.now
    land.run(0.6)
    ((_number, at, holders),) = land.held
    assert at - asked <= 0.6 and len(holders) >= 2, (trouble, holders)
    assert trouble == "none" or spare not in holders


def test_where_nobody_else_is_heard_one_disk_must_do_and_a_write_goes_on():
    land = Post(5)
    land.run(3.0)
    land.cut = {frozenset((A, ip)) for ip in (B, C)}
    number = land.intend(A)
    land.run(0.6)
    assert not land.held  # they may yet be there: the write is refused unsent
    land.run(1.5)
    land.intend(A)
    land.run(0.3)
    assert land.held[-1][0] == number + 1 and land.held[-1][2] == [A]
    land.cut = set()
    land.run(2.5)
    assert len(land.holders(number)) >= 2 and len(land.holders(number + 1)) >= 2


def test_a_counter_that_waits_is_answered_once_nobody_else_is_heard_any_more():
    land = Post(8)
    land.run(3.0)
    land.cut = {frozenset((A, ip)) for ip in (B, C)}
    while min(land.now - land.offices[A].heard_at(ip, land.now) for ip in (B, C)) < 0.8:
        land.step()
    number = land.intend(A)
    assert land.spare_of(A)  # one was still asked
    land.run(0.6)
    assert [(held, holders) for held, _at, holders in land.held] == [(number, [A])]


@pytest.mark.parametrize("lost", ["spare", "home"])
def test_a_lost_copy_is_made_good_so_that_a_second_loss_is_borne(lost):
    land = Post(6)
    land.run(3.0)
    number = land.intend(A)
    spare = land.spare_of(A)
    land.run(1.0)
    gone, keeps = (spare, A) if lost == "spare" else (A, spare)
    land.kill(gone, disk=False)
    land.join(NEW)
    land.run(4.0)
    land.kill(keeps, disk=False)
    assert land.holders(number)


@pytest.mark.parametrize("stuck", [False, True])
def test_one_that_leaves_hands_over_what_it_alone_holds(stuck):
    """Found: a registrar that was stopped ended at once, and its machine took the only copy with it."""
    land = Post(7)
    land.run(3.0)
    land.cut = {frozenset((A, ip)) for ip in (B, C)}
    land.run(1.5)
    number = land.intend(A)
    land.run(0.3)
    land.cut = set()
    land.stuck |= {B, C} if stuck else set()
    one = land.offices[A]
    while not one.heard_majority(land.now):
        land.step()
    one.settings.voting = False
    one.beaten_at = -1e9
    since = land.now
    while land.now - since < 4.0 and not may_leave(one, land.now):
        land.step()
    assert bool(unhanded(one)) is stuck and (land.now - since >= 4.0) is stuck
    land.kill(A, disk=False)
    land.run(0.5)
    assert bool(land.holders(number)) is not stuck
