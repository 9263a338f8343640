"""Descriptors for connections to endpoints and from clients, and what needs one when none is left."""

import contextlib
import errno
import json

import pytest
from support.dispatcher_rig import DispatcherRig
from support.event_loop import on_loop, until
from support.fake_discovery import FakeDiscovery
from support.fake_server import FakeServer
from support.http_messages import ACCEPTED
from support.upstream_sender import UpstreamSender

from dunepulley.net import config
from dunepulley.net.config import ConfigError


def idle_connections(upstream):
    return sum([len(idle) for idle in upstream.session.connector._conns.values()])


@on_loop
async def test_idle_connections_to_endpoints_leave_room_for_those_of_clients():
    # Guards against the process running out of descriptors: connections to many endpoints were never closed.
    async with UpstreamSender() as sender:
        connector = sender.upstream.session.connector
        clients = 30
        sender.upstream.share_descriptors_with(lambda: clients)
        assert connector.max_connections == 52  # of 64 descriptors
        servers = [await FakeServer(lambda call: ACCEPTED).__aenter__() for _ in range(40)]
        for count, server in enumerate(servers, 1):
            sender.send(server.address)
            await sender.wait_until_accepted(count)
        assert idle_connections(sender.upstream) == 52 - 30
        # The longest idle ones were closed.
        await until(lambda: [server.closed for server in servers] == [1] * 18 + [0] * 22)
        clients = 36
        sender.upstream.close_excess_idle()
        assert idle_connections(sender.upstream) == 52 - 36
        clients = 0
        for count, server in enumerate(servers, 41):
            sender.send(server.address)
            await sender.wait_until_accepted(count)
        assert idle_connections(sender.upstream) == 40
        for server in servers:
            await server.__aexit__()


@on_loop
async def test_two_processes_of_a_hot_restart_share_the_descriptors_for_idle_connections():
    # Guards against more descriptors than the limit while two processes serve: they share one limit.
    async with UpstreamSender() as sender, contextlib.AsyncExitStack() as stack:
        servers = [await stack.enter_async_context(FakeServer(lambda call: ACCEPTED)) for _ in range(40)]
        for count, server in enumerate(servers, 1):
            sender.send(server.address)
            await sender.wait_until_accepted(count)
        sender.upstream.set_limit_fraction(0.5)
        assert idle_connections(sender.upstream) == 26  # of 52 that one process may keep
        sender.send(servers[0].address)  # whose connection was closed
        await sender.wait_until_accepted(41)
        assert idle_connections(sender.upstream) == 26
        sender.upstream.set_limit_fraction(1.0)
        sender.send(servers[1].address)
        await sender.wait_until_accepted(42)
        assert idle_connections(sender.upstream) == 27


@on_loop
async def test_each_accepted_client_makes_endpoints_idle_connections_give_way():
    async with DispatcherRig(*[lambda call: ACCEPTED] * 4, sockets=64) as rig:
        connector = rig.service.upstream.session.connector
        for number in range(4):
            rig.service.upstream.check_health(f"w{number}", rig.endpoints[number].address)
        await until(lambda: idle_connections(rig.service.upstream) == 4)
        accepted = len(rig.frontend.server.accepted)
        connector.max_connections = accepted + 4
        _, writer = await rig.connect()
        await until(lambda: len(rig.frontend.server.accepted) == accepted + 1)
        assert idle_connections(rig.service.upstream) == 3
        writer.close()


class FailingReads:
    """Replaces `config.reread`: fails the first `times` calls with a system error."""

    def __init__(self, monkeypatch, error_number, times):
        self.remaining = times
        self.error_number = error_number
        self.calls = 0
        self.reread = config.reread
        monkeypatch.setattr("dunepulley.net.discovery_watch.reread", self)

    def __call__(self, current):
        self.calls += 1
        if self.remaining == 0:
            return self.reread(current)
        self.remaining -= 1
        raise ConfigError("cannot read") from OSError(self.error_number, "fault")


async def reload_with(rig, tmp_path, discovery):
    """Reload a configuration that names another discovery."""
    path = tmp_path / "config.json"
    document = {"name": "n0", "listen": "127.0.0.1:1", "discovery": discovery.address, "settings": {}}
    path.write_text(json.dumps(document))
    rig.service.config = rig.service.config._replace(path=str(path), listen=("127.0.0.1", rig.service.port))
    rig.service.reload()


@pytest.mark.parametrize("error_number", [errno.EMFILE, errno.ENFILE, errno.ENOMEM])
@on_loop
async def test_configuration_is_read_again_once_there_is_a_descriptor(tmp_path, monkeypatch, error_number):
    # Guards against missing a new configuration for good, and with it the drains of its discovery.
    async with DispatcherRig(lambda call: ACCEPTED) as rig, FakeDiscovery() as discovery:
        reads = FailingReads(monkeypatch, error_number, times=2)
        await reload_with(rig, tmp_path, discovery)
        assert rig.service.watch.address != discovery.address
        await until(lambda: rig.service.watch.address == discovery.address)
        assert reads.calls == 3 and rig.core.counters["reloads"] == 1


@pytest.mark.parametrize("error_number", [errno.ENOENT, errno.EACCES])
@on_loop
async def test_configuration_that_cannot_be_used_is_not_read_again(tmp_path, monkeypatch, error_number):
    async with DispatcherRig(lambda call: ACCEPTED) as rig, FakeDiscovery() as discovery:
        reads = FailingReads(monkeypatch, error_number, times=1)
        await reload_with(rig, tmp_path, discovery)
        assert reads.calls == 1 and rig.service.watch._reload_timer is None


@on_loop
async def test_later_reload_replaces_one_that_is_to_be_tried_again(tmp_path, monkeypatch):
    async with DispatcherRig(lambda call: ACCEPTED) as rig, FakeDiscovery() as first, FakeDiscovery() as last:
        reads = FailingReads(monkeypatch, errno.EMFILE, times=1)
        await reload_with(rig, tmp_path, first)
        await reload_with(rig, tmp_path, last)
        assert rig.service.watch.address == last.address
        assert rig.service.watch._reload_timer is None and reads.calls == 2


def test_text_of_a_transient_error_names_file_and_cause(tmp_path, monkeypatch):
    def fail(*arguments):
        raise OSError(errno.EMFILE, "Too many open files")

    monkeypatch.setattr("builtins.open", fail)
    with pytest.raises(ConfigError, match="cannot read .*config.json: Too many open files") as raised:
        config.read({}, str(tmp_path / "config.json"))
    assert raised.value.is_transient()
