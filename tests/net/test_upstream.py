"""What is sent to endpoints, and how responses and failures map to attempt results."""

import asyncio
import os
import resource
import socket

import pytest
from support.event_loop import on_loop, until
from support.fake_server import ABORT, CLOSE, SILENT, FakeServer
from support.http_messages import ACCEPTED, response
from support.upstream_sender import ProbingSender

from dunepulley.net.counters import Counters
from dunepulley.net.messages import AttemptFinished, PendingRequest, UpstreamAttempt
from dunepulley.net.upstream import connection_pool
from dunepulley.net.upstream.request_body import AttemptBody
from dunepulley.net.upstream.responses import parse_health_report
from dunepulley.routing.events import AttemptResult, RequestArrived


@pytest.mark.parametrize(
    ("reply", "result"),
    [
        (response(500), AttemptResult.ERRORED),
        (response(503), AttemptResult.ERRORED),
        (response(504), AttemptResult.ERRORED),
        (response(400), AttemptResult.UNPROCESSABLE),
        (response(413), AttemptResult.UNPROCESSABLE),
        (response(404), AttemptResult.ERRORED),
        (response(307, b"", "Location: /look/2"), AttemptResult.ERRORED),
        (response(503, b"", "X-Rejected: 1"), AttemptResult.REJECTED),
        (response(504, b"", "X-Rejected: 1"), AttemptResult.REJECTED),
        (response(500, b"", "X-Rejected: 1"), AttemptResult.ERRORED),
        (ABORT, AttemptResult.CONNECTION_LOST),
        (CLOSE, AttemptResult.CONNECTION_LOST),
        (b"HTTP/1.1 20", AttemptResult.CONNECTION_LOST),
        (b"nonsense\r\n\r\n", AttemptResult.CONNECTION_LOST),
    ],
)
@on_loop
async def test_result_of_a_response(reply, result):
    def respond(call):
        return reply if reply in (ABORT, CLOSE) or reply.endswith(b"\r\n\r\n") else partial_response()

    async def partial_response():
        yield reply

    async with FakeServer(respond) as peer, ProbingSender() as sender:
        sender.send(peer.address)
        assert await sender.first_result() == result
        await until(lambda: not sender.upstream.tasks)
        assert len(sender.reported) == 1
        # The attempt is sent once. If it may run, the endpoint is told twice at most to cancel it.
        methods = [call.method for call in peer.seen]
        cancellations = 2 if result is AttemptResult.CONNECTION_LOST else 0
        assert methods == ["POST"] + ["DELETE"] * cancellations


@on_loop
async def test_refused_connection_and_connect_timeout_fail_to_connect():
    async with ProbingSender() as sender:
        listener = socket.socket()
        listener.bind(("127.0.0.1", 0))
        address = listener.getsockname()
        sender.send(f"127.0.0.1:{address[1]}")
        assert await sender.first_result() == AttemptResult.CONNECT_FAILED
        # An unreachable machine: the listener's queue is full, and no connection is accepted.
        listener.listen(0)
        clients = [socket.socket() for _ in range(4)]
        for client in clients:
            client.setblocking(False)
            client.connect_ex(address)
        sender.reported.clear()
        sender.send(f"127.0.0.1:{address[1]}")
        assert await sender.first_result() == AttemptResult.CONNECT_FAILED
        for each in (listener, *clients):
            each.close()


@on_loop
async def test_connection_broken_before_the_last_byte_was_sent_never_ran():
    # The endpoint resets the connection after 100 bytes; the buffers cannot hold the remaining ones.
    async def reset_after_100_bytes(reader, writer):
        await reader.readexactly(100)
        writer.transport.abort()

    server = await asyncio.start_server(reset_after_100_bytes, "127.0.0.1", 0, limit=1024)
    async with ProbingSender() as sender:
        attempt = sender.send(f"127.0.0.1:{server.sockets[0].getsockname()[1]}", body=bytes(64_000_000))
        assert await sender.first_result() == AttemptResult.CONNECT_FAILED
        assert attempt.write_started and not attempt.fully_written
    server.close()


class FakeWriter:
    """A writer, and its transport, whose connection breaks during the write if `breaks` is set."""

    def __init__(self, breaks):
        self.transport = self.protocol = self
        self.is_broken = False
        self.breaks = breaks

    def set_write_buffer_limits(self, high):
        assert high == 0

    async def write(self, data, drain):
        self.is_broken = self.breaks

    def get_write_buffer_size(self):
        return 0

    def is_closing(self):
        return self.is_broken

    def may_send_request(self):
        return True


@pytest.mark.parametrize("breaks", [True, False])
def test_request_is_not_fully_written_if_its_connection_breaks_during_the_write(breaks):
    async def write():
        pending = PendingRequest(RequestArrived("a", "look", 1.0), 0.0, "/look/1", {}, b"x")
        attempt = UpstreamAttempt(pending, 0, "w", "127.0.0.1:1", 1.0, 0.0)
        counters = Counters()
        await AttemptBody(attempt, counters, lambda attempt: True).write_with_length(FakeWriter(breaks), None)
        # Only a request whose last byte was written is counted as sent.
        assert (
            attempt.write_started
            and attempt.fully_written is not breaks
            and counters["sends"] == (not breaks)
        )

    asyncio.run(write())


@pytest.mark.parametrize("reply", [ABORT, CLOSE])
@on_loop
async def test_attempt_on_a_stale_connection_is_not_resent(reply, monkeypatch):
    # Guards against automatic retries by aiohttp: an endpoint must receive each attempt once.
    monkeypatch.setattr(connection_pool, "REST_S", 0.0)
    async with (
        FakeServer(lambda call: ACCEPTED if len(peer.seen) == 1 else reply) as peer,
        ProbingSender() as sender,
    ):
        sender.send(peer.address)
        await sender.wait_until_accepted()
        sender.send(peer.address)
        assert await sender.first_result() == AttemptResult.STALE_CONNECTION
        posts = [call.connection for call in peer.seen if call.method == "POST"]
        cancellations = [call.connection for call in peer.seen if call.method == "DELETE"]
        assert posts == [1, 1] and cancellations == [2, 3] and peer.connections == 3


@pytest.mark.parametrize("reuses_connection", [False, True])
@pytest.mark.parametrize("has_callback", [False, True])
@on_loop
async def test_attempt_without_a_response_is_cancelled_soon_unless_a_callback_was_received(
    reuses_connection, has_callback, monkeypatch
):
    monkeypatch.setattr(connection_pool, "REST_S", 0.0)

    def respond(call):
        if call.method == "DELETE":
            return response(204)
        return ACCEPTED if reuses_connection and len(peer.seen) == 1 else SILENT

    async with FakeServer(respond) as peer, ProbingSender() as sender:
        if reuses_connection:
            sender.send(peer.address)
            await sender.wait_until_accepted()
        attempt = sender.send(peer.address, limit=60000.0)
        attempt.callback_received = has_callback
        await until(lambda: not sender.upstream.tasks)
        result = AttemptResult.STALE_CONNECTION if reuses_connection else AttemptResult.CONNECTION_LOST
        assert [finished.result for finished in sender.reported] == ([] if has_callback else [result])
        # The endpoint may have accepted it: it is cancelled there before the router retries elsewhere.
        assert [call.method for call in peer.seen][reuses_connection:] == (
            ["POST"] if has_callback else ["POST", "DELETE"]
        )


@on_loop
async def test_idle_timeout_of_zero_does_not_busy_loop():
    # Guards against a sweep of idle connections that reschedules itself without a delay.
    async with (
        FakeServer(lambda call: ACCEPTED) as peer,
        ProbingSender(**{"policyLimits.connIdleMs": 0.0}) as sender,
    ):
        sender.send(peer.address)
        await sender.wait_until_accepted(1)
        assert sender.upstream._sweep_timer.when() - asyncio.get_running_loop().time() > 0.01


@on_loop
async def test_connections_are_reused_and_closed_before_the_endpoint_closes_them(monkeypatch):
    monkeypatch.setattr(connection_pool, "REST_S", 0.0)
    async with (
        FakeServer(lambda call: ACCEPTED) as peer,
        ProbingSender(**{"policyLimits.connIdleMs": 700.0}) as sender,
    ):
        loop = asyncio.get_running_loop()
        for count, new in ((1, 1), (2, 1), (3, 2)):
            sender.send(peer.address)
            await sender.wait_until_accepted(count)
            assert (len(peer.seen), peer.connections) == (count, new)
            if count == 2:
                idle_since_s = loop.time()
                await until(lambda: peer.closed)
                assert 0.2 < loop.time() - idle_since_s < 0.7


@on_loop
async def test_cancelled_attempt_without_a_response_closes_its_connection():
    async with (
        FakeServer(lambda call: SILENT if len(peer.seen) == 1 else ACCEPTED) as peer,
        ProbingSender() as sender,
    ):
        attempt = sender.send(peer.address)
        await until(lambda: attempt.fully_written)
        sender.upstream.cancel_attempt(attempt, notify=True)
        # The 202 may be in transit: the attempt is also cancelled at the endpoint.
        assert await sender.first_result() == AttemptResult.CANCELLED
        assert [call.method + call.target for call in peer.seen] == ["POST/look/1", "DELETE/jobs/a"]
        await until(lambda: peer.closed)
        assert [call.connection for call in peer.seen] == [1, 2]


@pytest.mark.parametrize("reuses_connection", [False, True])
@on_loop
async def test_attempt_that_may_not_start_any_more_is_not_sent_and_counts_against_nobody(
    reuses_connection, monkeypatch
):
    # After a wait for a connection, the check before the first byte notices what has changed meanwhile.
    monkeypatch.setattr(connection_pool, "REST_S", 0.0)
    async with FakeServer(lambda call: ACCEPTED) as peer, ProbingSender() as sender:
        if reuses_connection:
            sender.send(peer.address, target="/look/first")
            await sender.wait_until_accepted()
        connector = sender.upstream.session.connector
        connect, allowed, connected = connector.connect, asyncio.Event(), asyncio.Event()

        async def connect_late(*arguments, **keywords):
            connection = await connect(*arguments, **keywords)
            connected.set()
            await allowed.wait()
            return connection

        connector.connect = connect_late
        sender.send(peer.address, target="/look/late")
        await connected.wait()
        sender.may_start = False
        allowed.set()
        assert await sender.first_result() == AttemptResult.NOT_SENT
        sender.may_start = True
        sender.reported.clear()
        sender.send(peer.address, target="/look/next")
        await until(lambda: peer.seen and peer.seen[-1].target == "/look/next" and not sender.upstream.tasks)
        assert "/look/late" not in [call.target for call in peer.seen] and not sender.reported
        assert sender.counters["ho barred"] == 1


@on_loop
async def test_one_unresponsive_endpoint_leaves_connections_for_the_others():
    # With 64 descriptors there are at most 8 exchanges at once, 2 of them with one endpoint.
    async with (
        FakeServer(lambda call: SILENT) as silent,
        FakeServer(lambda call: ACCEPTED) as peer,
        ProbingSender() as sender,
    ):
        attempts = [sender.send(silent.address) for _ in range(12)]
        await until(lambda: len(silent.seen) == 2)
        sender.send(peer.address)
        await until(lambda: sender.counters["ho accepted"] == 1)
        # The other attempts soon stop waiting for a connection: the endpoint may start to drain meanwhile.
        await until(lambda: len(sender.reported) == 10)
        assert {finished.result for finished in sender.reported} == {AttemptResult.CONNECT_FAILED}
        assert sum([attempt.write_started for attempt in attempts]) == 2 == len(silent.seen)


@on_loop
async def test_attempt_cancelled_before_its_first_byte_is_not_sent():
    async with FakeServer(lambda call: ACCEPTED) as peer, ProbingSender() as sender:
        sender.upstream.cancel_attempt(sender.send(peer.address), notify=True)
        assert await sender.first_result() == AttemptResult.NOT_SENT
        await until(lambda: not sender.upstream.tasks)
        assert not peer.seen


@pytest.mark.parametrize("steps", range(12))
@on_loop
async def test_attempt_reported_as_not_sent_is_never_sent(steps):
    # aiohttp writes the body in a task of its own: the result must be right for a cancellation at any moment.
    async with FakeServer(lambda call: ACCEPTED) as peer, ProbingSender() as sender:
        sender.send(peer.address, target="/look/first")
        await (
            sender.wait_until_accepted()
        )  # the next attempt reuses this connection, so that it is written at once
        attempt = sender.send(peer.address, target="/look/second")
        for _ in range(steps):
            await asyncio.sleep(0)
        write_started = attempt.write_started
        sender.upstream.cancel_attempt(attempt, notify=True)
        assert await sender.first_result() == (
            AttemptResult.CANCELLED if write_started else AttemptResult.NOT_SENT
        )
        sender.reported.clear()
        sender.send(peer.address, target="/look/third")
        await until(lambda: peer.seen[-1].target == "/look/third" and not sender.upstream.tasks)
        assert ("/look/second" in [call.target for call in peer.seen]) <= write_started


@pytest.mark.parametrize(
    "target",
    ["/look/1?q=a%2Fb&&x=%zz", "/look/%E4%BD%A0//..//b?", "/look/a+b;c=d?#e", "/look", "/look/%20?a=b?c"],
)
@on_loop
async def test_target_body_and_headers_are_sent_unchanged(target):
    body = bytes(range(256)) * 250
    headers = {"Idempotency-Key": "k-1", "Content-Type": "a/b"}
    clock = asyncio.get_running_loop().time
    async with FakeServer(lambda call: ACCEPTED) as peer, ProbingSender() as sender:
        started_s = clock()
        sender.send(peer.address, target, body, 480.9, headers)
        await sender.wait_until_accepted()
        passed_ms = (clock() - started_s) * 1000.0
        call = peer.seen[0]
        assert (call.method, call.target, call.body) == ("POST", target, body)
        names = ("x-call-id", "idempotency-key", "content-type")
        assert [call.headers[name] for name in names] == ["a", "k-1", "a/b"]
        assert int(480.9 - passed_ms) <= int(call.headers["x-budget-ms"]) <= 480


@on_loop
async def test_timeout_header_is_computed_after_a_slow_connect():
    # Guards against an endpoint that works for longer than the client waits.
    clock = asyncio.get_running_loop().time
    async with FakeServer(lambda call: ACCEPTED) as peer, ProbingSender() as sender:
        connector = sender.upstream.session.connector
        connect, allowed = connector.connect, asyncio.Event()

        async def connect_late(*arguments, **keywords):
            await allowed.wait()
            return await connect(*arguments, **keywords)

        connector.connect = connect_late
        started_s = clock()
        sender.send(peer.address, limit=3000.0)
        await asyncio.sleep(0.2)
        min_ms = (clock() - started_s) * 1000.0
        allowed.set()
        await sender.wait_until_accepted()
        max_ms = (clock() - started_s) * 1000.0
        assert int(3000.0 - max_ms) <= int(peer.seen[0].headers["x-budget-ms"]) <= 3000.0 - min_ms


@on_loop
async def test_attempt_with_an_empty_body_is_fully_written():
    async with FakeServer(lambda call: ACCEPTED) as peer, ProbingSender() as sender:
        attempt = sender.send(peer.address, body=b"")
        await sender.wait_until_accepted()
        assert attempt.fully_written and peer.seen[0].headers["content-length"] == "0"


@on_loop
async def test_without_free_descriptors_nothing_is_sent_and_no_endpoint_is_blamed():
    async with FakeServer(lambda call: ACCEPTED) as peer, ProbingSender() as sender:
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        first_free = os.open(os.devnull, os.O_RDONLY)
        try:
            resource.setrlimit(resource.RLIMIT_NOFILE, (first_free, hard))
            os.close(first_free)
            descriptors = []
            while len(descriptors) < 1000:
                try:
                    descriptors.append(os.open(os.devnull, os.O_RDONLY))
                except OSError:
                    break
            sender.send(peer.address)
            assert await sender.first_result() == AttemptResult.NOT_SENT
            sender.reported.clear()
            sender.upstream.check_health("w", peer.address)
            assert await sender.first_result() == AttemptResult.NOT_SENT
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
            for descriptor in descriptors:
                os.close(descriptor)


@pytest.mark.parametrize(
    ("report_source", "reply", "path", "result", "report"),
    [
        (
            "probe",
            response(200, b"throughput=4,x0=1.5"),
            "/_load",
            AttemptResult.COMPLETED,
            {"rate": 4.0, "x0": 1.5},
        ),
        (
            "probe",
            response(200, b'{"qps":4,"queue":2}'),
            "/_load",
            AttemptResult.COMPLETED,
            {"rate": 4.0, "queue": 2.0},
        ),
        ("probe", response(503, b"x0=0"), "/_load", AttemptResult.REJECTED, {"x0": 0.0}),
        ("none", response(200, b"x0=0"), "/ping", AttemptResult.COMPLETED, None),
        ("probe", response(404), "/_load", AttemptResult.ERRORED, None),
        ("probe", ABORT, "/_load", AttemptResult.CONNECTION_LOST, None),
        ("probe", SILENT, "/_load", AttemptResult.TIMED_OUT, None),
    ],
)
@on_loop
async def test_health_check(report_source, reply, path, result, report):
    async with (
        FakeServer(lambda call: reply) as peer,
        ProbingSender(**{"reporting.how": report_source}) as sender,
    ):
        sender.upstream.check_health("w", peer.address)
        sender.upstream.check_health("w", peer.address)  # ignored, because a check is in progress
        assert await sender.first_result() == result
        assert sender.reported[0].load_report == report and [call.target for call in peer.seen] == [path]


@pytest.mark.parametrize(
    ("text", "report"),
    [("", None), ("{", None), ("[1]", {}), ("inflight=7,util=0.61,odd", {"held": 7.0, "busy": 0.61})],
)
def test_parse_health_report(text, report):
    assert parse_health_report(text) == report


@on_loop
async def test_attempt_whose_task_raises_still_ends():
    async with ProbingSender() as sender:
        sender.send("no address")
        assert await sender.first_result() == AttemptResult.NOT_SENT
        assert sender.counters["faults"] == 1 and isinstance(sender.reported[0], AttemptFinished)
