"""The version in production and today's run in one fleet, and each goes on from the other's disks."""

from collections import Counter
from signal import SIGKILL

from sumacloom.daemon import run_to_end
from sumacloom.release import release

from .daemon_logs import find_errors
from .fleet_members import CONTROLLER, POOLER
from .loopback_fleet import NUMBERS, Network
from .mixed_fleet import MixedFleet
from .paths import ROOT

NETWORK = Network(9)


async def upgrade_and_go_back(fleet, old, new):
    """One member at a time, with changes, an undo and deaths on the way, first up and then back."""
    await fleet.begin(old)
    await fleet.change_and_undo()
    for sources, (first, second, third) in ((new, NUMBERS), (old, NUMBERS[::-1])):
        await fleet.replace(CONTROLLER, first, sources)
        await fleet.replace(POOLER, first, sources)
        await fleet.change_and_undo()
        await fleet.lose_primary()
        await fleet.replace(CONTROLLER, second, sources, by=SIGKILL)
        await fleet.change_and_undo()
        assert len(set((await fleet.releases()).values())) == 2
        for role, number in ((POOLER, second), (CONTROLLER, third), (POOLER, third)):
            await fleet.replace(role, number, sources)
        await fleet.change_and_undo()
        assert len(set((await fleet.releases()).values())) == 1
        await fleet.serves()
    await fleet.members.stop_all()


def test_no_write_is_lost_or_doubled_while_the_release_changes_up_and_back(
    production_sources, tmp_path
):
    fleet = MixedFleet(tmp_path, NETWORK)
    try:
        run_to_end(lambda: upgrade_and_go_back(fleet, production_sources, ROOT))
    except BaseException:
        print(fleet.members.log_tails())
        raise
    finally:
        fleet.members.kill_all()
    assert fleet.members.wrong_ends == []
    times_written = Counter(fleet.written())
    assert [thing for thing in fleet.acknowledged if times_written[thing] != 1] == []
    assert [thing for thing, times in times_written.items() if times > 1] == []
    assert len(fleet.acknowledged) > len(NUMBERS) * 100
    logs = "".join(fleet.members.logs().values())
    assert list(find_errors(logs)) == []
    assert "left behind by an earlier promotion" not in logs
    assert f"{release()} starts" in logs
