"""Hot restart on a host that fails: folders that cannot be searched, sockets left behind, failing accepts."""

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
def said(monkeypatch):
    lines = []
    monkeypatch.setattr(log, "write", lambda part, text: lines.append(text))
    return lines


def failing(number):
    return mock.Mock(side_effect=OSError(number, os.strerror(number)))


@pytest.mark.parametrize("number", UNSEARCHABLE)
def test_a_folder_that_cannot_be_searched_stops_no_start(tmp_path, said, monkeypatch, number):
    path = hot_restart.socket_path(str(tmp_path), "127.0.0.1", 5)
    monkeypatch.setattr(socket.socket, "connect", failing(number))
    assert hot_restart.request_parent_state(path, "n0") is None
    assert len(said) == 1 and os.strerror(number) in said[0]


def test_a_long_path_whose_folder_cannot_be_opened_stops_no_start(tmp_path, said, monkeypatch):
    path = hot_restart.socket_path(str(tmp_path / ("a" * 120)), "127.0.0.1", 5)
    monkeypatch.setattr(os, "open", failing(errno.EMFILE))
    assert hot_restart.request_parent_state(path, "n0") is None
    assert len(said) == 1


def test_a_process_that_serves_and_takes_no_connection_still_refuses_a_second(tmp_path, monkeypatch):
    # Two that serve at one address without knowing of each other would each spend the whole of every budget.
    monkeypatch.setattr(socket.socket, "connect", mock.Mock(side_effect=TimeoutError))
    with pytest.raises(hot_restart.HotRestartError):
        hot_restart.request_parent_state(hot_restart.socket_path(str(tmp_path), "127.0.0.1", 5), "n0")


@pytest.mark.parametrize("where", [(os, "rename"), (socket.socket, "listen")])
@on_loop
async def test_a_process_that_cannot_wait_for_a_successor_leaves_nothing_behind(tmp_path, said, where):
    path = hot_restart.socket_path(str(tmp_path), "127.0.0.1", 5)
    with mock.patch.object(*where, failing(errno.EIO)):
        hot_restart.HotRestart(None, path, Counters()).listen_for_child()
    assert len(said) == 1 and not list(tmp_path.iterdir())


class Accepts:
    """Stands in for accept: the first three calls fail for want of a descriptor."""

    def __init__(self, monkeypatch):
        self.calls, self.real = 0, socket.socket.accept
        monkeypatch.setattr(socket.socket, "accept", lambda waits: self.accept(waits))

    def accept(self, waits):
        self.calls += 1
        if self.calls <= 3:
            raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))
        return self.real(waits)


def waiting(folder, monkeypatch, pause):
    """A process that waits for a successor; what is accepted is put into the list."""
    monkeypatch.setattr(hot_restart.listener, "ACCEPT_RETRY_S", pause)
    path = hot_restart.socket_path(str(folder), "127.0.0.1", 5)
    one, met = hot_restart.HotRestart(None, path, Counters()), []

    async def hear(link):
        met.append(link)

    monkeypatch.setattr(one, "_serve_child", hear)
    one.listen_for_child()
    return one, met


@on_loop
async def test_an_accept_that_fails_does_not_spin(tmp_path, said, monkeypatch):
    one, _ = waiting(tmp_path, monkeypatch, pause=3600.0)
    accepts = Accepts(monkeypatch)
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as successor:
        successor.connect(one.path)
        await until(lambda: accepts.calls)
        for _ in range(50):
            await asyncio.sleep(0)
        assert accepts.calls == 1 and len(said) == 1
    await one.close()


@on_loop
async def test_an_accept_that_fails_does_not_end_the_wait_for_a_successor(tmp_path, said, monkeypatch):
    one, met = waiting(tmp_path, monkeypatch, pause=0.01)
    accepts = Accepts(monkeypatch)
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as successor:
        successor.connect(one.path)
        await until(lambda: met)
        assert accepts.calls == 4 and len(said) == 3
        met[0].close()
    await one.close()
