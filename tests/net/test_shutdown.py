"""A shutdown that SIGKILL may end: every request that was read gets its response before."""

import asyncio
import contextlib
import socket
from copy import copy
from itertools import count

import pytest
from support.client_sockets import LOST, NOT_READ, ClientSocket
from support.dispatcher_rig import DispatcherRig
from support.event_loop import on_loop, until
from support.fake_server import SILENT, FakeServer
from support.http_messages import ACCEPTED, read_message, request
from test_service import Process

from dunepulley.net.frontend import server
from dunepulley.net.messages import Answer
from dunepulley.routing.events import AttemptEnded

# SIGKILL follows SIGTERM no sooner than after the longest request timeout and this margin.
KILL_MARGIN_S = 0.7
# A response may be this much later than the timeout of its request.
TOLERANCE_S = 0.5
CLIENTS = 6
TIMEOUTS_S = [0.3, 1.0, 3.0]


class Traffic:
    """Clients that keep sending requests, over persistent connections, until nobody listens any more."""

    def __init__(self, node, timeout_s):
        self.node, self.timeout_s = node, timeout_s
        self.numbers = count()
        self.results = []  # verdict and duration in s of each request
        self.loop = asyncio.get_running_loop()

    def request(self):
        timeout_ms = int(1000 * self.timeout_s)
        return request("/look/1", b"x" * 100, request_id=f"r{next(self.numbers)}", budget=timeout_ms)

    async def client(self):
        """Send one request after another, over a new connection if the previous one was closed."""
        with contextlib.suppress(ConnectionRefusedError, ConnectionResetError):
            while True:
                async with ClientSocket(self.node.port) as connection:
                    while await self.send_request(connection):
                        pass

    async def send_request(self, connection):
        """Send one request; return whether its connection stays open."""
        started_s = self.loop.time()
        await connection.send(self.request())
        ending = await connection.read_outcome()
        self.record(ending, started_s)
        return ending.keep_alive

    def record(self, ending, started_s):
        self.results.append((ending.status, self.loop.time() - started_s))

    async def send_partial(self, rest):
        """Send an incomplete request, and let `rest` send its remaining bytes."""
        raw = self.request()
        async with ClientSocket(self.node.port) as connection:
            await connection.send(raw[:-60])
            ended = asyncio.create_task(connection.read_outcome())
            try:
                await rest(connection, raw[-60:], ended)
                return await ended
            finally:
                ended.cancel()

    async def pipeline(self):
        """Send two requests at once, which is not allowed: the first is answered, the second rejected."""
        async with ClientSocket(self.node.port) as connection:
            await connection.send(self.request() + self.request())
            return [(await connection.read_outcome()).status for _ in range(2)]


async def send_rest_soon(connection, rest, ended):
    """Send the rest of a request after a short delay."""
    await asyncio.sleep(0.1)
    await connection.send(rest)


async def send_rest_slowly(connection, rest, ended):
    """Send the rest of a request byte by byte, so slowly that it is never complete."""
    for byte in rest[:-1]:
        if ended.done() or not await connection.send(bytes([byte])):
            return
        await asyncio.wait([ended], timeout=0.1)


def accept_every_other(call):
    """An endpoint that accepts every other request, never responds to the rest, and sends no callbacks."""
    return ACCEPTED if int(call.headers.get("x-call-id", "r0")[1:]) % 2 else SILENT


async def terminate(node, timeout_s):
    """Send SIGTERM, and SIGKILL at the earliest allowed time; the process must have ended before."""
    node.process.terminate()
    ended = asyncio.create_task(node.process.wait())
    await asyncio.wait([ended], timeout=timeout_s + KILL_MARGIN_S)
    if not ended.done():
        node.process.kill()
    assert await ended == 0


def assert_all_answered(traffic):
    """Assert that each request was answered in time, unless it was not read at all."""
    verdicts = {verdict for verdict, _ in traffic.results}
    assert LOST not in verdicts and len(traffic.results) >= 2 * CLIENTS
    assert all([duration_s <= traffic.timeout_s + TOLERANCE_S for _, duration_s in traffic.results])
    # No request can succeed: each is rejected or fails.
    assert verdicts <= {"500", "503", NOT_READ} and {"500", "503"} & verdicts


async def shutdown(folder, timeout_s):
    """Shut a dispatcher down while endpoints hang and clients keep sending."""
    async with (
        FakeServer(accept_every_other) as worker,
        FakeServer(lambda call: SILENT) as watch,
        Process(folder, worker, watch, expiryUs=int(1e6 * timeout_s)) as node,
    ):
        traffic = Traffic(node, timeout_s)
        clients = [asyncio.create_task(traffic.client()) for _ in range(CLIENTS)]
        partial_requests = [
            asyncio.create_task(traffic.send_partial(rest)) for rest in (send_rest_soon, send_rest_slowly)
        ]
        await until(lambda: len(worker.seen) >= CLIENTS)
        ending = asyncio.create_task(terminate(node, timeout_s))
        first, second = await traffic.pipeline()
        assert first in ("500", "503") and second == "400"
        await ending
        await asyncio.wait_for(asyncio.gather(*clients, *partial_requests), 2.0)
        assert_all_answered(traffic)
        finished, slow = [task.result().status for task in partial_requests]
        assert finished in ("500", "503") and slow in ("408", "503")


@on_loop
async def test_every_request_is_answered_before_sigkill_though_endpoints_hang(tmp_path):
    async with asyncio.TaskGroup() as cases:
        for timeout_s in TIMEOUTS_S:
            folder = tmp_path / str(timeout_s)
            folder.mkdir()
            cases.create_task(shutdown(folder, timeout_s))


@on_loop
async def test_the_parent_of_a_hot_restart_answers_every_request_before_sigkill(tmp_path):
    timeout_s = TIMEOUTS_S[0]
    async with (
        FakeServer(accept_every_other) as worker,
        FakeServer(lambda call: SILENT) as watch,
    ):
        parent = Process(tmp_path, worker, watch, expiryUs=int(1e6 * timeout_s))
        parent.environment = parent.environment | {"TMPDIR": str(tmp_path)}
        child = copy(parent)
        async with parent:
            traffic = Traffic(parent, timeout_s)
            clients = [asyncio.create_task(traffic.client()) for _ in range(CLIENTS)]
            await until(lambda: len(worker.seen) >= CLIENTS)
            async with child:
                while b"listens at" not in await child.process.stderr.readline():
                    pass
                await terminate(parent, timeout_s)
                before = len(traffic.results)
                # The parent's clients are served by the child now.
                await until(lambda: len(traffic.results) >= before + CLIENTS)
                await terminate(child, timeout_s)
                await asyncio.wait_for(asyncio.gather(*clients), 2.0)
        assert_all_answered(traffic)


def rig_with_short_timeouts():
    """A dispatcher with short request timeouts, so that its shutdown is short, too."""
    return DispatcherRig(
        lambda call: SILENT, **{f"categories__{number}__expiryMs": 300.0 for number in range(3)}
    )


@on_loop
async def test_close_waits_for_a_connection_that_is_being_accepted():
    # Guards against reading a request after the server that would answer it was closed.
    async with rig_with_short_timeouts() as rig:
        loop = asyncio.get_running_loop()
        accepted, may_continue, connected = asyncio.Event(), asyncio.Event(), asyncio.Event()
        connect = loop.connect_accepted_socket

        async def delayed_connect(*args, **kwargs):
            accepted.set()
            await may_continue.wait()
            try:
                return await connect(*args, **kwargs)
            finally:
                connected.set()

        loop.connect_accepted_socket = delayed_connect
        async with ClientSocket(rig.service.port) as client:
            await client.send(request("/look/1"))
            await accepted.wait()
            closing = asyncio.create_task(rig.frontend.close())
            await until(lambda: rig.frontend.listener.socket is None)
            may_continue.set()
            await connected.wait()
            assert not closing.done()
            await closing
            assert not rig.frontend.server.accepted
            assert (await client.read_outcome()).status in ("503", NOT_READ)


@on_loop
async def test_shutdown_waits_for_a_response_that_is_read_slowly():
    async with (
        rig_with_short_timeouts() as rig,
        ClientSocket(rig.service.port, receive_buffer=4096) as client,
    ):
        await until(lambda: rig.frontend.server.accepted)
        (connection,) = rig.frontend.server.accepted
        transport = connection.transport
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        await client.send(request("/look/1"))
        await until(lambda: "a" in rig.frontend.waiting)
        # Small enough that aiohttp does not wait for the client, but more than the sockets buffer.
        body = b"x" * 60_000
        rig.frontend.waiting["a"].settle(Answer(AttemptEnded, body))
        await until(transport.get_write_buffer_size)
        await rig.service.finish()
        assert transport.get_write_buffer_size()
        closing = asyncio.create_task(rig.frontend.close())
        await asyncio.wait([closing], timeout=server.FINAL_RESPONSES_TIMEOUT_S / 2)
        assert not closing.done() and transport.get_write_buffer_size()
        assert (await client.read_outcome()).body == body
        await closing


@on_loop
async def test_a_client_that_has_just_connected_when_the_process_ends_may_still_send(monkeypatch):
    # Guards against a reset between a client's connect and its request, which a busy machine makes longer.
    monkeypatch.setattr(server, "FIRST_REQUEST_WINDOW_S", 60.0)
    monkeypatch.setattr(server, "FINAL_RESPONSES_TIMEOUT_S", 5.0)
    async with DispatcherRig(lambda call: ACCEPTED) as rig:
        rig.frontend.leave(server.SHUTTING_DOWN, 60.0)
        reader, writer = await rig.connect()
        closing = asyncio.create_task(rig.frontend.close())
        await until(lambda: rig.frontend.server.new and rig.frontend.listener.socket is None)
        writer.write(request("/look/1"))
        assert (await read_message(reader)).target == "503"
        await closing
        writer.close()


@on_loop
async def test_a_client_that_sends_nothing_holds_the_end_of_the_process_up_only_shortly(monkeypatch):
    monkeypatch.setattr(server, "FIRST_REQUEST_WINDOW_S", 0.0)
    monkeypatch.setattr(server, "FINAL_RESPONSES_TIMEOUT_S", 60.0)
    async with DispatcherRig(lambda call: ACCEPTED) as rig:
        reader, writer = await rig.connect()
        await until(lambda: rig.frontend.server.new)
        await rig.frontend.close()
        assert await reader.read() == b""
        writer.close()


@pytest.mark.parametrize("clients", [1, 40])
@on_loop
async def test_clients_that_wait_to_be_accepted_when_the_process_ends_are_answered(clients):
    # Guards against requests without an answer: the kernel resets connections that were not accepted.
    async with DispatcherRig(lambda call: ACCEPTED) as rig, contextlib.AsyncExitStack() as stack:
        rig.frontend.leave(server.SHUTTING_DOWN, 60.0)
        sockets = [stack.enter_context(socket.socket()) for _ in range(clients)]
        # Without a turn of the event loop in between.
        for number, client in enumerate(sockets):
            client.connect(("127.0.0.1", rig.service.port))
            client.sendall(request("/look/1", request_id=f"r{number}"))
        await rig.frontend.close()
        answers = [client.recv(4096) for client in sockets]
        assert [answer[:12] for answer in answers] == [b"HTTP/1.1 503"] * clients
        assert not rig.endpoints[0].seen and rig.core.counters["taken"] == 0
