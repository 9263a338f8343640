"""Folders that last, on disks that fail: errors of file calls, kills between any two of them, power loss."""

import asyncio
import contextlib
import errno
import json
import os
import resource
import signal
import socket
import sqlite3
from unittest import mock

import pytest
from support.dispatcher_process import DispatcherHost, free_port
from support.event_loop import on_loop, until
from support.faulty_files import FaultyFiles, FileCall, after_power_loss, kill_before_each_call, run_in_child

from dunepulley import trace_format
from dunepulley.agent import (
    acceptor_store,
    agent,
    config,
    ctl,
    drain_file,
    drain_store,
    fleet,
    fleet_acceptor,
    wire,
)
from dunepulley.agent.ctl import rendering
from dunepulley.agent.ctl.calls import AgentAnswer
from dunepulley.control import drain_json, drains
from dunepulley.control.caspaxos import AcceptorState, Ballot
from dunepulley.net import hot_restart, log, recorder
from dunepulley.net.counters import Counters

NOW = 1_000_000.0
OLD = drains.set_drain(
    drains.DrainSet(5.0), drains.Drain("zone", "a", "ana", "", 0.0, drains.INFINITY, 0), NOW
)
NEW = drains.set_drain(OLD, drains.Drain("kind", "big", "ben", "x" * 150, 0.0, drains.INFINITY, 0), NOW)
# What a disk does when it is full, and when it breaks.
ERRORS = [errno.ENOSPC, errno.EIO]


def folder_of(tmp_path, number):
    folder = tmp_path / f"walk{number}"
    folder.mkdir()
    return folder


def drains_path(folder):
    return str(folder / "drains.json")


# ---------------------------------------------------------------- drains: kills and power loss


@pytest.mark.parametrize("left_behind", [False, True])
@pytest.mark.parametrize("before", [None, OLD])
def test_a_kill_between_any_two_file_calls_leaves_the_old_drains_or_the_new(tmp_path, before, left_behind):
    none = drains.DrainSet(epoch=float(int(NOW)))

    def prepare(number):
        folder = folder_of(tmp_path, number)
        if before is not None:
            drain_file.save(drains_path(folder), before)
        if left_behind:
            (folder / "drains.json.new").write_bytes(b'{"epoch": 9.0, "revision": 9, "dra')
        return folder

    def look(folder, whole):
        found = drain_file.load(drains_path(folder), NOW)
        assert found in ([NEW] if whole else [before or none, NEW])
        # What the kill left is removed by the next write, also by that at the next start.
        drain_file.save(drains_path(folder), found)
        assert os.listdir(folder) == ["drains.json"]

    calls = kill_before_each_call(prepare, lambda folder: drain_file.save(drains_path(folder), NEW), look)
    # unlink, open, write, fsync, close, rename, and open, fsync, close of the folder
    assert calls >= 8


@pytest.mark.parametrize("before", [None, OLD])
def test_a_power_loss_after_any_file_call_leaves_the_old_drains_or_the_new(tmp_path, before):
    path = drains_path(tmp_path)
    if before is not None:
        drain_file.save(path, before)
    old = (tmp_path / "drains.json").read_bytes() if before is not None else None
    with FaultyFiles(tmp_path) as layer:
        drain_file.save(path, NEW)
    new = (tmp_path / "drains.json").read_bytes()
    for number in range(len(layer.calls)):
        assert after_power_loss(layer.calls[:number], path, old) <= {old, new}
    assert after_power_loss(layer.calls, path, old) == {new}


def test_the_model_of_power_loss_knows_a_missing_fsync():
    # Guards the test above: each fsync left out, of the file or of the folder, must show.
    with_all = ["open", "write", "fsync", "rename"]

    def calls(kinds, folder=True):
        told = [FileCall(kind, "/f/x.new", b"new!", "/f/x") for kind in kinds]
        return told + ([FileCall("open", "/f"), FileCall("fsync", "/f")] if folder else [])

    assert after_power_loss(calls(with_all), "/f/x", b"old") == {b"new!"}
    assert after_power_loss(calls(with_all, folder=False), "/f/x", b"old") == {b"old", b"new!"}
    assert b"" in after_power_loss(calls(["open", "write", "rename"]), "/f/x", b"old")


# ---------------------------------------------------------------- drains: errors


@pytest.mark.parametrize("number", ERRORS)
@pytest.mark.parametrize("kind", ["open", "write", "fsync", "close", "rename"])
def test_an_error_before_the_new_file_is_in_place_leaves_the_old_drains(tmp_path, kind, number):
    path = drains_path(tmp_path)
    drain_file.save(path, OLD)
    with FaultyFiles(tmp_path) as layer:
        layer.fail(kind, number, only=lambda name: name.startswith(path))
        for _ in range(3):
            with pytest.raises(drain_file.DrainFileError, match=os.strerror(number)) as told:
                drain_file.save(path, NEW)
            assert not isinstance(told.value, drain_file.NotDurableError)
        layer.mend()
        assert drain_file.load(path, NOW) == OLD and os.listdir(tmp_path) == ["drains.json"]
        drain_file.save(path, NEW)
    assert drain_file.load(path, NOW) == NEW


@pytest.mark.parametrize("number", ERRORS)
@pytest.mark.parametrize("kind", ["open", "fsync", "rename"])
def test_an_error_after_the_new_file_is_in_place_says_that_it_may_not_last(tmp_path, kind, number):
    path = drains_path(tmp_path)
    drain_file.save(path, OLD)
    with FaultyFiles(tmp_path) as layer:
        if kind == "rename":
            layer.fail(kind, number, done=True)
        else:
            layer.fail(kind, number, only=lambda name: name == str(tmp_path))
        with pytest.raises(drain_file.NotDurableError, match=os.strerror(number)):
            drain_file.save(path, NEW)
        layer.mend()
        assert drain_file.load(path, NOW) == NEW


def test_a_close_of_the_folder_that_fails_takes_nothing_back(tmp_path):
    with FaultyFiles(tmp_path) as layer:
        layer.fail("close", errno.EIO, only=lambda name: name == str(tmp_path))
        drain_file.save(drains_path(tmp_path), NEW)
    assert drain_file.load(drains_path(tmp_path), NOW) == NEW


@pytest.mark.parametrize("number", [errno.EIO, errno.EACCES, errno.EMFILE, errno.ENOTDIR])
def test_drains_that_cannot_be_read_begin_no_new_epoch_and_are_not_written_over(tmp_path, number):
    path = drains_path(tmp_path)
    drain_file.save(path, OLD)
    start = agent_file(tmp_path)
    with FaultyFiles(tmp_path) as layer:
        layer.fail("open", number)
        with pytest.raises(drain_file.DrainFileError, match="cannot use"):
            agent.Agent(start)
        layer.mend()
        assert layer.kinds() == [] and drain_file.load(path, NOW) == OLD


@pytest.mark.parametrize("whose", ["file", "folder"])
def test_after_an_fsync_that_failed_all_is_written_anew_to_a_new_file(tmp_path, whose):
    # The kernel drops pages whose write failed, and the next fsync of the same file finds nothing to say.
    path = drains_path(tmp_path)
    drain_file.save(path, OLD)
    with FaultyFiles(tmp_path) as layer:
        layer.fail("fsync", only=lambda name: (name == str(tmp_path)) == (whose == "folder"))
        with pytest.raises(drain_file.DrainFileError):
            drain_file.save(path, NEW)
        layer.mend()
        inodes = {each.inode() for each in os.scandir(tmp_path)}
        held = [open(each.path, "rb") for each in os.scandir(tmp_path)]  # so that no inode is used again
        layer.calls.clear()
        drain_file.save(path, NEW)
        for file in held:
            file.close()
    assert os.stat(path).st_ino not in inodes
    kinds = [call.kind for call in layer.calls if call.path == f"{path}.new"]
    assert [kind for kind in kinds if kind != "unlink"] == ["open", "write", "fsync", "close", "rename"]


# ---------------------------------------------------------------- drains: what the agent does then


def agent_file(folder):
    path = folder / "agent.toml"
    lines = [f'listen = "127.0.0.1:{free_port()}"', 'state = "drains.json"', "answer_s = 0.3"]
    lines += ["[[dispatcher]]", 'name = "n0"', f'console = "127.0.0.1:{free_port()}"']
    path.write_text("\n".join(lines) + "\n")
    return config.read(str(path))


@contextlib.asynccontextmanager
async def agent_in(folder):
    here = agent.Agent(agent_file(folder))
    await here.start()
    # With none that could leave it undone, the answer tells of the file alone.
    here.dispatchers.clear()
    try:
        yield here
    finally:
        await here.close()


async def ask(here, do="drain", kind="big", **more):
    """What the agent answers to a command on a kind, and the exit code and the lines of `ctl`."""
    what = {"do": do} | ({} if do == "drains" else {"what": "kind", "name": kind, "by": "ana"})
    what |= {"force": True, "limit_s": 0.05} | more
    told = await wire.ask(f"127.0.0.1:{here.port}", what, 5.0)
    answer = AgentAnswer(told)
    return told, ctl.code_of({"it": answer}), "\n".join(rendering.lines_of(do, answer))


@pytest.mark.parametrize("number", ERRORS)
@pytest.mark.parametrize("kind", ["open", "write", "fsync", "close", "rename"])
@on_loop
async def test_a_drain_that_could_not_be_written_is_refused_and_ctl_says_so(tmp_path, kind, number):
    async with agent_in(tmp_path) as here:
        await ask(here, kind="old")
        before = here.drains
        with FaultyFiles(tmp_path) as layer:
            layer.fail(kind, number, only=lambda name: name.startswith(here.config.drains_path))
            _, code, lines = await ask(here)
            assert code == ctl.ExitCode.REFUSED
            assert os.strerror(number) in lines and "nothing has changed" in lines
            assert (await ask(here, "restore", kind="old"))[1] == ctl.ExitCode.REFUSED
            layer.mend()
            # In force, in the file and told to the operator is the same: the drain before.
            assert here.drains == before == drain_file.load(here.config.drains_path, NOW)
            assert "in force, but" not in (await ask(here, "drains"))[2]
            assert (await ask(here))[1] == ctl.ExitCode.DONE
        assert here.drains == drain_file.load(here.config.drains_path, NOW) != before


@pytest.mark.parametrize("kind", ["fsync", "open"])
@on_loop
async def test_a_drain_that_may_not_last_is_in_force_written_later_and_ctl_says_so(
    tmp_path, monkeypatch, kind
):
    monkeypatch.setattr(drain_store, "WRITE_RETRY_S", 0.005)
    async with agent_in(tmp_path) as here:
        with FaultyFiles(tmp_path) as layer:
            layer.fail(kind, only=lambda name: name == str(tmp_path))
            told, code, lines = await ask(here)
            assert code == ctl.ExitCode.UNKNOWN and not told["ok"] and "in force, but cannot write" in lines
            assert "in force, but" in (await ask(here, "drains"))[2]
            assert here.drains == drain_file.load(here.config.drains_path, NOW) and here.drains.drains
            # While it lasts every attempt writes the whole file anew; then it is there for good.
            attempts = layer.kinds().count("rename")
            await until(lambda: layer.kinds().count("rename") > attempts + 2)
            layer.mend()
            await until(lambda: not here.drain_store.durability_error)
            assert "in force, but" not in (await ask(here, "drains"))[2]
            calls = list(layer.calls)
        last = max([at for at, call in enumerate(calls) if call.kind == "unlink" or call.kind == "rename"])
        assert [call.kind for call in calls[last:]][:3] == ["rename", "open", "fsync"]


@on_loop
async def test_drains_that_were_read_are_in_force_though_the_disk_is_full_at_the_start(tmp_path, monkeypatch):
    monkeypatch.setattr(drain_store, "WRITE_RETRY_S", 0.005)
    drain_file.save(drains_path(tmp_path), OLD)
    start = agent_file(tmp_path)
    with FaultyFiles(tmp_path) as layer:
        layer.fail("write", errno.ENOSPC)
        here = agent.Agent(start)
        await here.start()
        try:
            assert here.drains == OLD
            _, code, lines = await ask(here, "drains")
            assert "in force, but" in lines and "zone a" in lines
            assert (await ask(here))[1] == ctl.ExitCode.REFUSED
            layer.mend()
            await until(lambda: not here.drain_store.durability_error)
            assert (await ask(here))[0].get("unwritten") is None
        finally:
            await here.close()
    assert len(drain_file.load(drains_path(tmp_path), NOW).drains) == 2


@on_loop
async def test_a_drain_that_was_answered_outlasts_a_power_loss(tmp_path):
    # What a kill left beside the file is neither read nor kept.
    drain_file.save(drains_path(tmp_path), OLD)
    (tmp_path / "drains.json.new").write_bytes(b'{"epoch": 9.0, "revision": 9, "drains": []}')
    with FaultyFiles(tmp_path) as layer:
        async with agent_in(tmp_path) as here:
            assert here.drains == OLD and "drains.json.new" not in os.listdir(tmp_path)
            layer.calls.clear()
            assert (await ask(here))[1] == ctl.ExitCode.DONE
            calls = list(layer.calls)
            old, new = [drain_json.encode_drain_set(each) for each in (OLD, here.drains)]
    held = after_power_loss(calls, drains_path(tmp_path), json.dumps(old).encode())
    assert [json.loads(each) for each in held] == [new]


@on_loop
async def test_an_agent_with_no_file_yet_ends_at_once_where_it_cannot_write_one(tmp_path):
    start = agent_file(tmp_path)
    with FaultyFiles(tmp_path) as layer:
        layer.fail("fsync")
        here = agent.Agent(start)
        with pytest.raises(drain_file.DrainFileError):
            await here.start()
        await here.close()


@on_loop
async def test_an_agent_that_ends_writes_what_it_owes_once_more(tmp_path):
    with FaultyFiles(tmp_path) as layer:
        async with agent_in(tmp_path) as here:
            layer.fail("fsync", only=lambda name: name == str(tmp_path))
            await ask(here)
            layer.mend()
            assert here.drain_store.durability_error
            layer.calls.clear()
        assert layer.kinds().count("rename") == 1 and not here.drain_store.durability_error


# ---------------------------------------------------------------- votes: kills

BEFORE = AcceptorState(Ballot(3, "h2"), Ballot(2, "h1"), b'{"number":1}')
# Larger than the journal, so that a bound on file sizes can strike in either file.
AFTER = AcceptorState(Ballot(4, "h1"), Ballot(4, "h1"), b"v" * 30_000)


def votes_in(folder, name="h1", epoch=1):
    return acceptor_store.AcceptorStore(str(folder / "h1.votes"), name, epoch)


def made_votes(folder, *saved):
    """The path of a file in which these voters were saved."""
    made = votes_in(folder)
    made.make()
    for voter in saved:
        made.save(voter)
    made.close()
    return made.path


def read_votes(folder, epoch=1):
    again = votes_in(folder, epoch=epoch)
    again.open()
    again.close()
    return again.state


def test_a_kill_between_any_two_file_calls_of_a_new_file_leaves_none_or_a_whole_one(tmp_path):
    def look(folder, whole):
        if whole:
            assert read_votes(folder) == AcceptorState()
        elif not (folder / "h1.votes").exists():
            made_votes(folder)  # the operator types it again
            assert sorted(os.listdir(folder)) == ["h1.votes"]
        else:
            assert read_votes(folder) == AcceptorState()

    calls = kill_before_each_call(
        lambda number: folder_of(tmp_path, number), lambda folder: votes_in(folder).make(), look
    )
    assert calls >= 8


def test_a_kill_between_any_two_file_calls_of_a_new_epoch_leaves_the_old_file_or_the_new(tmp_path):
    def prepare(number):
        folder = folder_of(tmp_path, number)
        made_votes(folder, BEFORE)
        return folder

    def look(folder, whole):
        try:
            assert read_votes(folder) == BEFORE and not whole
            votes_in(folder, epoch=2).make()  # the operator types it again
        except acceptor_store.AcceptorStoreError:
            pass
        assert read_votes(folder, epoch=2) == AcceptorState()
        kept = acceptor_store.AcceptorStore(f"{folder}/h1.votes.epoch-before-2", "h1", 1)
        kept.open()
        assert kept.state == BEFORE
        kept.close()

    calls = kill_before_each_call(prepare, lambda folder: votes_in(folder, epoch=2).make(), look)
    assert calls >= 8


def kill_at_step(path, number, told):
    """Save in a process that is killed at the n-th step of SQLite's machine; whether it came to its end."""
    reading, writing = os.pipe()

    def work():
        one = acceptor_store.AcceptorStore(path, "h1", 1)
        one.open()
        left = [number]

        def step():
            left[0] -= 1
            if left[0] < 0:
                os.kill(os.getpid(), signal.SIGKILL)

        one.connection.set_progress_handler(step, 1)
        one.save(told)
        os.write(writing, b"told")

    status = run_in_child(work)
    os.close(writing)
    heard = os.read(reading, 10)
    os.close(reading)
    assert status in (0, signal.SIGKILL)
    return heard == b"told"


def test_a_kill_at_any_step_of_a_vote_leaves_the_old_vote_or_the_new(tmp_path):
    path = made_votes(tmp_path, BEFORE)
    for number in range(500):
        whole = kill_at_step(path, number, AFTER)
        found = read_votes(tmp_path)
        assert found == AFTER if whole else found in (BEFORE, AFTER)
        if whole:
            break
    assert whole and number > 3


def limited(size, action):
    """A bound on the size of files in this process: a write beyond it fails, or kills."""
    resource.setrlimit(resource.RLIMIT_CORE, (0, 0))
    signal.signal(signal.SIGXFSZ, action)
    resource.setrlimit(resource.RLIMIT_FSIZE, (size, resource.RLIM_INFINITY))


def test_a_kill_at_any_write_of_a_vote_leaves_the_old_vote_or_the_new(tmp_path):
    # Pages are 4096 bytes; the kernel ends the process at the write that passes the bound, in the journal or
    # in the file, in the middle of a page too.
    ends, killed, taken_back = [*range(0, 12_288, 1024), *range(12_288, 49_152, 6_000)], 0, 0
    for number, size in enumerate(ends):
        folder = folder_of(tmp_path, number)
        path = made_votes(folder, BEFORE)

        def work(path=path, size=size):
            one = acceptor_store.AcceptorStore(path, "h1", 1)
            one.open()
            limited(size, signal.SIG_DFL)
            one.save(AFTER)

        status = run_in_child(work)
        assert status == 0 or os.WTERMSIG(status) == signal.SIGXFSZ
        killed += status != 0
        taken_back += os.path.exists(f"{path}-journal")
        found = read_votes(folder)
        assert found == AFTER if status == 0 else found in (BEFORE, AFTER)
    assert killed > 10 and taken_back > 10 and status == 0


# ---------------------------------------------------------------- votes: errors


def test_a_vote_is_on_the_disk_for_good_before_it_is_told(tmp_path):
    # FULL leaves the removal of the journal to chance: where a power loss undoes it, the commit is undone.
    made_votes(tmp_path)
    one = votes_in(tmp_path)
    one.open()
    extra = 3
    assert one.connection.execute("pragma synchronous").fetchone() == (extra,)
    assert one.connection.execute("pragma journal_mode").fetchone() == ("delete",)
    one.close()


def test_a_vote_that_is_read_is_written_once_before_it_counts(tmp_path):
    # It may be there in memory alone: of a process that was killed, or after an fsync that failed.
    path = made_votes(tmp_path, BEFORE)

    def changes():
        with open(path, "rb") as file:
            return file.read()[24:28]  # SQLite's count of commits

    before = changes()
    read_votes(tmp_path)
    assert changes() != before

    def work():
        limited(0, signal.SIG_IGN)
        one = votes_in(tmp_path)
        with pytest.raises(acceptor_store.AcceptorStoreError, match="cannot write"):
            one.open()
        assert one.connection is None

    assert run_in_child(work) == 0


def test_a_write_that_fails_anywhere_leaves_a_vote_as_the_disk_has_it(tmp_path):
    failed = 0
    for number, size in enumerate([*range(0, 12_288, 1024), *range(12_288, 49_152, 6_000)]):
        folder = folder_of(tmp_path, number)
        path = made_votes(folder, BEFORE)

        def work(path=path, size=size):
            one = acceptor_store.AcceptorStore(path, "h1", 1)
            one.open()
            limited(size, signal.SIG_IGN)
            try:
                one.save(AFTER)
            except acceptor_store.AcceptorStoreError:
                # Not told, and nothing more is, until the file can be read and written again.
                assert one.state == BEFORE and one.connection is None
                with pytest.raises(acceptor_store.AcceptorStoreError):
                    one.save(AFTER)
                limited(resource.RLIM_INFINITY, signal.SIG_IGN)
                one.open()
                assert one.state in (BEFORE, AFTER)
                one.save(AFTER)
                assert one.state == AFTER
                os._exit(3)

        status = run_in_child(work)
        assert os.WEXITSTATUS(status) in (0, 3)
        failed += status != 0
        assert read_votes(folder) == AFTER
    assert failed > 10 and status == 0


@pytest.mark.parametrize("kind", ["open", "write", "fsync", "close", "rename"])
def test_a_new_file_that_cannot_be_written_is_none_or_a_whole_one(tmp_path, kind):
    with FaultyFiles(tmp_path) as layer:
        layer.fail(kind, errno.ENOSPC)
        with pytest.raises(acceptor_store.AcceptorStoreError, match="cannot write"):
            votes_in(tmp_path).make()
    assert os.listdir(tmp_path) == []
    made_votes(tmp_path)
    assert read_votes(tmp_path) == AcceptorState()


def test_the_journal_of_a_file_that_is_gone_is_not_played_into_a_new_one(tmp_path):
    path = made_votes(tmp_path, BEFORE, AFTER)

    def work():
        one = acceptor_store.AcceptorStore(path, "h1", 1)
        one.open()
        one.connection.execute("pragma cache_size=1")  # pages go to the file before the commit
        one.connection.execute("begin")
        for _ in range(3):
            one.connection.execute(acceptor_store.WRITE_ROW, (1, b"x" * 100_000, b""))
        os.kill(os.getpid(), signal.SIGKILL)

    assert run_in_child(work) == signal.SIGKILL
    assert os.path.getsize(f"{path}-journal") > 0
    os.unlink(path)
    made_votes(tmp_path)
    assert read_votes(tmp_path) == AcceptorState()


def test_a_file_older_than_what_was_told_is_refused(tmp_path):
    path = made_votes(tmp_path, BEFORE)
    with open(path, "rb") as file:
        older = file.read()
    one = votes_in(tmp_path)
    one.open()
    one.save(AFTER)
    one.close()
    with open(path, "wb") as file:
        file.write(older)
    with pytest.raises(acceptor_store.AcceptorStoreError, match="older than what this agent has told"):
        one.open()
    assert one.connection is None


@contextlib.asynccontextmanager
async def one_of_a_fleet(folder):
    """An agent that is the majority of its fleet, and so votes on its own word alone."""
    start = config.FleetConfig("h1", {"h1": f"127.0.0.1:{free_port()}"}, str(folder / "h1.votes"))
    here = fleet.Fleet(start, {}, new_votes=True)
    here.start()
    try:
        yield here
    finally:
        await here.close()


def prepare_of(counter):
    return {"from": "h1", "epoch": 1, "ballot": [counter, "h1"]}


def break_full(here):
    here.acceptor.store.connection.execute("pragma max_page_count=2")
    return lambda: None


def break_lock(here):
    other = sqlite3.connect(here.acceptor.store.path, check_same_thread=False)
    other.execute("begin exclusive")
    here.acceptor.store.connection.execute("pragma busy_timeout=10")
    return other.close


def break_folder(here):
    folder = os.path.dirname(here.acceptor.store.path)
    os.rename(folder, f"{folder}.away")
    return lambda: os.rename(f"{folder}.away", folder)


@pytest.mark.parametrize("broken", [break_full, break_lock, break_folder])
@on_loop
async def test_what_is_not_on_the_disk_is_never_told_and_voting_goes_on_later(tmp_path, monkeypatch, broken):
    monkeypatch.setattr(fleet_acceptor, "REOPEN_INTERVAL_S", 0.01)
    folder = tmp_path / "votes"
    folder.mkdir()
    async with one_of_a_fleet(folder) as here:
        assert (await here.acceptor.handle_prepare(prepare_of(1_000)))["yes"]
        mended = broken(here)
        value = b'{"x":"' + b"v" * 30_000 + b'"}'

        def accept(voter):
            return AcceptorState(Ballot(2_000, "h1"), Ballot(2_000, "h1"), value), None

        with pytest.raises(acceptor_store.AcceptorStoreError):
            await here.acceptor.vote(accept)
        assert here.acceptor.store.state.promised == Ballot(1_000, "h1")
        if broken is not break_full:  # which is over with the connection
            for counter in (1, 3_000):
                with pytest.raises(acceptor_store.AcceptorStoreError):
                    await here.acceptor.handle_prepare(prepare_of(counter))
            assert here.heartbeats.encode()["votes"] is False and here.confirmed_ms() < 0.0
        await asyncio.to_thread(mended)
        await until(lambda: not here.acceptor.refusal)
        # As the disk has it: what was told before holds, and voting goes on.
        assert not (await here.acceptor.handle_prepare(prepare_of(999)))["yes"]
        assert (await here.acceptor.handle_prepare(prepare_of(4_000)))["yes"] and here.heartbeats.encode()[
            "votes"
        ] is True
    assert read_votes(folder).promised == Ballot(4_000, "h1")


# ---------------------------------------------------------------- traces

# More than a buffer holds, so that lines go to the file in between.
MANY = 1_500


@pytest.fixture
def said(monkeypatch):
    """What is logged, with no limit of lines a second."""
    lines = []
    monkeypatch.setattr(log, "write", lambda kind, text: lines.append(text))
    return lines


def came(one, numbers):
    for number in numbers:
        one.record_request(float(number), "look", 1_000.0, 0.0, 3)


def times_in(path):
    return [each.at for each in trace_format.read_trace(str(path))]


@pytest.mark.parametrize("number", ERRORS)
@pytest.mark.parametrize("also", [(), ("open",), ("close",)])
def test_a_trace_stops_while_the_disk_fails_says_so_once_and_goes_on(tmp_path, said, number, also):
    path = tmp_path / "trace"
    with FaultyFiles(tmp_path) as layer:
        one = recorder.Recorder(str(path), 100_000, "n0")
        came(one, range(MANY))
        for kind in ("write", *also):
            layer.fail(kind, number)
        came(one, range(MANY, 40_000))
        assert len(said) == 1 and "no more is written" in said[0] and os.strerror(number) in said[0]
        # Tried again every ten seconds of this clock, not with every item.
        assert len(layer.calls) < 50 and (one.file.closed or also)
        layer.mend()
        came(one, range(60_000, 60_000 + MANY))
        assert len(said) == 2 and "written again" in said[1]
        one.close()
    times = times_in(path)
    assert times[:700] == list(range(700)) and times[-MANY:] == list(range(60_000, 60_000 + MANY))
    assert len(times) < 2 * MANY + 1_000


def test_a_trace_on_a_disk_that_fills_up_in_the_middle_of_a_line_has_whole_lines_and_goes_on(tmp_path):
    for number, size in enumerate((65_537, 80_000, 100_001)):
        path = tmp_path / f"trace{number}"

        def work(path=path, size=size):
            one = recorder.Recorder(str(path), 100_000, "n0")
            limited(size, signal.SIG_IGN)
            came(one, range(2 * MANY))
            assert one.file.closed and size - trace_format.MAX_LINE_BYTES < os.path.getsize(path) <= size
            assert times_in(path) == list(range(len(times_in(path))))
            limited(resource.RLIM_INFINITY, signal.SIG_IGN)
            came(one, range(20_000, 20_010))
            one.close()

        assert run_in_child(work) == 0
        assert times_in(path)[-10:] == list(range(20_000, 20_010))


def test_a_kill_between_any_two_file_calls_of_a_trace_leaves_whole_lines(tmp_path):
    def work(folder):
        one = recorder.Recorder(str(folder / "trace"), 2 * MANY, "n0")
        came(one, range(2 * MANY))

    def look(folder, whole):
        for name in os.listdir(folder):
            with open(folder / name, "rb") as file:
                lines = file.read()
            assert not lines or lines.endswith(b"\n")
            if lines.count(b"\n") > 1:
                times = times_in(folder / name)
                assert times == list(range(len(times)))
        assert not whole or len(times_in(folder / "trace")) == 2 * MANY
        # The next process writes beside it.
        before = set(os.listdir(folder))
        came(recorder.Recorder(str(folder / "trace"), 5, "n0"), range(5))
        (name,) = set(os.listdir(folder)) - before
        assert times_in(folder / name) == list(range(5))

    assert kill_before_each_call(lambda number: folder_of(tmp_path, number), work, look) >= 5


@pytest.mark.parametrize("number", ERRORS)
@pytest.mark.parametrize("kind", ["open", "write"])
def test_a_disk_that_fails_at_the_start_keeps_no_dispatcher_from_starting(tmp_path, said, kind, number):
    with FaultyFiles(tmp_path) as layer:
        layer.fail(kind, number)
        one = recorder.Recorder(str(tmp_path / "trace"), 5, "n0")
        came(one, range(1_000))
        assert len(said) == 1 and os.listdir(tmp_path) == []
        layer.mend()
        came(one, range(20_000, 20_010))
    assert times_in(tmp_path / "trace") == list(range(20_000, 20_005))


def test_a_trace_whose_names_are_all_taken_keeps_no_dispatcher_from_starting(tmp_path, said, monkeypatch):
    monkeypatch.setattr(recorder, "MAX_FILES", 3)
    for _ in range(5):
        one = recorder.Recorder(str(tmp_path / "trace"), 5, "n0")
        came(one, range(2))
        one.close()
    assert len(os.listdir(tmp_path)) == 3 and ["are taken" in text for text in said] == [True] * 2
    # A path that can never be used is found at the start, as before.
    with pytest.raises(OSError, match="No such file"):
        recorder.Recorder(str(tmp_path / "nowhere" / "trace"), 5, "n0")


def test_a_trace_whose_end_cannot_be_written_ends_with_a_whole_line(tmp_path, said):
    path = tmp_path / "trace"
    with FaultyFiles(tmp_path) as layer:
        one = recorder.Recorder(str(path), 1_000, "n0")
        came(one, range(100))
        layer.fail("write", errno.ENOSPC)
        one.close()
        came(one, range(5))
    assert len(said) == 1 and "its end is lost" in said[0]
    times = times_in(path)
    assert times == list(range(len(times))) and len(times) < 100


# ---------------------------------------------------------------- TMPDIR


@pytest.mark.parametrize("number", [errno.ENOSPC, errno.EIO, errno.EROFS, errno.EACCES])
@pytest.mark.parametrize(
    "where", [(socket.socket, "bind"), (socket.socket, "listen"), (os, "rename"), (os, "lstat")]
)
@on_loop
async def test_a_tmpdir_that_fails_costs_the_hot_restart_and_nothing_else(tmp_path, said, where, number):
    path = hot_restart.socket_path(str(tmp_path), "127.0.0.1", 5)
    one = hot_restart.HotRestart(None, path, Counters())
    with mock.patch.object(*where, side_effect=OSError(number, os.strerror(number))):
        one.listen_for_child()
        assert one.listener.socket is None and not os.path.lexists(path)
        assert len(said) == 1 and "no upgrade will find this process" in said[0]
        await one.close()
    # No successor is kept from its start by what is left.
    assert hot_restart.request_parent_state(path, "n0") is None
    next_one = hot_restart.HotRestart(None, path, Counters())
    next_one.listen_for_child()
    assert next_one.listener.socket is not None and len(said) == 1
    await next_one.close()
    assert not os.path.lexists(path)


@pytest.mark.parametrize("made", [False, True])
@on_loop
async def test_a_tmpdir_that_is_missing_or_a_file_is_said_once(tmp_path, said, made):
    scratch = tmp_path / "no-folder"
    if made:
        scratch.write_text("")
    path = hot_restart.socket_path(str(scratch), "127.0.0.1", 5)
    assert hot_restart.request_parent_state(path, "n0") is None
    one = hot_restart.HotRestart(None, path, Counters())
    one.listen_for_child()
    assert one.listener.socket is None and len(said) == 1 and "no upgrade will find this process" in said[0]
    await one.close()


@on_loop
async def test_a_process_serves_with_a_tmpdir_that_cannot_be_used(tmp_path):
    async with DispatcherHost(tmp_path) as site:
        site.environment["TMPDIR"] = str(tmp_path / "no-folder")
        node = await site.serving()
        assert (await site.say(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")).target == "200"
        node.process.terminate()
        code, told = await node.ends()
        assert code == 0 and told.count("no upgrade will find this process") == 1
