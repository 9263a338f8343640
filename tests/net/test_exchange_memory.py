"""Exchanges with endpoints that fail leave nothing in memory until the garbage collector runs."""

import asyncio
import contextlib
import gc

import pytest
from support.event_loop import on_loop, until
from support.fake_server import ABORT, CLOSE, SILENT, FakeServer
from support.http_messages import CHUNKED_HEAD, response
from support.upstream_sender import ProbingSender

from dunepulley.load.ports import free_port
from dunepulley.net.messages import PendingRequest, UpstreamAttempt
from dunepulley.net.tracebacks import drop_tracebacks
from dunepulley.net.upstream.cancellation import Cancellation
from dunepulley.net.upstream.request_body import AttemptBody

LARGE = b"x" * 60_000
REFUSED, BARRED = "refused", "barred"
STATUS_LINE = b"HTTP/1.1 500 Any\r\n"


async def body_that_breaks():
    yield STATUS_LINE + b"Content-Length: 100\r\n\r\nabc"


async def chunk_without_a_size():
    yield CHUNKED_HEAD + b"zz\r\n"


async def connection_that_waits():
    yield STATUS_LINE + b"Content-Length: 100\r\n\r\nabc"
    await asyncio.sleep(10.0)


REPLIES = {
    "rejected": lambda: response(503, b"", "X-Rejected: 1"),
    "reset": lambda: ABORT,
    "closed": lambda: CLOSE,
    "no status": lambda: b"HTTP/1.1 abc\r\n\r\n",
    "control byte in the head": lambda: STATUS_LINE + b"X-Pad: " + b"a" * 7000 + b"\x01\r\n\r\n",
    "many fields": lambda: STATUS_LINE + b"a: b\r\n" * 3000 + b"\r\n",
    "long line": lambda: STATUS_LINE + b"X-Pad: " + b"a" * 10_000 + b"\r\n\r\n",
    "no length": lambda: STATUS_LINE + b"Content-Length: x\r\n\r\n",
    "body that breaks": body_that_breaks,
    "body that stops": connection_that_waits,
    "chunk without a size": chunk_without_a_size,
    REFUSED: lambda: ABORT,
    BARRED: lambda: ABORT,
}


@contextlib.asynccontextmanager
async def sender_to(name):
    """A sender, and the address of an endpoint that answers in this way; without garbage collection."""
    confirm = response(204)
    async with (
        FakeServer(lambda call: confirm if call.method == "DELETE" else REPLIES[name]()) as endpoint,
        ProbingSender() as sender,
    ):
        sender.may_start = name != BARRED
        gc.collect()
        gc.disable()
        try:
            yield sender, f"127.0.0.1:{free_port()}" if name == REFUSED else endpoint.address
        finally:
            gc.enable()


def in_memory(*kinds):
    return [type(each).__name__ for each in gc.get_objects() if isinstance(each, kinds)]


@pytest.mark.parametrize("name", REPLIES)
@on_loop
async def test_an_attempt_that_failed_does_not_stay_in_memory(name):
    # Guards against memory that grows with each failed attempt: the traceback of the library's error held the
    # body, until the garbage collector ran.
    async with sender_to(name) as (sender, address):
        for _ in range(3):
            sender.send(address, body=LARGE)
            await until(lambda: not sender.upstream.tasks)
            sender.reported.clear()
        await asyncio.sleep(0)
        assert in_memory(AttemptBody, UpstreamAttempt, PendingRequest) == []


@pytest.mark.parametrize("name", [name for name in REPLIES if name != BARRED])
@on_loop
async def test_a_failed_health_check_leaves_no_traceback_in_memory(name):
    async with sender_to(name) as (sender, address):
        sender.upstream.check_health("w", address)
        await until(lambda: not sender.upstream.tasks)
        await asyncio.sleep(0)
        assert not [
            each.f_code.co_name
            for each in gc.get_objects()
            if type(each).__name__ == "frame" and each.f_code.co_name == "_check_health"
        ]


@pytest.mark.parametrize("name", ["no status", "chunk without a size", "body that breaks", "reset"])
@on_loop
async def test_a_cancellation_without_a_usable_answer_does_not_stay_in_memory(name):
    async with (
        FakeServer(lambda call: REPLIES[name]() if call.method == "DELETE" else ABORT) as endpoint,
        ProbingSender() as sender,
    ):
        gc.collect()
        gc.disable()
        try:
            sender.send(endpoint.address, body=LARGE)
            await until(lambda: not sender.upstream.tasks)
            sender.reported.clear()
            await asyncio.sleep(0)
            assert in_memory(Cancellation, UpstreamAttempt) == []
        finally:
            gc.enable()


@on_loop
async def test_a_silent_endpoint_leaves_no_attempt_in_memory():
    async with FakeServer(lambda call: SILENT) as endpoint, ProbingSender() as sender:
        gc.collect()
        gc.disable()
        try:
            attempts = [sender.send(endpoint.address, body=LARGE)]
            await until(lambda: attempts[0].fully_written)
            sender.upstream.cancel_attempt(attempts.pop(), notify=False)
            await until(lambda: not sender.upstream.tasks)
            sender.reported.clear()
            await asyncio.sleep(0)
            assert in_memory(AttemptBody, UpstreamAttempt, PendingRequest) == []
        finally:
            gc.enable()


def raised(error):
    """Raise and catch an error, which has a traceback then."""
    with contextlib.suppress(type(error)):
        raise error
    return error


def test_tracebacks_of_an_error_and_its_causes_are_dropped():
    errors = [raised(error) for error in (ValueError(), KeyError(), OSError())]
    errors[1].__context__, errors[2].__cause__ = errors[:2]
    assert None not in [error.__traceback__ for error in errors]
    drop_tracebacks(errors[2])
    assert [error.__traceback__ for error in errors] == [None] * 3


def test_errors_that_cause_each_other_are_handled_once():
    # Guards against a loop without end.
    errors = [raised(ValueError()), raised(KeyError())]
    errors[0].__cause__, errors[1].__cause__ = errors[1], errors[0]
    drop_tracebacks(errors[0])
    assert [error.__traceback__ for error in errors] == [None, None]
