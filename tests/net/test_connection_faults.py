"""Failures of connect, read and write towards endpoints, and the attempt result that each leads to."""

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
    SAMPLE_OF_THIS_HOST,
    FaultyDispatcherRig,
    accept_all,
)
from support.upstream_sender import UpstreamSender

from dunepulley.net.frontend import server
from dunepulley.net.upstream import connection_pool
from dunepulley.routing.events import AttemptResult


@pytest.mark.parametrize(("call", "error"), CALLS_OF_THIS_HOST)
@on_loop
async def test_a_single_local_fault_is_retried_and_ejects_no_endpoint(call, error):
    with FaultySockets() as sockets:
        async with FaultyDispatcherRig(sockets, accept_all, accept_all) as rig:
            client = await rig.connect()
            faults = rig.fail(call, error, times=1)
            assert await rig.serve(client=client) == "200" and rig.received_ids() == ["a"]
            assert sum([fault.hits for fault in faults]) >= 1 and not rig.ejected()
            assert not rig.core.counters["ho not connected"]


@pytest.mark.parametrize(("call", "error"), SAMPLE_OF_THIS_HOST)
@on_loop
async def test_a_persistent_local_fault_rejects_after_few_attempts_and_ejects_no_endpoint(call, error):
    with FaultySockets() as sockets:
        async with FaultyDispatcherRig(
            sockets, accept_all, accept_all, policyLimits__mostHandOffs=2.0
        ) as rig:
            client = await rig.connect()
            faults = rig.fail(call, error)
            # It certainly never ran, so that the client may retry.
            assert await rig.serve(target="/pay/1", client=client) == "503"
            assert sum([fault.hits for fault in faults]) == 2
            assert not rig.ejected() and not rig.received_ids()
            for fault in faults:
                fault.lift()
            assert await rig.serve("b", target="/pay/1") == "200" and rig.received_ids() == ["b"]


@pytest.mark.parametrize("error", ["EMFILE", "EADDRNOTAVAIL"])
@on_loop
async def test_timeout_during_the_delay_after_a_local_fault_counts_against_no_endpoint(error, monkeypatch):
    # On a busy machine, the request must not be failed before the router decides.
    monkeypatch.setattr(server, "UNANSWERED_GRACE_MS", 10_000.0)
    with FaultySockets() as sockets:
        async with FaultyDispatcherRig(sockets, accept_all) as rig:
            faults = rig.fail("connect", error)
            reader, writer = await rig.connect()
            # The expected work is short enough for an attempt; its timeout is shorter than the delay.
            writer.write(request("/look/1", b"x", "X-Call-Cost: 1000", budget=80))
            assert (await read_message(reader)).target == "503"
            await until(lambda: not rig.core.requests)
            assert faults[0].hits and not rig.ejected() and not rig.core.counters["ho not connected"]
            writer.close()


@pytest.mark.parametrize(("call", "error"), CALLS_OF_THE_ENDPOINT)
@on_loop
async def test_a_fault_of_an_endpoint_retries_elsewhere_and_ejects_only_that_endpoint(call, error):
    with FaultySockets() as sockets:
        async with FaultyDispatcherRig(sockets, accept_all, accept_all) as rig:
            sockets.fail(call, error, rig.endpoints[0].port)
            for request_id in "abcd":
                assert await rig.serve(request_id, target="/pay/1") == "200"
            assert rig.ejected() == {"w0"} and not rig.endpoints[0].seen


@on_loop
async def test_an_interrupted_connect_completes():
    with FaultySockets() as sockets:
        async with FaultyDispatcherRig(sockets, accept_all, accept_all) as rig:
            faults = rig.fail("connect", "EINTR")
            assert await rig.serve() == "200"
            assert sum([fault.hits for fault in faults]) == 1 and not rig.ejected()


@pytest.mark.parametrize("reuses_connection", [False, True])
@pytest.mark.parametrize("error", [*NO_MEMORY, "ENETDOWN", "ENETUNREACH"])
@on_loop
async def test_local_read_error_after_the_last_byte_does_not_retry_a_non_idempotent_request(
    reuses_connection, error, monkeypatch
):
    # Guards against running twice a request that must not run twice.
    monkeypatch.setattr(connection_pool, "REST_S", 0.0)
    with FaultySockets() as sockets:
        async with FaultyDispatcherRig(sockets, accept_all) as rig:
            if reuses_connection:
                assert await rig.serve("before", target="/pay/1") == "200"
            rig.fail("recv", error, times=1)
            assert await (await rig.send(target="/pay/1")) not in ("200", "503")
            assert rig.received_ids().count("a") == 1 and not rig.ejected()


@pytest.mark.parametrize("reuses_connection", [False, True])
@pytest.mark.parametrize("error", [*NO_MEMORY, "ENETDOWN", "ENETUNREACH"])
@on_loop
async def test_local_write_error_before_the_last_byte_retries_a_non_idempotent_request(
    reuses_connection, error, monkeypatch
):
    monkeypatch.setattr(connection_pool, "REST_S", 0.0)
    with FaultySockets() as sockets:
        async with FaultyDispatcherRig(sockets, accept_all) as rig:
            if reuses_connection:
                assert await rig.serve("before", target="/pay/1") == "200"
            rig.fail("send", error, times=1)
            assert await rig.serve(target="/pay/1") == "200"
            assert rig.received_ids().count("a") == 1 and not rig.ejected()


class Endpoint:
    """An endpoint that records the bytes it reads in `raw`, and sends `response` after the first of them."""

    def __init__(self):
        self.raw = self.response = b""
        self.connections = self.closed_connections = 0

    async def __aenter__(self):
        self.server = await asyncio.start_server(self.serve_connection, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        return self

    async def __aexit__(self, *_):
        self.server.close()

    async def serve_connection(self, reader, writer):
        self.connections += 1
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65536):
                if not self.raw:
                    writer.write(self.response)
                self.raw += data
        self.closed_connections += 1
        writer.close()


LAST = b"last byte"
BODY = bytes(20000) + LAST


@on_loop
async def test_short_reads_and_writes_are_continued():
    with FaultySockets(seed=3) as sockets:
        async with FaultyDispatcherRig(sockets, accept_all, accept_all, accept_all) as rig:
            for endpoint in rig.endpoints:
                sockets.limit_call_size("send", endpoint.port, 40)
                sockets.limit_call_size("recv", endpoint.port, 7)
            sockets.limit_call_size("send", rig.service.port, 40)  # responses to clients, too
            for number in range(20):
                assert await rig.serve(f"r{number}", target="/pay/1") == "200"
            assert sorted(rig.received_ids()) == sorted([f"r{number}" for number in range(20)])
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
async def test_health_check_that_fails_locally_does_not_count_against_its_endpoint(error, result):
    with FaultySockets() as sockets:
        async with Endpoint() as endpoint, UpstreamSender() as sender:
            sockets.fail("connect", error, endpoint.port)
            sender.upstream.check_health("w", endpoint.address)
            assert await sender.first_result() == result


@pytest.mark.parametrize("hedging", [True, False])
@on_loop
async def test_an_attempt_cancelled_during_its_write_never_has_its_last_byte_sent(hedging):
    # Guards against a closed transport that still writes its buffer: the attempt would start after its end.
    with FaultySockets() as sockets:
        async with Endpoint() as endpoint, UpstreamSender(**{"policyLimits.secondCopies": hedging}) as sender:
            sockets.limit_sends(endpoint.port, 5000)
            attempt = sender.send(endpoint.address, body=BODY)
            await until(lambda: len(endpoint.raw) == 5000)
            sender.upstream.cancel_attempt(attempt, notify=True)
            assert await sender.first_result() == AttemptResult.NOT_SENT
            sockets.unlimit_sends(endpoint.port)
            await until(lambda: endpoint.closed_connections)
            assert LAST not in endpoint.raw and endpoint.connections == 1
            assert len(sender.reported) == 1


@on_loop
async def test_a_write_that_blocks_until_the_timeout_never_sends_its_last_byte():
    # Guards against a last byte that is sent after the attempt was reported as never run.
    with FaultySockets() as sockets:
        async with Endpoint() as endpoint, UpstreamSender() as sender:
            sockets.limit_sends(endpoint.port, 5000)
            sender.send(endpoint.address, body=BODY, limit=100.0)
            assert await sender.first_result() == AttemptResult.CONNECT_FAILED
            sockets.unlimit_sends(endpoint.port)
            await until(lambda: endpoint.closed_connections)
            assert LAST not in endpoint.raw and endpoint.connections == 1


@on_loop
async def test_half_close_by_the_endpoint_before_the_last_byte_may_still_have_run():
    # Guards against a second run: the endpoint half-closes, reads on, and receives the whole request.
    async def half_close_and_read_on(reader, writer):
        raw = bytearray()
        received.append(raw)
        raw.extend(await reader.read(100))
        writer.write_eof()
        while data := await reader.read(65536):
            raw.extend(data)
        writer.close()

    received = []  # by connection; the attempt's is the first, cancellations follow
    server = await asyncio.start_server(half_close_and_read_on, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    with FaultySockets() as sockets:
        async with UpstreamSender() as sender:
            sockets.limit_call_size("send", port, 100)
            sender.send(f"127.0.0.1:{port}", body=BODY)
            assert await sender.first_result() == AttemptResult.CONNECTION_LOST
            await until(lambda: received[0].endswith(LAST))
            assert all([raw.startswith(b"DELETE /jobs/a ") for raw in received[1:]])
    server.close()


@on_loop
async def test_a_request_accepted_before_its_last_byte_is_still_written_completely():
    async with Endpoint() as endpoint, UpstreamSender() as sender:
        with FaultySockets() as sockets:
            sockets.limit_sends(endpoint.port, 5000)
            endpoint.response = ACCEPTED
            sender.send(endpoint.address, body=BODY)
            await until(lambda: sender.counters["ho accepted"])
            sockets.unlimit_sends(endpoint.port)
            await until(lambda: endpoint.raw.endswith(LAST))
            assert not sender.reported
