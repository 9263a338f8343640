"""Files that earlier versions wrote are read with the same result as then."""

import json
import pathlib
import shutil

import pytest
from support.stepped_time import SteppedTime

from dunepulley.agent import acceptor_store, drain_file
from dunepulley.control import drains
from dunepulley.control.caspaxos import Ballot

DATA = pathlib.Path(__file__).parents[1] / "data" / "agent"
EXPECTED = json.loads((DATA / "stored-forms-expected.json").read_text())
DRAIN_FILES = sorted(EXPECTED["drains"])
CLOCKS = EXPECTED["clocks"]


def clock_of(readings):
    """A clock that was started at these readings, and whose wall clock was stepped afterwards."""
    if readings is None:
        return None
    monotonic_ms, wall_ms, boot, step_ms = readings
    source = SteppedTime(monotonic_ms, wall_ms, boot)
    clock = source.clock()
    source.step(step_ms)
    return clock


def plain_drain(drain):
    expires_ms = None if drain.expires_ms == drains.INFINITY else drain.expires_ms
    texts = [drain.target_kind, drain.target, drain.operator, drain.reason]
    return [*texts, drain.started_ms, expires_ms, drain.revision]


def plain(drain_set):
    """A set in the form of the file of expected results."""
    return {
        "epoch": drain_set.epoch,
        "revision": drain_set.revision,
        "drains": [plain_drain(drain) for drain in drain_set.drains],
        "ended": [
            [plain_drain(ended.drain), ended.ended_ms, ended.operator, ended.reason]
            for ended in drain_set.ended
        ],
    }


@pytest.mark.parametrize("clock_name", CLOCKS)
@pytest.mark.parametrize("name", DRAIN_FILES)
def test_drains_file_of_an_earlier_version_is_read_with_the_same_result(name, clock_name):
    drain_set = drain_file.load(str(DATA / name), 0.0, clock_of(CLOCKS[clock_name]))
    assert plain(drain_set) == EXPECTED["drains"][name][clock_name]


@pytest.mark.parametrize("name", ["drains-by-unix-time.json", "drains-by-time-left.json"])
def test_rewritten_drains_file_is_byte_for_byte_the_same(tmp_path, name):
    source = SteppedTime()
    clock = source.clock() if "time-left" in name else None
    path = str(tmp_path / "drains.json")
    drain_file.save(path, drain_file.load(str(DATA / name), 0.0, clock), clock)
    assert (tmp_path / "drains.json").read_bytes() == (DATA / name).read_bytes()


def test_every_stored_drains_file_has_an_expected_result():
    assert sorted([path.name for path in DATA.glob("drains-*.json")]) == DRAIN_FILES


def test_acceptor_file_of_an_earlier_version_can_be_read_and_updated(tmp_path):
    path = str(tmp_path / "acceptor.votes")
    shutil.copy(DATA / "acceptor.votes", path)
    store = acceptor_store.AcceptorStore(path, "h1", 3)
    store.open()
    state = store.state
    assert {
        "promised": list(state.promised),
        "accepted": list(state.accepted),
        "value": state.value.decode(),
    } == EXPECTED["acceptor"]
    store.save(state._replace(promised=Ballot(8, "h1")))
    store.close()
    store.open()
    assert store.state.promised == Ballot(8, "h1") and store.state.accepted == state.accepted
    store.close()


def test_acceptor_file_of_an_earlier_version_is_bound_to_agent_and_epoch(tmp_path):
    path = str(tmp_path / "acceptor.votes")
    shutil.copy(DATA / "acceptor.votes", path)
    for name, epoch, message in (("h2", 3, "belongs to another agent"), ("h1", 4, "of epoch 3")):
        with pytest.raises(acceptor_store.AcceptorStoreError, match=message):
            acceptor_store.AcceptorStore(path, name, epoch).open()
