"""A process under floods of unsound, large and slow requests keeps to its memory limit, and serves others."""

import asyncio
import contextlib
import itertools
from pathlib import Path

import pytest
from support.dispatcher_process import DispatcherHost
from support.event_loop import on_loop
from support.http_messages import ACCEPTED, CHUNKED_HEAD, HEALTH_REQUEST, chunk, read_message, response

CLIENTS, FLOOD_S = 300, 1.5
MEMORY_MB = 80
# The longest that a health check may take under a flood, and how long a client waits for a response.
MAX_HEALTH_CHECK_S, PATIENCE_S = 2.0, 3.0
NUMBERS = itertools.count()
FIELD_LINES = b"".join([b"a%d: bcdefgh\r\n" % number for number in range(85)])


def head(fields=b"", target=b"/look/1", length=4):
    """The head of a request with an id of its own."""
    return (
        b"POST %s HTTP/1.1\r\nHost: a\r\nX-Call-Id: f%d\r\nX-Budget-Ms: 2000\r\n%sContent-Length: %d\r\n\r\n"
        % (target, next(NUMBERS), fields, length)
    )


def chunked(chunks):
    return head().replace(b"Content-Length: 4", b"Transfer-Encoding: chunked") + chunks


FLOODS = {
    "control bytes": lambda: head(b"X-Pad: " + b"a" * 15_000 + b"\x01\r\n") + b"work",
    "many fields": lambda: head(b"a: b\r\n" * 2000) + b"work",
    "unknown version": lambda: b"GET /" + b"x" * 7000 + b" HTTP/9.9\r\nX-Pad: " + b"a" * 7000 + b"\r\n\r\n",
    "two hosts": lambda: head(b"Host: " + b"b" * 7000 + b"\r\nX-Pad: " + b"c" * 7000 + b"\r\n") + b"work",
    "long sound heads": lambda: (
        head(FIELD_LINES + b"a: %s\r\nb: %s\r\n" % (b"x" * 6000, b"y" * 6000)) + b"work"
    ),
    "ever new classes": lambda: head(target=b"/new%d" % next(NUMBERS)) + b"work",
    "no class, large": lambda: head(target=b"/none", length=65_000) + b"x" * 65_000,
    "large requests": lambda: head(length=65_000) + b"x" * 65_000,
    "halves of large requests": lambda: head(length=65_000) + b"x" * 64_000,
    "tiny chunks": lambda: chunked(b"1\r\nx\r\n" * 21_000),
    "chunk extensions": lambda: chunked((b"1;" + b"e" * 250 + b"\r\nx\r\n") * 480),
    "blanks in a chunk": lambda: chunked(b"0" * 16 + b" " * 120_000),
    "malformed callbacks": lambda: head(target=b"/v1/job-events", length=65_000) + b"[" * 65_000,
    "much behind a request": lambda: (head() + b"work") * 500,
}


EXCESSIVE_REPLIES = {
    "many responses": response(500) * 6000,
    "interim responses": b"HTTP/1.1 102 Any\r\n\r\n" * 20_000,
    "tiny chunks": CHUNKED_HEAD + chunk(b"x") * 60_000,
}


async def attack(port, message, end_s):
    """Send one message after the other over new connections, and read the responses."""
    loop = asyncio.get_running_loop()
    while loop.time() < end_s:
        with contextlib.suppress(OSError, TimeoutError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                writer.write(message())
                async with asyncio.timeout(end_s - loop.time()):
                    await reader.read()
            finally:
                writer.transport.abort()


async def check_health(port, end_s):
    """Check the health until the flood ends; return the longest time that a check took."""
    loop = asyncio.get_running_loop()
    longest_s = 0.0
    while loop.time() < end_s:
        started_s = loop.time()
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(HEALTH_REQUEST)
        async with asyncio.timeout(PATIENCE_S):
            assert (await read_message(reader)).target == "200"
        writer.close()
        longest_s = max(longest_s, loop.time() - started_s)
        await asyncio.sleep(0.05)
    return longest_s


def peak_memory_mb(process_id):
    """Return the peak of the resident memory of a process, in MB."""
    lines = Path(f"/proc/{process_id}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("VmHWM")) / 1024.0


async def assert_within_limits(folder, message, reply=ACCEPTED):
    """Flood a process with a message, with endpoints that send a reply; check its memory and health."""
    async with DispatcherHost(folder) as host:
        host.limits = {"memory_mb": MEMORY_MB, "sockets": 1024}
        host.worker.script = lambda call: response(204) if call.method == "DELETE" else reply
        node = await host.start_healthy()
        end_s = asyncio.get_running_loop().time() + FLOOD_S
        attacks = [attack(host.port, message, end_s) for _ in range(CLIENTS)]
        longest_s, *_ = await asyncio.gather(check_health(host.port, end_s), *attacks)
        assert peak_memory_mb(node.process.pid) < MEMORY_MB
        assert longest_s < MAX_HEALTH_CHECK_S
        assert (await host.exchange(HEALTH_REQUEST)).target == "200"
        assert node.process.returncode is None


@pytest.mark.parametrize("kind", FLOODS)
@on_loop
async def test_flood_neither_exceeds_the_memory_limit_nor_stops_health_checks(kind, tmp_path):
    # Guards against a process that is killed for its memory, or answers nobody, while hundreds of clients
    # send what it cannot serve.
    await assert_within_limits(tmp_path, FLOODS[kind])


@pytest.mark.parametrize("kind", EXCESSIVE_REPLIES)
@on_loop
async def test_excessive_replies_neither_exceed_the_memory_limit_nor_stop_health_checks(kind, tmp_path):
    # Guards against the same where endpoints, or what stands in between, send more than one response may be.
    await assert_within_limits(tmp_path, FLOODS["large requests"], EXCESSIVE_REPLIES[kind])
