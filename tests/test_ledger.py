"""The ledger: old folders, damage told from a torn end, and every point at which it may be cut short."""
import os

from sumacloom.ledger.log import Ledger, pack


def write(folder, name, data):
    with open(os.path.join(folder, name), "wb") as file:
        file.write(data)


def read(folder, name):
    with open(os.path.join(folder, name), "rb") as file:
        return file.read()


# ---------------------------------------------------------------- folders of the first version
def test_a_folder_with_captures_still_opens_and_its_next_one_is_a_snapshot(tmp_path):
    folder = str(tmp_path)
    write(folder, "capture-3", pack(b"state"))
    write(folder, "log-3", pack(b"one") + pack(b"two"))
    ledger = Ledger(folder)
    assert ledger.payloads == [b"state", b"one", b"two"]
    ledger.append([b"three"])
    ledger.snapshot([b"new state"])
    ledger.close()
    assert sorted(os.listdir(folder)) == ["log-4", "snapshot-4"]
    assert Ledger(folder).payloads == [b"new state"]
