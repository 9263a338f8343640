"""Calls to endpoints that fail: connect, read and write, and what each failure proves."""

import asyncio
import contextlib

import pytest
from support.event_loop import on_loop, until
from support.faulty_sockets import FaultySockets
from support.http_messages import (
    ACCEPTED,
    read_message,
    request,
)
from support.system_call_faults import (
    CALLS_OF_THE_ENDPOINT,
    CALLS_OF_THIS_HOST,
    NO_MEMORY,
    SOME_OF_THIS_HOST,
    FaultyDispatcherRig,
    taken,
)
from support.upstream_sender import UpstreamSender

from dunepulley.net.frontend import server
from dunepulley.routing.events import AttemptResult


@pytest.mark.parametrize(("call", "error"), CALLS_OF_THIS_HOST)
@on_loop
async def test_a_fault_of_this_host_for_a_moment_costs_a_moment_and_ejects_nobody(call, error):
    with FaultySockets() as sockets:
        async with FaultyDispatcherRig(sockets, taken, taken) as rig:
            client = await rig.connect()
            faults = rig.fail(call, error, times=1)
            assert await rig.serve(client=client) == "200" and rig.posts() == ["a"]
            assert sum([fault.hits for fault in faults]) >= 1 and not rig.ejected()
            assert not rig.core.counters["ho not connected"]


@pytest.mark.parametrize(("call", "error"), SOME_OF_THIS_HOST)
@on_loop
async def test_a_fault_of_this_host_for_seconds_refuses_with_few_attempts_and_ejects_nobody(call, error):
    with FaultySockets() as sockets:
        async with FaultyDispatcherRig(sockets, taken, taken, policyLimits__mostHandOffs=2.0) as rig:
            client = await rig.connect()
            faults = rig.fail(call, error)
            # It surely never ran: the client may come again.
            assert await rig.serve(target="/pay/1", client=client) == "503"
            assert sum([fault.hits for fault in faults]) == 2
            assert not rig.ejected() and not rig.posts()
            for fault in faults:
                fault.lift()
            assert await rig.serve("b", target="/pay/1") == "200" and rig.posts() == ["b"]


@pytest.mark.parametrize("error", ["EMFILE", "EADDRNOTAVAIL"])
@on_loop
async def test_a_limit_that_ends_in_the_pause_after_a_fault_of_this_host_counts_against_nobody(
    error, monkeypatch
):
    # A busy machine must not have the request written off before the decision is made.
    monkeypatch.setattr(server, "UNANSWERED_GRACE_MS", 10_000.0)
    with FaultySockets() as sockets:
        async with FaultyDispatcherRig(sockets, taken) as rig:
            faults = rig.fail("connect", error)
            reader, writer = await rig.connect()
            # Short work, so that the attempt is worth it; its limit is shorter than the pause.
            writer.write(request("/look/1", b"x", "X-Call-Cost: 1000", budget=80))
            assert (await read_message(reader)).target == "503"
            await until(lambda: not rig.core.requests)
            assert faults[0].hits and not rig.ejected() and not rig.core.counters["ho not connected"]
            writer.close()


@pytest.mark.parametrize(("call", "error"), CALLS_OF_THE_ENDPOINT)
@on_loop
async def test_a_fault_of_an_endpoint_moves_the_request_and_ejects_that_endpoint_alone(call, error):
    with FaultySockets() as sockets:
        async with FaultyDispatcherRig(sockets, taken, taken) as rig:
            sockets.fail(call, error, rig.endpoints[0].port)
            for wi in "abcd":
                assert await rig.serve(wi, target="/pay/1") == "200"
            assert rig.ejected() == {"w0"} and not rig.endpoints[0].seen


@on_loop
async def test_an_interrupted_connect_goes_on_by_itself():
    with FaultySockets() as sockets:
        async with FaultyDispatcherRig(sockets, taken, taken) as rig:
            faults = rig.fail("connect", "EINTR")
            assert await rig.serve() == "200"
            assert sum([fault.hits for fault in faults]) == 1 and not rig.ejected()


@pytest.mark.parametrize("kept", [False, True])
@pytest.mark.parametrize("error", [*NO_MEMORY, "ENETDOWN", "ENETUNREACH"])
@on_loop
async def test_a_read_that_fails_here_after_the_last_byte_is_no_proof_that_nothing_ran(kept, error):
    # Guards against a second run of what may not run twice.
    with FaultySockets() as sockets:
        async with FaultyDispatcherRig(sockets, taken) as rig:
            if kept:
                assert await rig.serve("before", target="/pay/1") == "200"
            rig.fail("recv", error, times=1)
            assert await (await rig.send(target="/pay/1")) not in ("200", "503")
            assert rig.posts().count("a") == 1 and not rig.ejected()


@pytest.mark.parametrize("kept", [False, True])
@pytest.mark.parametrize("error", [*NO_MEMORY, "ENETDOWN", "ENETUNREACH"])
@on_loop
async def test_a_write_that_fails_here_before_the_last_byte_proves_that_nothing_ran(kept, error):
    with FaultySockets() as sockets:
        async with FaultyDispatcherRig(sockets, taken) as rig:
            if kept:
                assert await rig.serve("before", target="/pay/1") == "200"
            rig.fail("send", error, times=1)
            assert await rig.serve(target="/pay/1") == "200"
            assert rig.posts().count("a") == 1 and not rig.ejected()


class Endpoint:
    """An endpoint that keeps what it has read, and answers its first bytes where it has an answer."""

    def __init__(self):
        self.raw = self.answer = b""
        self.connections = self.ended = 0

    async def __aenter__(self):
        self.server = await asyncio.start_server(self.talk, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        return self

    async def __aexit__(self, *_):
        self.server.close()

    async def talk(self, reader, writer):
        self.connections += 1
        with contextlib.suppress(ConnectionError):
            while part := await reader.read(65536):
                if not self.raw:
                    writer.write(self.answer)
                self.raw += part
        self.ended += 1
        writer.close()


LAST = b"last byte"
BODY = bytes(20000) + LAST


@on_loop
async def test_short_reads_and_writes_change_nothing():
    with FaultySockets(seed=3) as sockets:
        async with FaultyDispatcherRig(sockets, taken, taken, taken) as rig:
            for peer in rig.endpoints:
                sockets.shorten("send", peer.port, 40)
                sockets.shorten("recv", peer.port, 7)
            sockets.shorten("send", rig.service.port, 40)  # the clients' side, too
            for number in range(20):
                assert await rig.serve(f"r{number}", target="/pay/1") == "200"
            assert sorted(rig.posts()) == sorted([f"r{number}" for number in range(20)])
            assert not rig.ejected() and not rig.core.counters["faults"]


@pytest.mark.parametrize(
    ("error", "result"),
    [
        ("EADDRNOTAVAIL", AttemptResult.NOT_SENT),
        ("ENETUNREACH", AttemptResult.NOT_SENT),
        ("EHOSTUNREACH", AttemptResult.CONNECT_FAILED),
    ],
)
@on_loop
async def test_a_probe_that_fails_here_says_nothing_of_its_endpoint(error, result):
    with FaultySockets() as sockets:
        async with Endpoint() as endpoint, UpstreamSender() as sender:
            sockets.fail("connect", error, endpoint.port)
            sender.upstream.check_health("w", endpoint.address)
            assert await sender.over() == result


@pytest.mark.parametrize("copies", [True, False])
@on_loop
async def test_a_request_given_up_in_the_middle_of_its_write_never_has_its_last_byte_sent(copies):
    # Guards against a transport that writes on after it is closed: the request would begin after its end.
    with FaultySockets() as sockets:
        async with Endpoint() as endpoint, UpstreamSender(**{"policyLimits.secondCopies": copies}) as sender:
            sockets.fill(endpoint.port, 5000)
            attempt = sender.send(endpoint.address, body=BODY)
            await until(lambda: len(endpoint.raw) == 5000)
            sender.upstream.cancel_attempt(attempt, notify=True)
            assert await sender.over() == AttemptResult.NOT_SENT
            sockets.empty(endpoint.port)
            await until(lambda: endpoint.ended)
            assert LAST not in endpoint.raw and endpoint.connections == 1
            assert len(sender.told) == 1


@on_loop
async def test_a_write_that_is_stuck_to_its_limit_proves_that_nothing_ran():
    # Guards against a last byte that goes out after the request was told as never run.
    with FaultySockets() as sockets:
        async with Endpoint() as endpoint, UpstreamSender() as sender:
            sockets.fill(endpoint.port, 5000)
            sender.send(endpoint.address, body=BODY, limit=100.0)
            assert await sender.over() == AttemptResult.CONNECT_FAILED
            sockets.empty(endpoint.port)
            await until(lambda: endpoint.ended)
            assert LAST not in endpoint.raw and endpoint.connections == 1


@on_loop
async def test_an_end_that_is_read_before_the_last_byte_leaves_is_no_proof_that_nothing_ran():
    # Guards against a second run: the endpoint ends its side, reads on, and has the whole request.
    async def end_and_read_on(reader, writer):
        raw.extend(await reader.read(100))
        writer.write_eof()
        while part := await reader.read(65536):
            raw.extend(part)
        writer.close()

    raw = bytearray()
    server = await asyncio.start_server(end_and_read_on, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    with FaultySockets() as sockets:
        async with UpstreamSender() as sender:
            sockets.shorten("send", port, 100)
            sender.send(f"127.0.0.1:{port}", body=BODY)
            assert await sender.over() == AttemptResult.CONNECTION_LOST
            await until(lambda: raw.endswith(LAST))
    server.close()


@on_loop
async def test_a_request_that_is_taken_before_its_last_byte_is_written_whole_all_the_same():
    async with Endpoint() as endpoint, UpstreamSender() as sender:
        with FaultySockets() as sockets:
            sockets.fill(endpoint.port, 5000)
            endpoint.answer = ACCEPTED
            sender.send(endpoint.address, body=BODY)
            await until(lambda: sender.counters["ho accepted"])
            sockets.empty(endpoint.port)
            await until(lambda: endpoint.raw.endswith(LAST))
            assert not sender.told
