"""Ports for processes that are started later."""

import socket

import pytest

from dunepulley.load import ports


@pytest.fixture
def blocks():
    """Blocks of their own, given back at the end."""
    reserved = ports.PortBlocks()
    yield reserved
    reserved.close()


def listen(port):
    return socket.create_server((ports.HOST, port))


def test_the_kernel_gives_a_free_port_to_no_other_listener_or_connection():
    # Guards against a process whose port another socket took before it started; a link to it looped.
    assert all([ports.FIRST_PORT < port < ports.END_PORT for port in ports.free_ports(50)])
    listeners = [listen(0) for _ in range(50)]
    clients = [socket.create_connection(listener.getsockname()) for listener in listeners]
    chosen = [each.getsockname()[1] for each in (*listeners, *clients)]
    for each in (*listeners, *clients):
        each.close()
    assert not [port for port in chosen if ports.FIRST_PORT <= port < ports.END_PORT]


def test_processes_that_run_at_the_same_time_get_different_ports(blocks):
    other = ports.PortBlocks()
    taken = blocks.take(ports.BLOCK_PORTS), other.take(ports.BLOCK_PORTS)
    other.close()
    assert [len(set(each)) for each in taken] == [ports.BLOCK_PORTS] * 2
    assert not set(taken[0]) & set(taken[1])


def test_a_port_is_taken_again_only_after_all_others(monkeypatch, blocks):
    monkeypatch.setattr(ports, "_is_free", lambda port: True)
    first = blocks.take(ports.BLOCK_PORTS - 1)
    assert [blocks.take(1) for _ in range(2)] == [[first[0]], [first[1]]]


def bind_datagrams(port):
    user = socket.socket(type=socket.SOCK_DGRAM)
    user.bind((ports.HOST, port))
    return user


@pytest.mark.parametrize("use", [listen, bind_datagrams])
def test_a_port_in_use_is_passed_over(monkeypatch, blocks, use):
    is_free = ports._is_free
    (port,) = blocks.take(1)
    # Other ports of the block count as free, whatever uses them on this machine.
    monkeypatch.setattr(ports, "_is_free", lambda other: other != port or is_free(port))
    rest = ports.BLOCK_PORTS - 2
    with use(port):
        assert port not in blocks.take(rest)
    assert port in blocks.take(rest + 1)


def test_a_closed_server_leaves_its_port_free(blocks):
    (port,) = blocks.take(1)
    with listen(port) as listener, socket.create_connection((ports.HOST, port)) as client:
        assert not ports._is_free(port)
        # The server closes first, so that its port remembers the connection.
        listener.accept()[0].close()
        assert client.recv(1) == b""
    assert ports._is_free(port)


def test_blocks_are_refused_once_all_are_reserved_and_can_be_reserved_again(monkeypatch, blocks):
    monkeypatch.setattr(ports, "FIRST_PORT", ports.END_PORT)
    monkeypatch.setattr(ports, "END_PORT", ports.END_PORT + ports.BLOCK_PORTS)
    first = blocks.take(1)
    other = ports.PortBlocks()
    with pytest.raises(OSError, match="reserved all ports"):
        other.take(1)
    blocks.close()
    assert other.take(1) == first
    other.close()
