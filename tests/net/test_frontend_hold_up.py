"""Requests that are expensive to parse: none holds the event loop up for longer than a dispatcher may be."""

import contextlib
import time

import pytest
from support.dispatcher_rig import DispatcherRig
from support.event_loop import on_loop
from support.http_messages import ACCEPTED, HEALTH_REQUEST, read_message

from dunepulley.net.frontend.limits import MAX_HEAD_BYTES

# The longest time, in s, for which a dispatcher may be held up between two of its steps.
MAX_HOLD_UP_S = 0.15
# What a head may hold beside its usual fields, which take less than 300 bytes.
LONG = MAX_HEAD_BYTES - 300
BLANKS = b" " * LONG
CHUNKED = b"Transfer-Encoding: chunked"


def accept_request(call):
    return ACCEPTED


@pytest.mark.parametrize(
    ("target", "field", "body"),
    [
        pytest.param(b"/look/1", b"Content-Length: 1%s2" % BLANKS, b"x", id="blanks within a length"),
        pytest.param(b"/look/1", b"Content-Length: 1%s2" % (b"\t" * LONG), b"x", id="tabs within a length"),
        pytest.param(b"/look/1", b"Content-Length:%sx" % BLANKS, b"x", id="blanks before a length"),
        pytest.param(b"/look/1", b"Content-Length%s2" % BLANKS, b"x", id="blanks in place of a colon"),
        pytest.param(
            b"/look/1", b"Transfer-Encoding: a%sb" % BLANKS, b"0\r\n\r\n", id="blanks within a coding"
        ),
        pytest.param(
            b"/look/1", b"Transfer-Encoding:%sx" % BLANKS, b"0\r\n\r\n", id="blanks before a coding"
        ),
        pytest.param(b"/look/1", b"Transfer-Encoding%s2" % BLANKS, b"", id="blanks in place of a coding"),
        pytest.param(
            b"/look/1",
            b"Expect:%s1\r\nContent-Length: x" % BLANKS,
            b"",
            id="blanks before an expectation",
        ),
        pytest.param(b"/look/1", b"Content-Length: " + b"9" * LONG, b"x", id="many digits"),
        pytest.param(b"/look/1", b"a:\r\n" * (LONG // 4) + b"Content-Length: x", b"", id="many fields"),
        pytest.param(b"/none" + b"/" * LONG, b"A: b", b"", id="many segments"),
        pytest.param(b"/%" * (LONG // 2), b"A: b", b"", id="broken escapes"),
        pytest.param(
            b"/look/1",
            b"X-Call-Info: " + b"=," * (LONG // 2) + b"\r\nContent-Length: x",
            b"",
            id="many hints",
        ),
        pytest.param(b"/look/1", CHUNKED, b"0" * 21 + b" " * 60_000, id="blanks behind a chunk's length"),
        pytest.param(b"/look/1", CHUNKED, b"0\r\n" + b"a:" * 30_000 + b"\r\n\r\n", id="a long trailer"),
        pytest.param(b"/look/1", CHUNKED, b"1\r\nx\r\n" * 20_000 + b"z\r\n", id="many chunks"),
    ],
)
@on_loop
async def test_a_request_that_is_expensive_to_parse_does_not_hold_up_other_clients(target, field, body):
    # Guards against a parser whose time grows with the square of what a client sends: for seconds no other
    # client was answered, nor health checks.
    head = b"POST %s HTTP/1.1\r\nHost: a\r\nX-Call-Id: a\r\nX-Budget-Ms: 4000\r\n" % target
    async with DispatcherRig(accept_request) as rig:
        before_s = time.process_time()
        answer = await rig.exchange(head + field + b"\r\n\r\n" + body)
        cpu_s = time.process_time() - before_s
        assert answer.target.startswith("4")
        assert cpu_s < MAX_HOLD_UP_S
        assert (await rig.exchange(HEALTH_REQUEST)).target == "200"
        assert not rig.endpoints[0].seen


@on_loop
async def test_a_client_that_sends_only_empty_lines_is_rejected_after_the_length_of_a_head():
    # Guards against skipping empty lines without an end: ten such clients held the process up for seconds.
    async with DispatcherRig(accept_request) as rig:
        reader, writer = await rig.connect()
        with contextlib.suppress(ConnectionError):
            for _ in range(MAX_HEAD_BYTES // 1000 + 1):
                writer.write(b"\r\n" * 500)
                await writer.drain()
        answer = await read_message(reader)
        assert (answer.target, answer.headers["connection"]) == ("431", "close")
        writer.close()
        # A few empty lines before a request are skipped, as some clients send them.
        assert (await rig.exchange(b"\r\n" * 3 + HEALTH_REQUEST)).target == "200"
