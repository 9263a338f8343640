"""Requests through a whole dispatcher: what goes on unchanged, bad input, and clients that go."""

import asyncio
import contextlib
from functools import partial

import pytest
from support.dispatcher_rig import DispatcherRig
from support.event_loop import on_loop, until
from support.fake_discovery import member, members
from support.fake_server import SILENT
from support.http_messages import ACCEPTED, read_message, request, response

from dunepulley.net.frontend import framing

KEY = "Idempotency-Key: k"


def taken(call):
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
async def test_a_work_item_goes_through_as_the_bytes_that_came(target, headers, body, result):
    async with DispatcherRig(taken) as rig:
        reader, writer = await rig.connect()
        for wi in ("a", "b"):  # the second over the same connections
            writer.write(request(target, body, *headers, wi=wi))
            await until(lambda wi=wi: [c for c in rig.endpoints[0].seen if c.headers["x-call-id"] == wi])
            call = rig.endpoints[0].seen[-1]
            assert (call.method, call.target, call.body) == ("POST", target, body)
            assert call.headers.get("idempotency-key") == ("k" if KEY in headers else None)
            # The budget is what is left; the way there and back is taken off.
            assert 3900 < int(call.headers["x-budget-ms"]) <= 3990
            assert (await rig.callback("w0", "started", wi)).target == "204"
            assert (await rig.callback("w0", "done", wi, result=result, load={"qps": 3})).target == "204"
            told = await read_message(reader)
            assert (told.target, told.body) == ("200", result.encode())
        assert rig.endpoints[0].connections == 1
        await until(lambda: not rig.core.requests and not rig.frontend.waiting)
        writer.close()


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (request("/odd/1"), "404"),
        (request("/"), "404"),
        (request("/look/1", wi=None), "400"),
        (request("/look/1", b"x", "X-Budget-Ms: 100", wi=None), "400"),
        (request("/look/1", b"x", "X-Call-Id: a", wi=None), "400"),
        (request("/look/1", wi="a/../b"), "400"),
        (request("/look/1", wi="a b"), "400"),
        (request("/look/1", wi="\u00e9"), "400"),
        (request("/look/1", wi="a" * 129), "400"),
        (request("/look/1", b"x", "X-Call-Id: a", "X-Budget-Ms: -5", wi=None), "400"),
        (request("/look/1", b"x", "X-Call-Id: a", "X-Budget-Ms: 1.5", wi=None), "400"),
        (request("/look/1", b"x", "X-Call-Id: a", "X-Budget-Ms: \u00b2", wi=None), "400"),
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
        (request("/v1/job-events", b"{", wi=None), "400"),
        (request("/v1/job-events", b"x" * 65537, wi=None), "413"),
    ],
)  # fmt: skip
@on_loop
async def test_bad_input_gets_a_plain_answer(raw, status):
    async with DispatcherRig(taken) as rig:
        assert (await rig.exchange(raw)).target == status
        assert not rig.endpoints[0].seen and not rig.core.counters["taken"]
        await until(lambda: not rig.frontend.server.accepted)
        assert (await rig.exchange(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")).target == "200"


HIDDEN = request("/look/2", b"", wi="hidden")


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
async def test_a_request_of_two_lengths_ends_its_connection_and_hides_nothing(lines, body, split):
    async with DispatcherRig(taken) as rig:
        reader, writer = await rig.connect()
        head = ["POST /look/1 HTTP/1.1", "Host: a", "X-Call-Id: a", "X-Budget-Ms: 900", *lines, "", ""]
        writer.write("\r\n".join(head).encode())
        if split:  # what follows comes later
            await until(
                lambda: any([c.buffer.received for c in rig.frontend.server.accepted]) or rig.core.counters
            )
        writer.write(body)
        writer.write(HIDDEN)
        told = await read_message(reader)
        assert told.target.startswith("4") and told.headers["connection"] == "close"
        with contextlib.suppress(ConnectionError):
            assert await reader.read() == b""
        await until(lambda: not rig.core.requests and not rig.frontend.waiting)
        assert not [call for call in rig.endpoints[0].seen if call.headers.get("x-call-id") == "hidden"]
        writer.close()


@pytest.mark.parametrize("size", [1, 7, 1000, 20000])
@pytest.mark.parametrize(
    ("length", "end"),
    [
        # Guards against clients turned away for what the protocol allows: extensions, zeros, trailers.
        (b"%X\r\n", b"0\r\n\r\n"),
        (b"00%x;part=1\r\n", b"000;last\r\nX-Sum: 1:2\r\nX-Empty:\r\n\r\n"),
    ],
)
@on_loop
async def test_a_body_in_chunks_goes_on_whole(size, length, end):
    body = bytes(range(256)) * 20
    raw = b"".join([length % len(part) + part + b"\r\n" for part in (body[:3000], body[3000:])])
    async with DispatcherRig(taken) as rig:
        reader, writer = await rig.connect()
        head = request("/look/1").replace(b"Content-Length: 1", b"Transfer-Encoding: chunked")[:-1]
        raw = b"\r\n" + head + raw + end
        for at in range(0, len(raw), size):
            writer.write(raw[at : at + size])
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
        (["Content-Length: 1"], b"x", HIDDEN[:9]),  # a part that stays one
        (["Content-Length: 1"], b"x", HIDDEN * 5000),
        ([], b"", HIDDEN),
        (["Transfer-Encoding: chunked"], b"1\r\nx\r\n0\r\n\r\n", HIDDEN),
    ],
)
@on_loop
async def test_a_request_has_its_answer_before_what_came_behind_it_ends_the_connection(
    lines, body, behind, split
):
    # Guards against a good request that is lost with the bad one behind it, and one that the bad one hides.
    async with DispatcherRig(taken) as rig:
        reader, writer = await rig.connect()
        head = ["POST /look/1 HTTP/1.1", "Host: a", "X-Call-Id: a", "X-Budget-Ms: 4000", *lines, "", ""]
        writer.write("\r\n".join(head).encode() + body + (b"" if split else behind))
        await until(lambda: rig.endpoints[0].seen)
        if split:
            (connection,) = rig.frontend.server.accepted
            writer.write(behind)
            await until(lambda: connection.excess_bytes >= min(len(behind), framing.MAX_BODY_BYTES))
        await rig.callback("w0", "done", result="made")
        told = await read_message(reader)
        assert (told.target, told.body) == ("200", b"made")
        told = await read_message(reader)
        assert (told.target, told.headers["connection"]) == ("400", "close")
        with contextlib.suppress(ConnectionError):
            assert await reader.read() == b""
        await until(lambda: not rig.core.requests and not rig.frontend.waiting)
        await until(lambda: not rig.frontend.server.accepted)
        assert [call.headers["x-call-id"] for call in rig.endpoints[0].seen] == ["a"]
        assert rig.endpoints[0].seen[0].body == (b"x" if body else b"")
        writer.close()


@on_loop
async def test_a_client_may_wait_for_a_word_before_it_sends_the_body():
    async with DispatcherRig(taken) as rig:
        reader, writer = await rig.connect()
        whole = request("/look/1", b"body", "Expect: 100-continue")
        writer.write(whole[:-4])
        assert await reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
        writer.write(whole[-4:])
        await until(lambda: rig.endpoints[0].seen)
        await rig.callback("w0", "done", result="made")
        assert (await read_message(reader)).body == b"made"
        writer.close()


@on_loop
async def test_an_id_in_hand_is_not_taken_twice():
    async with DispatcherRig(taken) as rig:
        reader, writer = await rig.connect()
        writer.write(request("/look/1"))
        await until(lambda: rig.endpoints[0].seen)
        assert (await rig.exchange(request("/look/1"))).target == "409"
        await rig.callback("w0", "done", result="made")
        assert (await read_message(reader)).target == "200" and len(rig.endpoints[0].seen) == 1
        writer.close()


@on_loop
async def test_nothing_stays_of_items_that_have_ended():
    def later(worker, call):
        wi = call.headers.get("x-call-id")
        if call.method == "POST" and int(wi) % 11 == 5 and len(rig.core.requests[wi].attempts) == 1:
            return response(500) if int(wi) % 2 else response(503, b"", "X-Rejected: 1")
        if call.method == "POST":
            tasks.append(asyncio.create_task(finish(worker, wi)))
        return ACCEPTED

    async def finish(worker, wi):
        await rig.callback(worker, "started", wi)
        await rig.callback(worker, "done", wi, result=wi, load={"x0": 1})

    async def ask(number):
        target = ("/look/1", "/store/1", "/pay/1")[number % 7 % 3]
        return await rig.exchange(
            request(target, b"x", KEY, "X-Call-Cost: 5000", wi=str(number), budget=2000)
        )

    tasks = []
    async with DispatcherRig(*[partial(later, f"w{number}") for number in range(6)]) as rig:
        told = []
        for begin in range(0, 120, 6):
            told += await asyncio.gather(*[ask(number) for number in range(begin, begin + 6)])
        assert {call.target for call in told} <= {"200", "500", "503"} and len(told) == 120
        assert [call.target for call in told].count("200") > 100
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
async def test_a_client_that_leaves_frees_all_there_is(accepts):
    def say(call):
        return response(204) if call.method == "DELETE" else ACCEPTED if accepts else SILENT

    async with DispatcherRig(say) as rig:
        _, writer = await rig.connect()
        writer.write(request("/look/1"))
        await until(lambda: rig.endpoints[0].seen)
        writer.transport.abort()
        # The worker is told, whether it has answered yet or not.
        await until(lambda: [call for call in rig.endpoints[0].seen if call.method == "DELETE"])
        await until(lambda: not rig.core.requests and not rig.service.upstream.tasks)
        assert not rig.frontend.waiting
        assert rig.core.counters["withdrawn"] == 1
        assert (await rig.callback("w0", "done", result="late")).target == "204"
        assert rig.core.counters["callbacks stray"] == 1


@pytest.mark.parametrize(
    ("target", "events", "status"),
    [
        ("/pay/1", ["failed"], "500"),  # may have run: no promise
        ("/pay/1", ["started", "lost"], "500"),
        ("/look/1", [], "503"),  # may run again: deferred when its budget is over
        ("/pay/1", [], "500"),
    ],
)
@on_loop
async def test_every_item_has_its_answer_within_the_budget(target, events, status):
    async with DispatcherRig(
        taken, policyLimits__retryAfter=True, policyLimits__maxRetryAfterMs=250.0
    ) as rig:
        loop = asyncio.get_running_loop()
        begun = loop.time()
        reader, writer = await rig.connect()
        writer.write(request(target, b"x", "X-Call-Cost: 10000", budget=300))
        await until(lambda: rig.endpoints[0].seen)
        for state in events:
            await rig.callback("w0", state)
        told = await read_message(reader)
        assert told.target == status and loop.time() - begun < 0.35
        assert told.headers.get("retry-after") == ("0.250" if status == "503" else None)
        await until(lambda: not rig.core.requests)
        writer.close()


@on_loop
async def test_an_item_the_module_forgets_is_written_off():
    async with DispatcherRig(taken) as rig:
        rig.core.router.handle = lambda now, events: [None for _ in events][:0]
        assert (await rig.exchange(request("/look/1", budget=50))).target == "500"
        await until(lambda: not rig.core.requests)
        assert rig.core.counters["overdue"] == 1


@pytest.mark.parametrize(
    ("told", "status"),
    [
        (members(), "503"),
        (members(member("w0", "127.0.0.1:1", "Terminating")), "503"),
        (members(member("w0", "127.0.0.1:1")), "200"),
    ],
)
@on_loop
async def test_health_is_good_only_when_it_can_serve(told, status):
    async with DispatcherRig() as rig:
        assert (await rig.exchange(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")).target == "503"
        rig.discovery.announce(told)
        await until(lambda: rig.core.counters["lists"])
        await until(lambda: rig.core.queue.empty())
        assert (await rig.exchange(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")).target == status
