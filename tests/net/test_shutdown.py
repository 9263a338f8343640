"""A shutdown that SIGKILL cuts short: what was read has its final answer, whatever else happens."""

import asyncio
import contextlib
import socket
from copy import copy
from itertools import count

from support.client_sockets import LOST, NOT_READ, ClientSocket
from support.dispatcher_rig import DispatcherRig
from support.event_loop import on_loop, until
from support.fake_server import SILENT, FakeServer
from support.http_messages import ACCEPTED, request
from test_service import Process

from dunepulley.net.frontend import server
from dunepulley.net.messages import Answer
from dunepulley.routing.events import AttemptEnded

# SIGKILL comes no sooner than the longest deadline and this after SIGTERM.
SPARE_S = 0.7
# A final answer may come so much later than its time.
LATE_S = 0.5
CLIENTS = 6
DEADLINES_S = [0.3, 1.0, 3.0]


class Traffic:
    """Clients that send on, over connections that are kept, until nobody listens any more."""

    def __init__(self, node, deadline):
        self.node, self.deadline = node, deadline
        self.numbers = count()
        self.endings = []  # of each request: what became of it, and after how long
        self.loop = asyncio.get_running_loop()

    def request(self):
        budget = int(1000 * self.deadline)
        return request("/look/1", b"x" * 100, wi=f"r{next(self.numbers)}", budget=budget)

    async def client(self):
        """One request after another; over a new connection where the one before has ended."""
        with contextlib.suppress(ConnectionRefusedError, ConnectionResetError):
            while True:
                async with ClientSocket(self.node.port) as connection:
                    while await self.one(connection):
                        pass

    async def one(self, connection):
        """One request; whether its connection is kept."""
        began = self.loop.time()
        await connection.send(self.request())
        ending = await connection.ending()
        self.note(ending, began)
        return ending.kept

    def note(self, ending, began):
        self.endings.append((ending.verdict, self.loop.time() - began))

    async def half(self, rest):
        """A request of which the rest comes after a while, or a byte at a time and never whole."""
        raw = self.request()
        async with ClientSocket(self.node.port) as connection:
            await connection.send(raw[:-60])
            ended = asyncio.create_task(connection.ending())
            try:
                await rest(connection, raw[-60:], ended)
                return await ended
            finally:
                ended.cancel()

    async def pipeline(self):
        """Two requests at once, which no client may: the answer to the first, then a refusal."""
        async with ClientSocket(self.node.port) as connection:
            await connection.send(self.request() + self.request())
            return [(await connection.ending()).verdict for _ in range(2)]


async def soon(connection, rest, ended):
    """The rest of a half comes soon."""
    await asyncio.sleep(0.1)
    await connection.send(rest)


async def never(connection, rest, ended):
    """The rest of a half comes byte for byte, so slowly that it is never whole."""
    for byte in rest[:-1]:
        if ended.done() or not await connection.send(bytes([byte])):
            return
        await asyncio.wait([ended], timeout=0.1)


def hangs(call):
    """An endpoint that takes every other request and says nothing to the others, and is heard no more."""
    return ACCEPTED if int(call.headers.get("x-call-id", "r0")[1:]) % 2 else SILENT


async def end(node, deadline):
    """SIGTERM, and SIGKILL as early as it may come, if the process has not ended well before."""
    node.process.terminate()
    ended = asyncio.create_task(node.process.wait())
    await asyncio.wait([ended], timeout=deadline + SPARE_S)
    if not ended.done():
        node.process.kill()
    assert await ended == 0


def check(traffic):
    """Each request was answered in time, unless it was not read at all."""
    verdicts = {verdict for verdict, _ in traffic.endings}
    assert LOST not in verdicts and len(traffic.endings) >= 2 * CLIENTS
    assert all([took <= traffic.deadline + LATE_S for _, took in traffic.endings])
    # Served is nobody: a request is refused or has failed.
    assert verdicts <= {"500", "503", NOT_READ} and {"500", "503"} & verdicts


async def shutdown(folder, deadline):
    """A shutdown while endpoints hang and clients send on."""
    async with (
        FakeServer(hangs) as worker,
        FakeServer(lambda call: SILENT) as watch,
        Process(folder, worker, watch, expiryUs=int(1e6 * deadline)) as node,
    ):
        traffic = Traffic(node, deadline)
        sending = [asyncio.create_task(traffic.client()) for _ in range(CLIENTS)]
        halves = [asyncio.create_task(traffic.half(rest)) for rest in (soon, never)]
        await until(lambda: len(worker.seen) >= CLIENTS)
        ending = asyncio.create_task(end(node, deadline))
        first, second = await traffic.pipeline()
        assert first in ("500", "503") and second == "400"
        await ending
        await asyncio.wait_for(asyncio.gather(*sending, *halves), 2.0)
        check(traffic)
        finished, slow = [half.result().verdict for half in halves]
        assert finished in ("500", "503") and slow in ("408", "503")


@on_loop
async def test_nothing_is_owed_at_sigkill_though_endpoints_hang_and_clients_send_on(tmp_path):
    async with asyncio.TaskGroup() as cases:
        for deadline in DEADLINES_S:
            folder = tmp_path / str(deadline)
            folder.mkdir()
            cases.create_task(shutdown(folder, deadline))


@on_loop
async def test_the_parent_of_a_hot_restart_owes_nothing_at_sigkill_either(tmp_path):
    deadline = DEADLINES_S[0]
    async with (
        FakeServer(hangs) as worker,
        FakeServer(lambda call: SILENT) as watch,
    ):
        parent = Process(tmp_path, worker, watch, expiryUs=int(1e6 * deadline))
        parent.environment = parent.environment | {"TMPDIR": str(tmp_path)}
        child = copy(parent)
        async with parent:
            traffic = Traffic(parent, deadline)
            sending = [asyncio.create_task(traffic.client()) for _ in range(CLIENTS)]
            await until(lambda: len(worker.seen) >= CLIENTS)
            async with child:
                while b"listens at" not in await child.process.stderr.readline():
                    pass
                await end(parent, deadline)
                before = len(traffic.endings)
                # The clients that it had are served by the other process now.
                await until(lambda: len(traffic.endings) >= before + CLIENTS)
                await end(child, deadline)
                await asyncio.wait_for(asyncio.gather(*sending), 2.0)
        check(traffic)


def brief():
    """A dispatcher whose deadlines are short, so that its shutdown is, too."""
    return DispatcherRig(
        lambda call: SILENT, **{f"categories__{number}__expiryMs": 300.0 for number in range(3)}
    )


@on_loop
async def test_a_connection_that_was_being_accepted_at_the_end_outlives_nothing():
    # Guards against a request that is read once nobody is left to answer it.
    async with brief() as rig:
        loop = asyncio.get_running_loop()
        accepted, goes_on, made = asyncio.Event(), asyncio.Event(), asyncio.Event()
        finish = loop.connect_accepted_socket

        async def late(*what, **how):
            accepted.set()
            await goes_on.wait()
            try:
                return await finish(*what, **how)
            finally:
                made.set()

        loop.connect_accepted_socket = late
        async with ClientSocket(rig.service.port) as client:
            await client.send(request("/look/1"))
            await accepted.wait()
            closing = asyncio.create_task(rig.frontend.close())
            await until(lambda: rig.frontend.listener.socket is None)
            goes_on.set()
            await made.wait()
            assert not closing.done()
            await closing
            assert not rig.frontend.server.accepted
            assert (await client.ending()).verdict in ("503", NOT_READ)


@on_loop
async def test_an_answer_that_is_read_slowly_at_the_end_is_waited_for():
    async with brief() as rig, ClientSocket(rig.service.port, receive_buffer=4096) as client:
        await until(lambda: rig.frontend.server.accepted)
        (connection,) = rig.frontend.server.accepted
        transport = connection.transport
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        await client.send(request("/look/1"))
        await until(lambda: "a" in rig.frontend.waiting)
        # Less than what has the library wait for the client, and more than the sockets hold.
        body = b"x" * 60_000
        rig.frontend.waiting["a"].settle(Answer(AttemptEnded, body))
        await until(transport.get_write_buffer_size)
        await rig.service.finish()
        assert transport.get_write_buffer_size()
        closing = asyncio.create_task(rig.frontend.close())
        await asyncio.wait([closing], timeout=server.FINAL_RESPONSES_TIMEOUT_S / 2)
        assert not closing.done() and transport.get_write_buffer_size()
        assert (await client.ending()).body == body
        await closing
