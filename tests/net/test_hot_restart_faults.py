"""Hot restart with failing system calls: unsearchable directories, leftover sockets, failing accepts."""

import asyncio
import errno
import os
import socket
from unittest import mock

import pytest
from support.event_loop import on_loop, until

from dunepulley.net import hot_restart, log
from dunepulley.net.counters import Counters

UNSEARCHABLE = [errno.EACCES, errno.EIO, errno.ENOSPC, errno.EROFS]
UNSEARCHABLE += [errno.ELOOP, errno.EMFILE, errno.ENAMETOOLONG]


@pytest.fixture
def lines(monkeypatch):
    lines = []
    monkeypatch.setattr(log, "write", lambda event, text: lines.append(text))
    return lines


def failing(error_number):
    return mock.Mock(side_effect=OSError(error_number, os.strerror(error_number)))


@pytest.mark.parametrize("error_number", UNSEARCHABLE)
def test_an_unsearchable_directory_does_not_prevent_the_start(tmp_path, lines, monkeypatch, error_number):
    path = hot_restart.socket_path(str(tmp_path), "127.0.0.1", 5)
    monkeypatch.setattr(socket.socket, "connect", failing(error_number))
    assert hot_restart.request_parent_state(path, "n0") is None
    assert len(lines) == 1 and os.strerror(error_number) in lines[0]


def test_a_long_path_whose_directory_cannot_be_opened_does_not_prevent_the_start(
    tmp_path, lines, monkeypatch
):
    path = hot_restart.socket_path(str(tmp_path / ("a" * 120)), "127.0.0.1", 5)
    monkeypatch.setattr(os, "open", failing(errno.EMFILE))
    assert hot_restart.request_parent_state(path, "n0") is None
    assert len(lines) == 1


def test_a_listener_that_accepts_no_connection_prevents_the_start(tmp_path, monkeypatch):
    # Guards against two processes that serve one address independently: each would spend all budgets in full.
    monkeypatch.setattr(socket.socket, "connect", mock.Mock(side_effect=TimeoutError))
    with pytest.raises(hot_restart.HotRestartError):
        hot_restart.request_parent_state(hot_restart.socket_path(str(tmp_path), "127.0.0.1", 5), "n0")


@pytest.mark.parametrize("target", [(os, "rename"), (socket.socket, "listen")])
@on_loop
async def test_a_process_that_cannot_listen_for_a_child_leaves_no_file(tmp_path, lines, target):
    path = hot_restart.socket_path(str(tmp_path), "127.0.0.1", 5)
    with mock.patch.object(*target, failing(errno.EIO)):
        hot_restart.HotRestart(None, path, Counters()).listen_for_child()
    assert len(lines) == 1 and not list(tmp_path.iterdir())


class FailingAccept:
    """A fake `accept` whose first three calls fail for lack of a descriptor."""

    def __init__(self, monkeypatch):
        self.calls, self.real = 0, socket.socket.accept
        monkeypatch.setattr(socket.socket, "accept", lambda listening: self.accept(listening))

    def accept(self, listening):
        self.calls += 1
        if self.calls <= 3:
            raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))
        return self.real(listening)


def listening_process(folder, monkeypatch, retry_s):
    """Return a process that listens for a child, and the list of connections that it accepts."""
    monkeypatch.setattr(hot_restart.listener, "ACCEPT_RETRY_S", retry_s)
    path = hot_restart.socket_path(str(folder), "127.0.0.1", 5)
    hot_restart_process, accepted = hot_restart.HotRestart(None, path, Counters()), []

    async def record_connection(link):
        accepted.append(link)

    monkeypatch.setattr(hot_restart_process, "_serve_child", record_connection)
    hot_restart_process.listen_for_child()
    return hot_restart_process, accepted


@on_loop
async def test_a_failing_accept_does_not_spin(tmp_path, lines, monkeypatch):
    hot_restart_process, _ = listening_process(tmp_path, monkeypatch, retry_s=3600.0)
    accept = FailingAccept(monkeypatch)
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as child:
        child.connect(hot_restart_process.path)
        await until(lambda: accept.calls)
        for _ in range(50):
            await asyncio.sleep(0)
        assert accept.calls == 1 and len(lines) == 1
    await hot_restart_process.close()


@on_loop
async def test_a_failing_accept_does_not_end_listening_for_a_child(tmp_path, lines, monkeypatch):
    hot_restart_process, accepted = listening_process(tmp_path, monkeypatch, retry_s=0.01)
    accept = FailingAccept(monkeypatch)
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as child:
        child.connect(hot_restart_process.path)
        await until(lambda: accepted)
        assert accept.calls == 4 and len(lines) == 3
        accepted[0].close()
    await hot_restart_process.close()
