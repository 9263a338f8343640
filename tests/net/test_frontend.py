"""Requests through a whole dispatcher: what is forwarded unchanged, malformed input, and disconnects."""

import asyncio
import contextlib
from functools import partial

import pytest
from support.dispatcher_rig import DispatcherRig
from support.event_loop import on_loop, until
from support.fake_discovery import member, members
from support.fake_server import SILENT
from support.http_messages import ACCEPTED, read_message, request, response

from dunepulley.net.frontend import limits
from dunepulley.net.upstream import connection_pool

KEY = "Idempotency-Key: k"


def accept_request(call):
    return ACCEPTED


@pytest.mark.parametrize(
    ("target", "headers", "body", "result"),
    [
        ("/look/7f3a?x=%2F", (), b"\x00\xff", "made"),
        ("/store", (KEY, "Content-Encoding: gzip"), b"not gzip", "\u4f60\u597d \n\"'"),
        ("/store/a//b/%20", (KEY, "X-Call-Info: slots=2,odd", "X-Call-Cost: 12000", "X-Again: 1"), b"", ""),
        ("/look/x", ("X-Call-Info: slots=nan,=,", "X-Call-Cost: x", "X-Odd: \xe9"), b"b" * 65536, "x" * 9999),
    ],
)
@on_loop
async def test_target_and_body_are_forwarded_byte_for_byte(target, headers, body, result, monkeypatch):
    monkeypatch.setattr(connection_pool, "REST_S", 0.0)
    async with DispatcherRig(accept_request) as rig:
        reader, writer = await rig.connect()
        for request_id in ("a", "b"):  # the second over the same connections
            writer.write(request(target, body, *headers, request_id=request_id))
            await until(
                lambda request_id=request_id: [
                    call for call in rig.endpoints[0].seen if call.headers["x-call-id"] == request_id
                ]
            )
            call = rig.endpoints[0].seen[-1]
            assert (call.method, call.target, call.body) == ("POST", target, body)
            assert call.headers.get("idempotency-key") == ("k" if KEY in headers else None)
            # The forwarded timeout is the time left, less the margin for network latency.
            assert 3900 < int(call.headers["x-budget-ms"]) <= 3990
            assert (await rig.callback("w0", "started", request_id)).target == "204"
            assert (
                await rig.callback("w0", "done", request_id, result=result, load={"qps": 3})
            ).target == "204"
            message = await read_message(reader)
            assert (message.target, message.body) == ("200", result.encode())
        assert rig.endpoints[0].connections == 1
        await until(lambda: not rig.core.requests and not rig.frontend.waiting)
        writer.close()


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (request("/odd/1"), "404"),
        (request("/"), "404"),
        (request("/look/1", request_id=None), "400"),
        (request("/look/1", b"x", "X-Budget-Ms: 100", request_id=None), "400"),
        (request("/look/1", b"x", "X-Call-Id: a", request_id=None), "400"),
        (request("/look/1", request_id="a/../b"), "400"),
        (request("/look/1", request_id="a b"), "400"),
        (request("/look/1", request_id="\u00e9"), "400"),
        (request("/look/1", request_id="a" * 129), "400"),
        (request("/look/1", b"x", "X-Call-Id: a", "X-Budget-Ms: -5", request_id=None), "400"),
        (request("/look/1", b"x", "X-Call-Id: a", "X-Budget-Ms: 1.5", request_id=None), "400"),
        (request("/look/1", b"x", "X-Call-Id: a", "X-Budget-Ms: \u00b2", request_id=None), "400"),
        (request("/store/1"), "400"),
        (request("/store/1", b"x", "Idempotency-Key: a b"), "400"),
        (request("/look/1", b"x", "Content-Type: \u00e9"), "400"),
        (request("http://elsewhere/look/1"), "400"),
        (request("/look/\u00e9"), "400"),
        (request("/look/1", b"x" * 65537), "413"),
        (b"POST /look/1 HTTP/1.1\r\nHost: a\r\nX-Call-Id: a\r\nX-Budget-Ms: 9\r\n"
         b"Transfer-Encoding: chunked\r\n\r\n20000\r\n" + b"x" * 0x20000 + b"\r\n0\r\n\r\n", "413"),
        (b"GET /look/1 HTTP/1.1\r\nHost: a\r\n\r\n", "405"),
        (b"DELETE /v1/job-events HTTP/1.1\r\nHost: a\r\n\r\n", "405"),
        (b"nonsense\r\n\r\n", "400"),
        (b"POST /look/1 HTTP/9.9\r\n\r\n", "400"),
        (b"POST /look/1 HTTP/1.1\r\nContent-Length: x\r\n\r\n", "400"),
        (b"POST /look/1 HTTP/1.1\r\nbad header\r\n\r\n", "400"),
        (b"POST /look/1 HTTP/1.1\r\nX-Long: " + b"x" * 20000 + b"\r\n\r\n", "431"),
        (b"POST /look/1 HTTP/1.1\r\nX-Long: " + b"x" * 20000, "431"),
        (b"POST /look/1 HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n" + b"x" * 999999, "413"),
        (request("/v1/job-events", b"{", request_id=None), "400"),
        (request("/v1/job-events", b"x" * 65537, request_id=None), "413"),
    ],
)  # fmt: skip
@on_loop
async def test_malformed_request_gets_an_error_status(raw, status):
    async with DispatcherRig(accept_request) as rig:
        assert (await rig.exchange(raw)).target == status
        assert not rig.endpoints[0].seen and not rig.core.counters["taken"]
        await until(lambda: not rig.frontend.server.accepted)
        assert (await rig.exchange(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")).target == "200"


HIDDEN = request("/look/2", b"", request_id="hidden")


@pytest.mark.parametrize(
    ("lines", "body"),
    [
        (["Content-Length: 5", "Transfer-Encoding: chunked"], b"0\r\n\r\n" + HIDDEN),
        (["Transfer-Encoding: chunked", "content-length:5"], b"0\r\n\r\n" + HIDDEN),
        (["Content-Length: 1", "Content-Length: 1"], b"x"),
        (["Content-Length: 1", "Content-Length: 9"], b"x" + HIDDEN),
        (["Content-Length: 1, 1"], b"x"),
        (["Content-Length: -1"], b"x"),
        (["Content-Length: +1"], b"x"),
        (["Content-Length:"], b"x"),
        (["Content-Length: 1" + "0" * 30], b"x"),
        (["X-Odd: a\n Content-Length: 9", "Content-Length: 1"], b"x"),
        (["X-Odd: a", " Content-Length: 9", "Content-Length: 1"], b"x"),
        (["Transfer-Encoding: chunked", "Transfer-Encoding: chunked"], b"0\r\n\r\n"),
        (["Transfer-Encoding: gzip, chunked"], b"0\r\n\r\n"),
        (["Transfer-Encoding: chunked"], b"1\r\nxyz\r\n0\r\n\r\n"),
        (["Transfer-Encoding: chunked"], b"zz\r\nx\r\n0\r\n\r\n"),
        (["Transfer-Encoding: chunked"], b"0\r\nno trailer\r\n\r\n"),
        (["Transfer-Encoding: chunked"], b"0\r\nX-Trailer: " + b"x" * 4000),
        (["Transfer-Encoding: chunked"], b"1;" + b"x" * 400 + b"\r\nx\r\n0\r\n\r\n"),
        (["Transfer-Encoding: chunked"], b"1;a=\rb\r\nx\r\n0\r\n\r\n"),
        (["Transfer-Encoding: chunked"], b"-1\r\nx\r\n0\r\n\r\n"),
        (["Transfer-Encoding: chunked"], b"fffffffff\r\nx"),
    ],
)
@pytest.mark.parametrize("split", [False, True])
@on_loop
async def test_request_with_an_ambiguous_length_is_rejected_and_smuggles_no_other(lines, body, split):
    async with DispatcherRig(accept_request) as rig:
        reader, writer = await rig.connect()
        head = ["POST /look/1 HTTP/1.1", "Host: a", "X-Call-Id: a", "X-Budget-Ms: 900", *lines, "", ""]
        writer.write("\r\n".join(head).encode())
        if split:  # the body is sent after the head was received
            await until(
                lambda: any([c.buffer.received for c in rig.frontend.server.accepted]) or rig.core.counters
            )
        writer.write(body)
        writer.write(HIDDEN)
        message = await read_message(reader)
        assert message.target.startswith("4") and message.headers["connection"] == "close"
        with contextlib.suppress(ConnectionError):
            assert await reader.read() == b""
        await until(lambda: not rig.core.requests and not rig.frontend.waiting)
        assert not [call for call in rig.endpoints[0].seen if call.headers.get("x-call-id") == "hidden"]
        writer.close()


@pytest.mark.parametrize("size", [1, 7, 1000, 20000])
@pytest.mark.parametrize(
    ("length", "end"),
    [
        # Guards against rejecting what HTTP allows: chunk extensions, leading zeros, trailers.
        (b"%X\r\n", b"0\r\n\r\n"),
        (b"00%x;part=1\r\n", b"000;last\r\nX-Sum: 1:2\r\nX-Empty:\r\n\r\n"),
    ],
)
@on_loop
async def test_a_chunked_body_is_forwarded_complete(size, length, end):
    body = bytes(range(256)) * 20
    raw = b"".join([length % len(data) + data + b"\r\n" for data in (body[:3000], body[3000:])])
    async with DispatcherRig(accept_request) as rig:
        reader, writer = await rig.connect()
        head = request("/look/1").replace(b"Content-Length: 1", b"Transfer-Encoding: chunked")[:-1]
        raw = b"\r\n" + head + raw + end
        for start in range(0, len(raw), size):
            writer.write(raw[start : start + size])
            await asyncio.sleep(0)
        await until(lambda: rig.endpoints[0].seen)
        assert rig.endpoints[0].seen[0].body == body and len(rig.endpoints[0].seen) == 1
        await rig.callback("w0", "done", result="made")
        assert (await read_message(reader)).target == "200"
        writer.close()


@pytest.mark.parametrize("split", [False, True])
@pytest.mark.parametrize(
    ("lines", "body", "behind"),
    [
        (["Content-Length: 1"], b"x", HIDDEN),
        (["Content-Length: 1"], b"x", b"yz" + HIDDEN),  # shorter than the body
        (["Content-Length: 1"], b"x", b"\0nonsense\r\n\r\n"),
        (["Content-Length: 1"], b"x", HIDDEN[:9]),  # a partial request that is never completed
        (["Content-Length: 1"], b"x", HIDDEN * 5000),
        ([], b"", HIDDEN),
        (["Transfer-Encoding: chunked"], b"1\r\nx\r\n0\r\n\r\n", HIDDEN),
    ],
)
@on_loop
async def test_request_is_answered_before_bytes_behind_it_close_the_connection(lines, body, behind, split):
    # Guards against losing a good request because of the bytes behind it, and against executing those bytes.
    async with DispatcherRig(accept_request) as rig:
        reader, writer = await rig.connect()
        head = ["POST /look/1 HTTP/1.1", "Host: a", "X-Call-Id: a", "X-Budget-Ms: 4000", *lines, "", ""]
        writer.write("\r\n".join(head).encode() + body + (b"" if split else behind))
        await until(lambda: rig.endpoints[0].seen)
        if split:
            (connection,) = rig.frontend.server.accepted
            writer.write(behind)
            await until(lambda: connection.excess_bytes >= min(len(behind), limits.MAX_BODY_BYTES))
        await rig.callback("w0", "done", result="made")
        message = await read_message(reader)
        assert (message.target, message.body) == ("200", b"made")
        message = await read_message(reader)
        assert (message.target, message.headers["connection"]) == ("400", "close")
        with contextlib.suppress(ConnectionError):
            assert await reader.read() == b""
        await until(lambda: not rig.core.requests and not rig.frontend.waiting)
        await until(lambda: not rig.frontend.server.accepted)
        assert [call.headers["x-call-id"] for call in rig.endpoints[0].seen] == ["a"]
        assert rig.endpoints[0].seen[0].body == (b"x" if body else b"")
        writer.close()


@on_loop
async def test_expect_100_continue_is_answered_before_the_body():
    async with DispatcherRig(accept_request) as rig:
        reader, writer = await rig.connect()
        raw = request("/look/1", b"body", "Expect: 100-continue")
        writer.write(raw[:-4])
        assert await reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
        writer.write(raw[-4:])
        await until(lambda: rig.endpoints[0].seen)
        await rig.callback("w0", "done", result="made")
        assert (await read_message(reader)).body == b"made"
        writer.close()


@on_loop
async def test_a_request_id_in_progress_is_rejected_as_a_conflict():
    async with DispatcherRig(accept_request) as rig:
        reader, writer = await rig.connect()
        writer.write(request("/look/1"))
        await until(lambda: rig.endpoints[0].seen)
        assert (await rig.exchange(request("/look/1"))).target == "409"
        await rig.callback("w0", "done", result="made")
        assert (await read_message(reader)).target == "200" and len(rig.endpoints[0].seen) == 1
        writer.close()


@on_loop
async def test_no_state_remains_of_requests_that_have_ended():
    def respond(endpoint_id, call):
        request_id = call.headers.get("x-call-id")
        if (
            call.method == "POST"
            and int(request_id) % 11 == 5
            and len(rig.core.requests[request_id].attempts) == 1
        ):
            return response(500) if int(request_id) % 2 else response(503, b"", "X-Rejected: 1")
        if call.method == "POST":
            tasks.append(asyncio.create_task(finish(endpoint_id, request_id)))
        return ACCEPTED

    async def finish(endpoint_id, request_id):
        await rig.callback(endpoint_id, "started", request_id)
        await rig.callback(endpoint_id, "done", request_id, result=request_id, load={"x0": 1})

    async def send(number):
        target = ("/look/1", "/store/1", "/pay/1")[number % 7 % 3]
        return await rig.exchange(
            request(target, b"x", KEY, "X-Call-Cost: 5000", request_id=str(number), budget=2000)
        )

    tasks = []
    async with DispatcherRig(*[partial(respond, f"w{number}") for number in range(6)]) as rig:
        messages = []
        for start in range(0, 120, 6):
            messages += await asyncio.gather(*[send(number) for number in range(start, start + 6)])
        assert {message.target for message in messages} <= {"200", "500", "503"} and len(messages) == 120
        assert [message.target for message in messages].count("200") > 100
        await asyncio.gather(*tasks)
        core = rig.core
        await until(
            lambda: not core.requests and not rig.service.upstream.tasks and not core.requests.changed
        )
        assert (
            not rig.frontend.waiting and not core.router.lifecycle.requests and not core.router.queue.waiting
        )
        assert (
            core.counters["taken"] == 120
            and not core.counters["faults"]
            and len(core.timers.router_timers) < 120
        )


@pytest.mark.parametrize("accepts", [True, False])
@on_loop
async def test_a_client_that_disconnects_leaves_no_state_and_cancels_its_attempt(accepts):
    def respond(call):
        return response(204) if call.method == "DELETE" else ACCEPTED if accepts else SILENT

    async with DispatcherRig(respond) as rig:
        _, writer = await rig.connect()
        writer.write(request("/look/1"))
        await until(lambda: rig.endpoints[0].seen)
        writer.transport.abort()
        # The attempt is cancelled at its endpoint, whether that has responded or not.
        await until(lambda: [call for call in rig.endpoints[0].seen if call.method == "DELETE"])
        await until(lambda: not rig.core.requests and not rig.service.upstream.tasks)
        assert not rig.frontend.waiting
        assert rig.core.counters["withdrawn"] == 1
        assert (await rig.callback("w0", "done", result="late")).target == "204"
        assert rig.core.counters["callbacks stray"] == 1


@pytest.mark.parametrize(
    ("target", "events", "status"),
    [
        ("/pay/1", ["failed"], "500"),  # it may have run
        ("/pay/1", ["started", "lost"], "500"),
        ("/look/1", [], "503"),  # it may run again: rejected with Retry-After at its timeout
        ("/pay/1", [], "500"),
    ],
)
@on_loop
async def test_every_request_is_answered_within_its_timeout(target, events, status):
    async with DispatcherRig(
        accept_request, policyLimits__retryAfter=True, policyLimits__maxRetryAfterMs=250.0
    ) as rig:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        reader, writer = await rig.connect()
        writer.write(request(target, b"x", "X-Call-Cost: 10000", budget=300))
        await until(lambda: rig.endpoints[0].seen)
        for state in events:
            await rig.callback("w0", state)
        message = await read_message(reader)
        assert message.target == status and loop.time() - started_s < 0.35
        assert message.headers.get("retry-after") == ("0.250" if status == "503" else None)
        await until(lambda: not rig.core.requests)
        writer.close()


@on_loop
async def test_a_request_the_router_never_answers_is_failed():
    async with DispatcherRig(accept_request) as rig:
        rig.core.router.handle = lambda now, events: [None for _ in events][:0]
        assert (await rig.exchange(request("/look/1", budget=50))).target == "500"
        await until(lambda: not rig.core.requests)
        assert rig.core.counters["overdue"] == 1


@pytest.mark.parametrize(
    ("endpoint_list", "status"),
    [
        (members(), "503"),
        (members(member("w0", "127.0.0.1:1", "Terminating")), "503"),
        (members(member("w0", "127.0.0.1:1")), "200"),
    ],
)
@on_loop
async def test_health_check_succeeds_only_with_a_usable_endpoint(endpoint_list, status):
    async with DispatcherRig() as rig:
        assert (await rig.exchange(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")).target == "503"
        rig.discovery.announce(endpoint_list)
        await until(lambda: rig.core.counters["lists"])
        await until(lambda: rig.core.queue.empty())
        assert (await rig.exchange(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")).target == status
