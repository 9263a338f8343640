"""Heads that the HTTP library cannot parse: rejected before it, or without a trace in memory or the log."""

import asyncio
import gc
import logging

import pytest
from support.dispatcher_rig import DispatcherRig
from support.event_loop import on_loop, until
from support.http_messages import ACCEPTED, HEALTH_REQUEST, request

from dunepulley.net import log
from dunepulley.net.callbacks import MalformedError
from dunepulley.net.frontend.request_head import MAX_FIELDS, MAX_LINE_BYTES, check_head

PADDING = b"a" * 7000
POST = b"POST /look/1 HTTP/1.1\r\n"

UNSOUND = {
    "control byte in a value": POST + b"X-Pad: " + PADDING + b"\x01\r\n",
    "escaped bytes in a value": POST + b"X-Pad: " + b"\x80\x01" * 3500 + b"\r\n",
    "blank in a name": POST + b"X Pad" + PADDING + b": b\r\n",
    "no colon": POST + PADDING + b"\r\n",
    "unknown version": b"POST /" + PADDING + b" HTTP/9.9\r\n",
    "no version": b"POST /" + PADDING + b"\r\n",
    "control byte in the method": b"\x7fPOST / HTTP/1.1\r\nX-Pad: " + PADDING + b"\r\n",
    "unknown method": b"STORE / HTTP/1.1\r\nX-Pad: " + PADDING + b"\r\n",
    "connect": b"CONNECT a:1 HTTP/1.1\r\nX-Pad: " + PADDING + b"\r\n",
    "control byte in the target": b"POST /\x01" + PADDING + b" HTTP/1.1\r\n",
    "absolute target": b"POST http://[::1" + PADDING + b" HTTP/1.1\r\n",
    "long line": POST + b"X-Pad: " + b"a" * MAX_LINE_BYTES + b"\r\n",
    "long target": b"POST /" + b"a" * MAX_LINE_BYTES + b" HTTP/1.1\r\n",
    "many fields": POST + b"a: b\r\n" * (MAX_FIELDS + 1),
    "many empty fields": POST + b"a:\r\n" * 3900,
    "folded line": POST + b"a: b\r\n c\r\n",
    "bare line feed": POST + b"a: b\nc: d\r\n",
    "bare carriage return": POST + b"a: b\rc: d\r\n",
    "zero byte": POST + b"a: \0\r\n",
}
# What only the library rejects: single fields that come twice, and an old form of an upgrade.
LEFT_TO_THE_LIBRARY = {
    "two hosts": POST + b"Host: a\r\nHost: " + PADDING + b"\r\n",
    "two types": POST + b"Content-Type: a\r\nContent-Type: " + PADDING + b"\r\n",
    "old key": POST + b"Sec-WebSocket-Key1: a\r\nX-Pad: " + PADDING + b"\r\n",
}


@pytest.mark.parametrize("name", UNSOUND)
def test_unsound_head_is_rejected_before_it_is_parsed(name):
    with pytest.raises(MalformedError) as raised:
        check_head(UNSOUND[name])
    status, reason = raised.value.args
    assert 400 <= status < 500 and len(reason) < 100


@pytest.mark.parametrize(
    "head",
    [
        POST,
        POST + b"Host: a\r\nX-Odd: \x80\xff\t ~\r\nEmpty:\r\n!#$%&'*+.^_`|~-: a\r\n",
        b"GET /_health?a=%20 HTTP/1.0\r\n",
        POST + b"a: b\r\n" * MAX_FIELDS,
        POST + b"X-Pad: " + b"a" * (MAX_LINE_BYTES - len("X-Pad: ")) + b"\r\n",
    ],
)
def test_sound_head_passes(head):
    check_head(head)


class LogLines:
    """The lines that are written to the log, with its limit on their number lifted."""

    def __init__(self, monkeypatch):
        self.lines = []
        monkeypatch.setattr(log, "LINES_PER_PERIOD", 10**9)
        monkeypatch.setattr(log, "_print", lambda event, text: self.lines.append(f"{event}: {text}"))


@pytest.mark.parametrize("head", [*UNSOUND.values(), *LEFT_TO_THE_LIBRARY.values()])
@on_loop
async def test_unsound_head_gets_a_status_and_a_short_line_in_the_log(head, monkeypatch):
    log_lines = LogLines(monkeypatch)
    async with DispatcherRig(lambda call: ACCEPTED) as rig:
        answer = await rig.exchange(head + b"\r\n" + request("/look/1"))
        assert answer.target.startswith("4") and len(answer.body) < 100
        assert [line for line in log_lines.lines if line.startswith("turned away")]
        assert not [line for line in log_lines.lines if line.startswith("library") or len(line) > 200]
        assert (await rig.exchange(HEALTH_REQUEST)).target == "200"
        assert not rig.endpoints[0].seen


def held_by_exceptions():
    """Return how many bytes errors of the library or their frames hold until the garbage collector runs."""
    held = [
        each for each in gc.get_objects() if isinstance(each, Exception) and each.__traceback__ is not None
    ]
    return len([error for error in held if type(error).__module__.startswith("aiohttp")])


@pytest.mark.parametrize("name", [*UNSOUND, *LEFT_TO_THE_LIBRARY])
@on_loop
async def test_unsound_head_is_not_held_in_memory(name):
    # Guards against memory that grows with each unsound head until the garbage collector runs, which is rare:
    # three hundred clients that sent such heads took a process over its limit within seconds.
    raw = (UNSOUND | LEFT_TO_THE_LIBRARY)[name] + b"\r\n"
    async with DispatcherRig(lambda call: ACCEPTED) as rig:
        gc.collect()
        gc.disable()
        try:
            before = held_by_exceptions()
            for _ in range(5):
                assert (await rig.exchange(raw)).target.startswith("4")
            await asyncio.sleep(0)
            assert held_by_exceptions() == before
        finally:
            gc.enable()


@on_loop
async def test_client_that_goes_before_its_response_leaves_nothing_in_memory_or_log(monkeypatch):
    # Guards against an error with its traceback, in memory and in the log, for each client that goes early.
    log_lines = LogLines(monkeypatch)
    async with DispatcherRig(lambda call: ACCEPTED) as rig:
        route = rig.frontend._route

        async def route_and_lose_connection(message, connection):
            connection.transport.abort()
            return await route(message, connection)

        monkeypatch.setattr(rig.frontend, "_route", route_and_lose_connection)
        before = held_by_exceptions()
        with pytest.raises(asyncio.IncompleteReadError):
            await rig.exchange(request("/odd/1"))
        await until(lambda: not rig.frontend.server.accepted)
        assert held_by_exceptions() == before
        assert [line.partition(":")[0] for line in log_lines.lines] == ["turned away"]


def test_text_of_a_suppressed_library_message_is_not_made(monkeypatch):
    # Guards against making the text of an error of many kilobytes for each line that is only counted.
    class Message(str):
        made = 0

        def __str__(self):
            Message.made += 1
            return "text"

    monkeypatch.setattr(log, "_periods", {})
    handler = log.LibraryLogHandler()
    for _ in range(2 * log.LINES_PER_PERIOD):
        handler.emit(logging.LogRecord("library", logging.WARNING, "", 0, Message(), None, None))
    assert Message.made == log.LINES_PER_PERIOD
