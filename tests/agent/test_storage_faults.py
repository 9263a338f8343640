"""Durable files on failing disks: errors of file calls, kills between any two of them, and power loss."""

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
from support.dispatcher_process import DispatcherHost
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
from dunepulley.load.ports import free_port
from dunepulley.net import hot_restart, log, recorder
from dunepulley.net.counters import Counters

NOW = 1_000_000.0
OLD = drains.set_drain(
    drains.DrainSet(5.0), drains.Drain("zone", "a", "ana", "", 0.0, drains.INFINITY, 0), NOW
)
NEW = drains.set_drain(OLD, drains.Drain("kind", "big", "ben", "x" * 150, 0.0, drains.INFINITY, 0), NOW)
# The errors of a full disk, and of a broken one.
ERRORS = [errno.ENOSPC, errno.EIO]


def new_folder(tmp_path, run_number):
    folder = tmp_path / f"walk{run_number}"
    folder.mkdir()
    return folder


def drains_path(folder):
    return str(folder / "drains.json")


# ---------------------------------------------------------------- drains: kills and power loss


@pytest.mark.parametrize("has_temporary_file", [False, True])
@pytest.mark.parametrize("previous", [None, OLD])
def test_kill_before_any_file_call_leaves_the_old_or_the_new_drains(tmp_path, previous, has_temporary_file):
    empty = drains.DrainSet(epoch=float(int(NOW)))

    def prepare(number):
        folder = new_folder(tmp_path, number)
        if previous is not None:
            drain_file.save(drains_path(folder), previous)
        if has_temporary_file:
            (folder / "drains.json.new").write_bytes(b'{"epoch": 9.0, "revision": 9, "dra')
        return folder

    def check(folder, completed):
        drain_set = drain_file.load(drains_path(folder), NOW)
        assert drain_set in ([NEW] if completed else [previous or empty, NEW])
        # A temporary file that the kill left is removed by the next write, such as the one at the next start.
        drain_file.save(drains_path(folder), drain_set)
        assert os.listdir(folder) == ["drains.json"]

    calls = kill_before_each_call(prepare, lambda folder: drain_file.save(drains_path(folder), NEW), check)
    # unlink, open, write, fsync, close, rename, and open, fsync, close of the folder
    assert calls >= 8


@pytest.mark.parametrize("previous", [None, OLD])
def test_power_loss_after_any_file_call_leaves_the_old_or_the_new_drains(tmp_path, previous):
    path = drains_path(tmp_path)
    if previous is not None:
        drain_file.save(path, previous)
    old_content = (tmp_path / "drains.json").read_bytes() if previous is not None else None
    with FaultyFiles(tmp_path) as files:
        drain_file.save(path, NEW)
    new_content = (tmp_path / "drains.json").read_bytes()
    for number in range(len(files.calls)):
        assert after_power_loss(files.calls[:number], path, old_content) <= {old_content, new_content}
    assert after_power_loss(files.calls, path, old_content) == {new_content}


def test_power_loss_model_detects_a_missing_fsync():
    # Checks the model used above: it must detect an omitted fsync of the file or of the folder.
    all_kinds = ["open", "write", "fsync", "rename"]

    def calls(kinds, with_folder_sync=True):
        recorded = [FileCall(kind, "/f/x.new", b"new!", "/f/x") for kind in kinds]
        return recorded + ([FileCall("open", "/f"), FileCall("fsync", "/f")] if with_folder_sync else [])

    assert after_power_loss(calls(all_kinds), "/f/x", b"old") == {b"new!"}
    assert after_power_loss(calls(all_kinds, with_folder_sync=False), "/f/x", b"old") == {b"old", b"new!"}
    assert b"" in after_power_loss(calls(["open", "write", "rename"]), "/f/x", b"old")


# ---------------------------------------------------------------- drains: errors


@pytest.mark.parametrize("error_number", ERRORS)
@pytest.mark.parametrize("kind", ["open", "write", "fsync", "close", "rename"])
def test_error_before_the_rename_leaves_the_old_drains(tmp_path, kind, error_number):
    path = drains_path(tmp_path)
    drain_file.save(path, OLD)
    with FaultyFiles(tmp_path) as files:
        files.fail(kind, error_number, only=lambda name: name.startswith(path))
        for _ in range(3):
            with pytest.raises(drain_file.DrainFileError, match=os.strerror(error_number)) as raised:
                drain_file.save(path, NEW)
            assert not isinstance(raised.value, drain_file.NotDurableError)
        files.mend()
        assert drain_file.load(path, NOW) == OLD and os.listdir(tmp_path) == ["drains.json"]
        drain_file.save(path, NEW)
    assert drain_file.load(path, NOW) == NEW


@pytest.mark.parametrize("error_number", ERRORS)
@pytest.mark.parametrize("kind", ["open", "fsync", "rename"])
def test_error_after_the_rename_raises_not_durable_error(tmp_path, kind, error_number):
    path = drains_path(tmp_path)
    drain_file.save(path, OLD)
    with FaultyFiles(tmp_path) as files:
        if kind == "rename":
            files.fail(kind, error_number, done=True)
        else:
            files.fail(kind, error_number, only=lambda name: name == str(tmp_path))
        with pytest.raises(drain_file.NotDurableError, match=os.strerror(error_number)):
            drain_file.save(path, NEW)
        files.mend()
        assert drain_file.load(path, NOW) == NEW


def test_error_of_closing_the_folder_is_ignored(tmp_path):
    with FaultyFiles(tmp_path) as files:
        files.fail("close", errno.EIO, only=lambda name: name == str(tmp_path))
        drain_file.save(drains_path(tmp_path), NEW)
    assert drain_file.load(drains_path(tmp_path), NOW) == NEW


@pytest.mark.parametrize("error_number", [errno.EIO, errno.EACCES, errno.EMFILE, errno.ENOTDIR])
def test_unreadable_drains_begin_no_new_epoch_and_are_not_overwritten(tmp_path, error_number):
    path = drains_path(tmp_path)
    drain_file.save(path, OLD)
    settings = agent_file(tmp_path)
    with FaultyFiles(tmp_path) as files:
        files.fail("open", error_number)
        with pytest.raises(drain_file.DrainFileError, match="cannot use"):
            agent.Agent(settings)
        files.mend()
        assert files.kinds() == [] and drain_file.load(path, NOW) == OLD


@pytest.mark.parametrize("target", ["file", "folder"])
def test_after_a_failed_fsync_everything_is_written_to_a_new_file(tmp_path, target):
    # The kernel drops pages whose write failed, and the next fsync of the same file reports no error.
    path = drains_path(tmp_path)
    drain_file.save(path, OLD)
    with FaultyFiles(tmp_path) as files:
        files.fail("fsync", only=lambda name: (name == str(tmp_path)) == (target == "folder"))
        with pytest.raises(drain_file.DrainFileError):
            drain_file.save(path, NEW)
        files.mend()
        inodes = {each.inode() for each in os.scandir(tmp_path)}
        open_files = [open(each.path, "rb") for each in os.scandir(tmp_path)]  # so that no inode is reused
        files.calls.clear()
        drain_file.save(path, NEW)
        for file in open_files:
            file.close()
    assert os.stat(path).st_ino not in inodes
    kinds = [call.kind for call in files.calls if call.path == f"{path}.new"]
    assert [kind for kind in kinds if kind != "unlink"] == ["open", "write", "fsync", "close", "rename"]


# ---------------------------------------------------------------- drains: behaviour of the agent


def agent_file(folder):
    path = folder / "agent.toml"
    lines = [f'listen = "127.0.0.1:{free_port()}"', 'state = "drains.json"', "answer_s = 0.3"]
    lines += ["[[dispatcher]]", 'name = "n0"', f'console = "127.0.0.1:{free_port()}"']
    path.write_text("\n".join(lines) + "\n")
    return config.read(str(path))


@contextlib.asynccontextmanager
async def agent_in(folder):
    running = agent.Agent(agent_file(folder))
    await running.start()
    # Without dispatchers, the result of a command depends on the file only.
    running.dispatchers.clear()
    try:
        yield running
    finally:
        await running.close()


async def ask(host_agent, do="drain", kind="big", **options):
    """Send a command on a drain of a kind; returns the reply, and the exit code and output of `ctl`."""
    request = {"do": do} | ({} if do == "drains" else {"what": "kind", "name": kind, "by": "ana"})
    request |= {"force": True, "limit_s": 0.05} | options
    reply = await wire.ask(f"127.0.0.1:{host_agent.port}", request, 5.0)
    answer = AgentAnswer(reply)
    return reply, ctl.exit_code_of({"it": answer}), "\n".join(rendering.render_lines(do, answer))


@pytest.mark.parametrize("error_number", ERRORS)
@pytest.mark.parametrize("kind", ["open", "write", "fsync", "close", "rename"])
@on_loop
async def test_drain_that_cannot_be_written_is_refused(tmp_path, kind, error_number):
    async with agent_in(tmp_path) as host_agent:
        await ask(host_agent, kind="old")
        previous = host_agent.drains
        with FaultyFiles(tmp_path) as files:
            files.fail(kind, error_number, only=lambda name: name.startswith(host_agent.config.drains_path))
            _, code, lines = await ask(host_agent)
            assert code == ctl.ExitCode.REFUSED
            assert os.strerror(error_number) in lines and "nothing has changed" in lines
            assert (await ask(host_agent, "restore", kind="old"))[1] == ctl.ExitCode.REFUSED
            files.mend()
            # The previous drain is in force, in the file, and shown to the operator.
            assert host_agent.drains == previous == drain_file.load(host_agent.config.drains_path, NOW)
            assert "in force, but" not in (await ask(host_agent, "drains"))[2]
            assert (await ask(host_agent))[1] == ctl.ExitCode.DONE
        assert host_agent.drains == drain_file.load(host_agent.config.drains_path, NOW) != previous


@pytest.mark.parametrize("kind", ["fsync", "open"])
@on_loop
async def test_drain_that_may_not_be_durable_is_in_force_and_written_again(tmp_path, monkeypatch, kind):
    monkeypatch.setattr(drain_store, "WRITE_RETRY_S", 0.005)
    async with agent_in(tmp_path) as host_agent:
        with FaultyFiles(tmp_path) as files:
            files.fail(kind, only=lambda name: name == str(tmp_path))
            reply, code, lines = await ask(host_agent)
            assert code == ctl.ExitCode.UNKNOWN and not reply["ok"] and "in force, but cannot write" in lines
            assert "in force, but" in (await ask(host_agent, "drains"))[2]
            assert (
                host_agent.drains == drain_file.load(host_agent.config.drains_path, NOW)
                and host_agent.drains.drains
            )
            # While the error lasts, every retry writes a whole new file; afterwards the file is durable.
            attempts = files.kinds().count("rename")
            await until(lambda: files.kinds().count("rename") > attempts + 2)
            files.mend()
            await until(lambda: not host_agent.drain_store.durability_error)
            assert "in force, but" not in (await ask(host_agent, "drains"))[2]
            calls = list(files.calls)
        last_index = max(
            [index for index, call in enumerate(calls) if call.kind == "unlink" or call.kind == "rename"]
        )
        assert [call.kind for call in calls[last_index:]][:3] == ["rename", "open", "fsync"]


@on_loop
async def test_drains_are_in_force_although_the_disk_is_full_at_the_start(tmp_path, monkeypatch):
    monkeypatch.setattr(drain_store, "WRITE_RETRY_S", 0.005)
    drain_file.save(drains_path(tmp_path), OLD)
    settings = agent_file(tmp_path)
    with FaultyFiles(tmp_path) as files:
        files.fail("write", errno.ENOSPC)
        host_agent = agent.Agent(settings)
        await host_agent.start()
        try:
            assert host_agent.drains == OLD
            _, code, lines = await ask(host_agent, "drains")
            assert "in force, but" in lines and "zone a" in lines
            assert (await ask(host_agent))[1] == ctl.ExitCode.REFUSED
            files.mend()
            await until(lambda: not host_agent.drain_store.durability_error)
            assert (await ask(host_agent))[0].get("unwritten") is None
        finally:
            await host_agent.close()
    assert len(drain_file.load(drains_path(tmp_path), NOW).drains) == 2


@on_loop
async def test_acknowledged_drain_survives_a_power_loss(tmp_path):
    # A temporary file that a kill left is not read, and is removed.
    drain_file.save(drains_path(tmp_path), OLD)
    (tmp_path / "drains.json.new").write_bytes(b'{"epoch": 9.0, "revision": 9, "drains": []}')
    with FaultyFiles(tmp_path) as files:
        async with agent_in(tmp_path) as host_agent:
            assert host_agent.drains == OLD and "drains.json.new" not in os.listdir(tmp_path)
            files.calls.clear()
            assert (await ask(host_agent))[1] == ctl.ExitCode.DONE
            calls = list(files.calls)
            old, new = [drain_json.encode_drain_set(each) for each in (OLD, host_agent.drains)]
    contents = after_power_loss(calls, drains_path(tmp_path), json.dumps(old).encode())
    assert [json.loads(each) for each in contents] == [new]


@on_loop
async def test_agent_without_a_file_exits_if_it_cannot_write_one(tmp_path):
    settings = agent_file(tmp_path)
    with FaultyFiles(tmp_path) as files:
        files.fail("fsync")
        host_agent = agent.Agent(settings)
        with pytest.raises(drain_file.DrainFileError):
            await host_agent.start()
        await host_agent.close()


@on_loop
async def test_agent_retries_a_write_that_may_not_be_durable_when_it_closes(tmp_path):
    with FaultyFiles(tmp_path) as files:
        async with agent_in(tmp_path) as host_agent:
            files.fail("fsync", only=lambda name: name == str(tmp_path))
            await ask(host_agent)
            files.mend()
            assert host_agent.drain_store.durability_error
            files.calls.clear()
        assert files.kinds().count("rename") == 1 and not host_agent.drain_store.durability_error


# ---------------------------------------------------------------- acceptor: kills

BEFORE = AcceptorState(Ballot(3, "h2"), Ballot(2, "h1"), b'{"number":1}')
# Larger than the journal, so that a limit on file sizes can take effect in either file.
AFTER = AcceptorState(Ballot(4, "h1"), Ballot(4, "h1"), b"v" * 30_000)


def acceptor_file_in(folder, name="h1", epoch=1):
    return acceptor_store.AcceptorStore(str(folder / "h1.votes"), name, epoch)


def create_acceptor_file(folder, *states):
    """Create an acceptor's file and save these states in it; returns its path."""
    store = acceptor_file_in(folder)
    store.create()
    for state in states:
        store.save(state)
    store.close()
    return store.path


def read_acceptor_state(folder, epoch=1):
    store = acceptor_file_in(folder, epoch=epoch)
    store.open()
    store.close()
    return store.state


def test_kill_while_creating_an_acceptor_file_leaves_none_or_a_complete_one(tmp_path):
    def check(folder, completed):
        if completed:
            assert read_acceptor_state(folder) == AcceptorState()
        elif not (folder / "h1.votes").exists():
            create_acceptor_file(folder)  # the operator repeats the command
            assert sorted(os.listdir(folder)) == ["h1.votes"]
        else:
            assert read_acceptor_state(folder) == AcceptorState()

    calls = kill_before_each_call(
        lambda number: new_folder(tmp_path, number), lambda folder: acceptor_file_in(folder).create(), check
    )
    assert calls >= 8


def test_kill_while_beginning_an_epoch_leaves_the_old_or_the_new_file(tmp_path):
    def prepare(number):
        folder = new_folder(tmp_path, number)
        create_acceptor_file(folder, BEFORE)
        return folder

    def check(folder, completed):
        try:
            assert read_acceptor_state(folder) == BEFORE and not completed
            acceptor_file_in(folder, epoch=2).create()  # the operator repeats the command
        except acceptor_store.AcceptorStoreError:
            pass
        assert read_acceptor_state(folder, epoch=2) == AcceptorState()
        backup = acceptor_store.AcceptorStore(f"{folder}/h1.votes.epoch-before-2", "h1", 1)
        backup.open()
        assert backup.state == BEFORE
        backup.close()

    calls = kill_before_each_call(prepare, lambda folder: acceptor_file_in(folder, epoch=2).create(), check)
    assert calls >= 8


def kill_at_step(path, step_count, state):
    """Save in a process that is killed at the n-th step of SQLite's bytecode; whether it completed."""
    reading, writing = os.pipe()

    def work():
        store = acceptor_store.AcceptorStore(path, "h1", 1)
        store.open()
        steps_left = [step_count]

        def step():
            steps_left[0] -= 1
            if steps_left[0] < 0:
                os.kill(os.getpid(), signal.SIGKILL)

        store.connection.set_progress_handler(step, 1)
        store.save(state)
        os.write(writing, b"saved")

    status = run_in_child(work)
    os.close(writing)
    received = os.read(reading, 10)
    os.close(reading)
    assert status in (0, signal.SIGKILL)
    return received == b"saved"


def test_kill_at_any_sqlite_step_leaves_the_old_or_the_new_state(tmp_path):
    path = create_acceptor_file(tmp_path, BEFORE)
    for step_count in range(500):
        completed = kill_at_step(path, step_count, AFTER)
        state = read_acceptor_state(tmp_path)
        assert state == AFTER if completed else state in (BEFORE, AFTER)
        if completed:
            break
    assert completed and step_count > 3


def limit_file_size(max_bytes, signal_action):
    """Limit the size of files in this process: a write beyond it fails, or kills the process."""
    resource.setrlimit(resource.RLIMIT_CORE, (0, 0))
    signal.signal(signal.SIGXFSZ, signal_action)
    resource.setrlimit(resource.RLIMIT_FSIZE, (max_bytes, resource.RLIM_INFINITY))


def test_kill_at_any_write_leaves_the_old_or_the_new_state(tmp_path):
    # Pages are 4096 bytes. The kernel kills the process at the write that exceeds the limit, in the journal
    # or in the file, also in the middle of a page.
    limits, killed, journals_left = [*range(0, 12_288, 1024), *range(12_288, 49_152, 6_000)], 0, 0
    for number, size in enumerate(limits):
        folder = new_folder(tmp_path, number)
        path = create_acceptor_file(folder, BEFORE)

        def work(path=path, size=size):
            store = acceptor_store.AcceptorStore(path, "h1", 1)
            store.open()
            limit_file_size(size, signal.SIG_DFL)
            store.save(AFTER)

        status = run_in_child(work)
        assert status == 0 or os.WTERMSIG(status) == signal.SIGXFSZ
        killed += status != 0
        journals_left += os.path.exists(f"{path}-journal")
        state = read_acceptor_state(folder)
        assert state == AFTER if status == 0 else state in (BEFORE, AFTER)
    assert killed > 10 and journals_left > 10 and status == 0


# ---------------------------------------------------------------- acceptor: errors


def test_sqlite_commits_are_durable_over_a_power_loss(tmp_path):
    # With synchronous=FULL the removal of the journal is not synced: if a power loss restores the journal, it
    # undoes the commit.
    create_acceptor_file(tmp_path)
    store = acceptor_file_in(tmp_path)
    store.open()
    extra = 3
    assert store.connection.execute("pragma synchronous").fetchone() == (extra,)
    assert store.connection.execute("pragma journal_mode").fetchone() == ("delete",)
    store.close()


def test_state_that_was_read_is_committed_once_before_use(tmp_path):
    # After a killed process or a failed fsync the content may be in the page cache only.
    path = create_acceptor_file(tmp_path, BEFORE)

    def commit_counter():
        with open(path, "rb") as file:
            return file.read()[24:28]  # SQLite's count of commits

    previous = commit_counter()
    read_acceptor_state(tmp_path)
    assert commit_counter() != previous

    def work():
        limit_file_size(0, signal.SIG_IGN)
        store = acceptor_file_in(tmp_path)
        with pytest.raises(acceptor_store.AcceptorStoreError, match="cannot write"):
            store.open()
        assert store.connection is None

    assert run_in_child(work) == 0


def test_failed_write_anywhere_leaves_the_state_that_is_on_disk(tmp_path):
    failed = 0
    for number, size in enumerate([*range(0, 12_288, 1024), *range(12_288, 49_152, 6_000)]):
        folder = new_folder(tmp_path, number)
        path = create_acceptor_file(folder, BEFORE)

        def work(path=path, size=size):
            store = acceptor_store.AcceptorStore(path, "h1", 1)
            store.open()
            limit_file_size(size, signal.SIG_IGN)
            try:
                store.save(AFTER)
            except acceptor_store.AcceptorStoreError:
                # The state is not reported, and no other is, until the file can be read and written again.
                assert store.state == BEFORE and store.connection is None
                with pytest.raises(acceptor_store.AcceptorStoreError):
                    store.save(AFTER)
                limit_file_size(resource.RLIM_INFINITY, signal.SIG_IGN)
                store.open()
                assert store.state in (BEFORE, AFTER)
                store.save(AFTER)
                assert store.state == AFTER
                os._exit(3)

        status = run_in_child(work)
        assert os.WEXITSTATUS(status) in (0, 3)
        failed += status != 0
        assert read_acceptor_state(folder) == AFTER
    assert failed > 10 and status == 0


@pytest.mark.parametrize("kind", ["open", "write", "fsync", "close", "rename"])
def test_error_while_creating_an_acceptor_file_leaves_none(tmp_path, kind):
    with FaultyFiles(tmp_path) as files:
        files.fail(kind, errno.ENOSPC)
        with pytest.raises(acceptor_store.AcceptorStoreError, match="cannot write"):
            acceptor_file_in(tmp_path).create()
    assert os.listdir(tmp_path) == []
    create_acceptor_file(tmp_path)
    assert read_acceptor_state(tmp_path) == AcceptorState()


def test_journal_of_a_deleted_file_is_not_applied_to_a_new_one(tmp_path):
    path = create_acceptor_file(tmp_path, BEFORE, AFTER)

    def work():
        store = acceptor_store.AcceptorStore(path, "h1", 1)
        store.open()
        store.connection.execute("pragma cache_size=1")  # pages go to the file before the commit
        store.connection.execute("begin")
        for _ in range(3):
            store.connection.execute(acceptor_store.WRITE_ROW, (1, b"x" * 100_000, b""))
        os.kill(os.getpid(), signal.SIGKILL)

    assert run_in_child(work) == signal.SIGKILL
    assert os.path.getsize(f"{path}-journal") > 0
    os.unlink(path)
    create_acceptor_file(tmp_path)
    assert read_acceptor_state(tmp_path) == AcceptorState()


def test_file_older_than_a_reported_state_is_rejected(tmp_path):
    path = create_acceptor_file(tmp_path, BEFORE)
    with open(path, "rb") as file:
        older = file.read()
    store = acceptor_file_in(tmp_path)
    store.open()
    store.save(AFTER)
    store.close()
    with open(path, "wb") as file:
        file.write(older)
    with pytest.raises(
        acceptor_store.AcceptorStoreError, match="older than a state that this agent has reported"
    ):
        store.open()
    assert store.connection is None


@contextlib.asynccontextmanager
async def fleet_of_one_agent(folder):
    """An agent that is the only member of its fleet, so that its acceptor alone is a majority."""
    settings = config.FleetConfig("h1", {"h1": f"127.0.0.1:{free_port()}"}, str(folder / "h1.votes"))
    running = fleet.Fleet(settings, {}, initialize_acceptor=True)
    running.start()
    try:
        yield running
    finally:
        await running.close()


def prepare_request(counter):
    return {"from": "h1", "epoch": 1, "ballot": [counter, "h1"]}


def break_full(fleet_of_one):
    fleet_of_one.acceptor.store.connection.execute("pragma max_page_count=2")
    return lambda: None


def break_lock(fleet_of_one):
    second_connection = sqlite3.connect(fleet_of_one.acceptor.store.path, check_same_thread=False)
    second_connection.execute("begin exclusive")
    fleet_of_one.acceptor.store.connection.execute("pragma busy_timeout=10")
    return second_connection.close


def break_folder(fleet_of_one):
    folder = os.path.dirname(fleet_of_one.acceptor.store.path)
    os.rename(folder, f"{folder}.away")
    return lambda: os.rename(f"{folder}.away", folder)


@pytest.mark.parametrize("break_storage", [break_full, break_lock, break_folder])
@on_loop
async def test_unwritten_state_is_never_reported_and_voting_resumes_after_repair(
    tmp_path, monkeypatch, break_storage
):
    monkeypatch.setattr(fleet_acceptor, "REOPEN_INTERVAL_S", 0.01)
    folder = tmp_path / "votes"
    folder.mkdir()
    async with fleet_of_one_agent(folder) as fleet_of_one:
        assert (await fleet_of_one.acceptor.handle_prepare(prepare_request(1_000)))["yes"]
        repair = break_storage(fleet_of_one)
        value = b'{"x":"' + b"v" * 30_000 + b'"}'

        def accept(state):
            return AcceptorState(Ballot(2_000, "h1"), Ballot(2_000, "h1"), value), None

        with pytest.raises(acceptor_store.AcceptorStoreError):
            await fleet_of_one.acceptor.apply_step(accept)
        assert fleet_of_one.acceptor.store.state.promised == Ballot(1_000, "h1")
        if break_storage is not break_full:  # that limit ends with the connection
            for counter in (1, 3_000):
                with pytest.raises(acceptor_store.AcceptorStoreError):
                    await fleet_of_one.acceptor.handle_prepare(prepare_request(counter))
            assert fleet_of_one.heartbeats.encode()["votes"] is False and fleet_of_one.confirmed_ms() < 0.0
        await asyncio.to_thread(repair)
        await until(lambda: not fleet_of_one.acceptor.not_voting_reason)
        # The state on disk still has the earlier promise, and the acceptor votes again.
        assert not (await fleet_of_one.acceptor.handle_prepare(prepare_request(999)))["yes"]
        assert (await fleet_of_one.acceptor.handle_prepare(prepare_request(4_000)))[
            "yes"
        ] and fleet_of_one.heartbeats.encode()["votes"] is True
    assert read_acceptor_state(folder).promised == Ballot(4_000, "h1")


# ---------------------------------------------------------------- traces

# More lines than fit in a buffer, so that some are written to the file before the end.
REQUEST_COUNT = 1_500


@pytest.fixture
def logged_lines(monkeypatch):
    """The texts that are logged, without the limit on lines per second."""
    logged = []
    monkeypatch.setattr(log, "write", lambda kind, text: logged.append(text))
    return logged


def record_requests(trace, times):
    for time_ms in times:
        trace.record_request(float(time_ms), "look", 1_000.0, 0.0, 3)


def times_in(path):
    return [each.at for each in trace_format.read_trace(str(path))]


@pytest.mark.parametrize("error_number", ERRORS)
@pytest.mark.parametrize("other_calls", [(), ("open",), ("close",)])
def test_trace_pauses_while_the_disk_fails_and_logs_it_once(
    tmp_path, logged_lines, error_number, other_calls
):
    path = tmp_path / "trace"
    with FaultyFiles(tmp_path) as files:
        trace = recorder.Recorder(str(path), 100_000, "n0")
        record_requests(trace, range(REQUEST_COUNT))
        for kind in ("write", *other_calls):
            files.fail(kind, error_number)
        record_requests(trace, range(REQUEST_COUNT, 40_000))
        assert (
            len(logged_lines) == 1
            and "the trace is suspended until its file can be written" in logged_lines[0]
            and os.strerror(error_number) in logged_lines[0]
        )
        # Writing is retried every ten seconds of this clock, not with every request.
        assert len(files.calls) < 50 and (trace.file.closed or other_calls)
        files.mend()
        record_requests(trace, range(60_000, 60_000 + REQUEST_COUNT))
        assert len(logged_lines) == 2 and "written again" in logged_lines[1]
        trace.close()
    times = times_in(path)
    assert times[:700] == list(range(700)) and times[-REQUEST_COUNT:] == list(
        range(60_000, 60_000 + REQUEST_COUNT)
    )
    assert len(times) < 2 * REQUEST_COUNT + 1_000


def test_trace_has_complete_lines_after_the_disk_fills_up_within_a_line(tmp_path):
    for number, size in enumerate((65_537, 80_000, 100_001)):
        path = tmp_path / f"trace{number}"

        def work(path=path, size=size):
            trace = recorder.Recorder(str(path), 100_000, "n0")
            limit_file_size(size, signal.SIG_IGN)
            record_requests(trace, range(2 * REQUEST_COUNT))
            assert trace.file.closed and size - trace_format.MAX_LINE_BYTES < os.path.getsize(path) <= size
            assert times_in(path) == list(range(len(times_in(path))))
            limit_file_size(resource.RLIM_INFINITY, signal.SIG_IGN)
            record_requests(trace, range(20_000, 20_010))
            trace.close()

        assert run_in_child(work) == 0
        assert times_in(path)[-10:] == list(range(20_000, 20_010))


def test_kill_before_any_file_call_of_a_trace_leaves_complete_lines(tmp_path):
    def work(folder):
        trace = recorder.Recorder(str(folder / "trace"), 2 * REQUEST_COUNT, "n0")
        record_requests(trace, range(2 * REQUEST_COUNT))

    def check(folder, completed):
        for name in os.listdir(folder):
            with open(folder / name, "rb") as file:
                lines = file.read()
            assert not lines or lines.endswith(b"\n")
            if lines.count(b"\n") > 1:
                times = times_in(folder / name)
                assert times == list(range(len(times)))
        assert not completed or len(times_in(folder / "trace")) == 2 * REQUEST_COUNT
        # The next process writes to another file.
        previous_names = set(os.listdir(folder))
        record_requests(recorder.Recorder(str(folder / "trace"), 5, "n0"), range(5))
        (name,) = set(os.listdir(folder)) - previous_names
        assert times_in(folder / name) == list(range(5))

    assert kill_before_each_call(lambda number: new_folder(tmp_path, number), work, check) >= 5


@pytest.mark.parametrize("error_number", ERRORS)
@pytest.mark.parametrize("kind", ["open", "write"])
def test_disk_error_at_the_start_of_a_trace_does_not_prevent_the_start(
    tmp_path, logged_lines, kind, error_number
):
    with FaultyFiles(tmp_path) as files:
        files.fail(kind, error_number)
        trace = recorder.Recorder(str(tmp_path / "trace"), 5, "n0")
        record_requests(trace, range(1_000))
        assert len(logged_lines) == 1 and os.listdir(tmp_path) == []
        files.mend()
        record_requests(trace, range(20_000, 20_010))
    assert times_in(tmp_path / "trace") == list(range(20_000, 20_005))


def test_trace_without_a_free_file_name_does_not_prevent_the_start(tmp_path, logged_lines, monkeypatch):
    monkeypatch.setattr(recorder, "MAX_FILES", 3)
    for _ in range(5):
        trace = recorder.Recorder(str(tmp_path / "trace"), 5, "n0")
        record_requests(trace, range(2))
        trace.close()
    assert len(os.listdir(tmp_path)) == 3 and ["are taken" in text for text in logged_lines] == [True] * 2
    # A path that can never be used is reported at the start.
    with pytest.raises(OSError, match="No such file"):
        recorder.Recorder(str(tmp_path / "nowhere" / "trace"), 5, "n0")


def test_trace_whose_end_cannot_be_written_ends_with_a_complete_line(tmp_path, logged_lines):
    path = tmp_path / "trace"
    with FaultyFiles(tmp_path) as files:
        trace = recorder.Recorder(str(path), 1_000, "n0")
        record_requests(trace, range(100))
        files.fail("write", errno.ENOSPC)
        trace.close()
        record_requests(trace, range(5))
    assert len(logged_lines) == 1 and "its end is lost" in logged_lines[0]
    times = times_in(path)
    assert times == list(range(len(times))) and len(times) < 100


# ---------------------------------------------------------------- TMPDIR


@pytest.mark.parametrize("error_number", [errno.ENOSPC, errno.EIO, errno.EROFS, errno.EACCES])
@pytest.mark.parametrize(
    "failing_call", [(socket.socket, "bind"), (socket.socket, "listen"), (os, "rename"), (os, "lstat")]
)
@on_loop
async def test_failing_tmpdir_disables_only_the_hot_restart(
    tmp_path, logged_lines, failing_call, error_number
):
    path = hot_restart.socket_path(str(tmp_path), "127.0.0.1", 5)
    hot_restart_ = hot_restart.HotRestart(None, path, Counters())
    with mock.patch.object(*failing_call, side_effect=OSError(error_number, os.strerror(error_number))):
        hot_restart_.listen_for_child()
        assert hot_restart_.listener.socket is None and not os.path.lexists(path)
        assert len(logged_lines) == 1 and f"cannot listen for a child process at {path}" in logged_lines[0]
        await hot_restart_.close()
    # Leftover files do not prevent the start of a child process.
    assert hot_restart.request_parent_state(path, "n0") is None
    next_hot_restart = hot_restart.HotRestart(None, path, Counters())
    next_hot_restart.listen_for_child()
    assert next_hot_restart.listener.socket is not None and len(logged_lines) == 1
    await next_hot_restart.close()
    assert not os.path.lexists(path)


@pytest.mark.parametrize("is_file", [False, True])
@on_loop
async def test_missing_or_invalid_tmpdir_is_logged_once(tmp_path, logged_lines, is_file):
    scratch = tmp_path / "no-folder"
    if is_file:
        scratch.write_text("")
    path = hot_restart.socket_path(str(scratch), "127.0.0.1", 5)
    assert hot_restart.request_parent_state(path, "n0") is None
    hot_restart_ = hot_restart.HotRestart(None, path, Counters())
    hot_restart_.listen_for_child()
    assert (
        hot_restart_.listener.socket is None
        and len(logged_lines) == 1
        and f"cannot listen for a child process at {path}" in logged_lines[0]
    )
    await hot_restart_.close()


@on_loop
async def test_process_serves_with_an_unusable_tmpdir(tmp_path):
    async with DispatcherHost(tmp_path) as host:
        host.environment["TMPDIR"] = str(tmp_path / "no-folder")
        dispatcher_process = await host.start_healthy()
        assert (await host.exchange(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")).target == "200"
        dispatcher_process.process.terminate()
        code, log_text = await dispatcher_process.wait_for_exit()
        assert code == 0 and log_text.count("cannot listen for a child process at") == 1
